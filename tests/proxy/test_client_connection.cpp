/** @file The HTTP client against servers that misbehave. */

#include "connection/http/call_client.h"
#include "connection/http/client_connection.h"
#include "standin/raw_server.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <optional>
#include <thread>
#include <vector>

using namespace eelgrassnotch::connection::http;
using namespace std::chrono_literals;

namespace
{

struct Outcome {
    unsigned status = 0;
    std::string body;
    std::optional<ExchangeEnd> end;
};

/** A server that sends nothing for this long is taken to hang. */
constexpr auto maxSilence = 10s;

/** Begins an exchange, and records it. */
void startOne(Outcome &outcome, const std::shared_ptr<ClientConnection> &connection, const std::string &body = "",
              const std::string &wantedId = "")
{
    auto request = std::make_shared<Request>(boost::beast::http::verb::post, "/x", 11);
    request->body() = body;
    request->prepare_payload();
    ExchangeHooks hooks;
    hooks.onHeader = [&outcome, wantedId](const AnswerHeader &header) {
        const auto id = header["Id"];
        if (!wantedId.empty() && id != wantedId) {
            return false;
        }
        outcome.status = header.result_int();
        return true;
    };
    hooks.onBody = [&](std::string_view part) { outcome.body += part; };
    hooks.onEnd = [&](const ExchangeEnd &end) { outcome.end = end; };
    connection->send(request, 1s, std::move(hooks));
}

/** Sends one request and waits for its end. */
Outcome sendOne(boost::asio::io_context &context, const std::shared_ptr<ClientConnection> &connection, const std::string &body = "",
                const std::string &wantedId = "")
{
    Outcome outcome;
    startOne(outcome, connection, body, wantedId);
    context.restart();
    while (!outcome.end && context.run_one_for(maxSilence) > 0) {
    }
    REQUIRE(outcome.end);
    return outcome;
}

/** A server on the event loop of its client: it sends each part of an answer once the client has taken the one before. */
class SteppedServer
{
public:
    explicit SteppedServer(boost::asio::io_context &ioContext)
        : context(ioContext)
        , acceptor(ioContext, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , peer(ioContext)
    {
        this->acceptor.async_accept(this->peer, [this](boost::system::error_code error) {
            if (!error) {
                this->readRequest();
            }
        });
    }

    std::shared_ptr<ClientConnection> makeConnection()
    {
        return std::make_shared<ClientConnection>(this->context.get_executor(), this->acceptor.local_endpoint());
    }

    std::vector<std::string> answer; ///< To the next request, in parts.
    int requests = 0;

private:
    void readRequest()
    {
        this->request = {};
        boost::beast::http::async_read(this->peer, this->buffer, this->request, [this](boost::system::error_code error, std::size_t) {
            if (!error) {
                ++this->requests;
                this->parts = this->answer;
                this->sendFrom(0);
            }
        });
    }

    void sendFrom(std::size_t part)
    {
        if (part == this->parts.size()) {
            this->readRequest();
            return;
        }
        standin::sendBytes(this->peer, this->parts[part]);
        this->afterTurns(4, [this, part] { this->sendFrom(part + 1); });
    }

    /** Each turn of the event loop looks for bytes that have arrived. */
    void afterTurns(int turns, std::function<void()> next)
    {
        boost::asio::post(this->context, [this, turns, next = std::move(next)] {
            if (turns == 0) {
                next();
            } else {
                this->afterTurns(turns - 1, next);
            }
        });
    }

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    standin::Socket peer;
    boost::beast::flat_buffer buffer;
    standin::Request request;
    std::vector<std::string> parts; ///< Of the answer being sent.
};

/** More than the kernel's buffers take of a request that nobody reads. */
constexpr std::size_t endlessBodyBytes = 32u << 20;

/**
 * Sends a request that is never read and its answer, and lets the server finish while the client waits for more of the answer and for
 * room to write in.
 */
Outcome answerEarly(const std::string &head, const std::string &body, const std::function<void(standin::Socket &)> &finish)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const auto connection = std::make_shared<ClientConnection>(context.get_executor(), acceptor.local_endpoint());
    Outcome outcome;
    startOne(outcome, connection, std::string(endlessBodyBytes, 'x'));
    standin::Socket peer(context);
    acceptor.accept(peer);
    while (peer.available() == 0 && context.run_one_for(maxSilence) > 0) {
    }
    standin::sendBytes(peer, head + body);
    while (!outcome.end && (outcome.status == 0 || outcome.body.size() < body.size()) && context.run_one_for(maxSilence) > 0) {
    }
    while (context.poll() > 0) {
    }
    REQUIRE_FALSE(outcome.end);
    REQUIRE(outcome.body == body);
    finish(peer);
    while (!outcome.end && context.run_one_for(maxSilence) > 0) {
    }
    REQUIRE(outcome.end);
    CHECK_FALSE(connection->isReusable());
    return outcome;
}

std::shared_ptr<ClientConnection> connectTo(boost::asio::io_context &context, const standin::RawServer &server)
{
    return std::make_shared<ClientConnection>(context.get_executor(), parseEndpoint(server.address()));
}

}

TEST_CASE("a connection is kept, and carries the next request")
{
    standin::RawServer server([](standin::Socket &socket, const standin::Request &) {
        standin::sendBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
        return true;
    });
    boost::asio::io_context context;
    const auto connection = connectTo(context, server);
    for (int round = 0; round < 3; ++round) {
        const Outcome outcome = sendOne(context, connection);
        CHECK(outcome.end->kind == EndKind::Complete);
        CHECK(outcome.body == "ab");
    }
    CHECK(server.connections() == 1);
}

TEST_CASE("a request that is reset after it was read is lost, and is not sent again")
{
    standin::RawServer server([](standin::Socket &socket, const standin::Request &) {
        standin::sendReset(socket);
        return false;
    });
    boost::asio::io_context context;
    const Outcome outcome = sendOne(context, connectTo(context, server));
    CHECK(outcome.end->kind == EndKind::Lost);
    CHECK(server.requests().size() == 1);
}

TEST_CASE("an answer shorter than its length is broken off")
{
    standin::RawServer server([](standin::Socket &socket, const standin::Request &) {
        standin::sendBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
        return false;
    });
    boost::asio::io_context context;
    const Outcome outcome = sendOne(context, connectTo(context, server));
    CHECK(outcome.end->kind == EndKind::BrokenOff);
}

TEST_CASE("a chunked answer without its last chunk is broken off")
{
    standin::RawServer server([](standin::Socket &socket, const standin::Request &) {
        standin::sendBytes(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        return false;
    });
    boost::asio::io_context context;
    CHECK(sendOne(context, connectTo(context, server)).end->kind == EndKind::BrokenOff);
}

TEST_CASE("an answer without a length ends with its connection, but not with a reset")
{
    for (const bool resets : {false, true}) {
        standin::RawServer server([resets](standin::Socket &socket, const standin::Request &) {
            standin::sendBytes(socket, "HTTP/1.1 200 OK\r\n\r\nabc");
            if (resets) {
                standin::sendReset(socket);
            }
            return false;
        });
        boost::asio::io_context context;
        const Outcome outcome = sendOne(context, connectTo(context, server));
        CHECK((outcome.end->kind == EndKind::Complete) == !resets);
    }
}

TEST_CASE("bytes after a complete answer belong to no request")
{
    standin::RawServer server([](standin::Socket &socket, const standin::Request &) {
        standin::sendBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nxy");
        return true;
    });
    boost::asio::io_context context;
    const auto connection = connectTo(context, server);
    const Outcome outcome = sendOne(context, connection);
    CHECK(outcome.body == "ab");
    CHECK_FALSE(connection->isReusable());
}

TEST_CASE("an answer to another request is read past")
{
    standin::RawServer server([](standin::Socket &socket, const standin::Request &) {
        standin::sendBytes(
            socket, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 2\r\n\r\nxyHTTP/1.1 201 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nab");
        return true;
    });
    boost::asio::io_context context;
    const Outcome outcome = sendOne(context, connectTo(context, server), "", "mine");
    CHECK(outcome.status == 201);
    CHECK(outcome.body == "ab");
}

TEST_CASE("after an answer that came before the whole body was sent, the connection is not used again")
{
    // The server answers on the header alone and reads nothing more.
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    boost::asio::ip::tcp::socket peer(context);
    std::array<char, 64> some {};
    acceptor.async_accept(peer, [&](boost::system::error_code) {
        peer.async_read_some(boost::asio::buffer(some), [&](boost::system::error_code, std::size_t) {
            standin::sendBytes(peer, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
        });
    });
    const auto connection = std::make_shared<ClientConnection>(context.get_executor(), acceptor.local_endpoint());
    const Outcome outcome = sendOne(context, connection, std::string(endlessBodyBytes, 'x'));
    CHECK(outcome.status == 503);
    CHECK_FALSE(connection->isReusable());
}

// A reset is reported once, to the read or to the write; whichever comes second finds an end of file.
TEST_CASE("an answer that ends in a reset while its request is being written is broken off, whatever its framing")
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    for (const std::string &framing : {std::string(), std::string("Connection: close\r\n"), std::string("Content-Length: 1000000\r\n")}) {
        for (const std::size_t size : {std::size_t(0), std::size_t(3), 3 * readChunkBytes}) {
            CAPTURE(framing);
            CAPTURE(size);
            CHECK(answerEarly(status + framing + "\r\n", std::string(size, 'a'), standin::sendReset).end->kind == EndKind::BrokenOff);
        }
    }
    CHECK(answerEarly(status + "Transfer-Encoding: chunked\r\n\r\n", "", standin::sendReset).end->kind == EndKind::BrokenOff);
}

TEST_CASE("an answer without a length that its server ends is complete, also while its request is being written")
{
    const auto endAnswer = [](standin::Socket &socket) { socket.shutdown(standin::Socket::shutdown_send); };
    const auto endAnswerAndReset = [](standin::Socket &socket) {
        socket.shutdown(standin::Socket::shutdown_send);
        standin::sendReset(socket);
    };
    for (const std::function<void(standin::Socket &)> &finish :
         {std::function<void(standin::Socket &)>(endAnswer), std::function<void(standin::Socket &)>(endAnswerAndReset)}) {
        const Outcome outcome = answerEarly("HTTP/1.1 413 Too Large\r\n\r\n", "too large", finish);
        CHECK(outcome.end->kind == EndKind::Complete);
        CHECK(outcome.status == 413);
    }
}

TEST_CASE("a port without a listener is a failed connection: nothing was sent")
{
    boost::asio::io_context context;
    const auto connection = std::make_shared<ClientConnection>(
        context.get_executor(), Endpoint(boost::asio::ip::make_address("127.0.0.1"), standin::findFreePort()));
    CHECK(sendOne(context, connection).end->kind == EndKind::ConnectFailed);
}

TEST_CASE("bytes that are not HTTP are malformed")
{
    standin::RawServer server([](standin::Socket &socket, const standin::Request &) {
        standin::sendBytes(socket, "nonsense\r\n\r\n");
        return false;
    });
    boost::asio::io_context context;
    CHECK(sendOne(context, connectTo(context, server)).end->kind == EndKind::Malformed);
}

TEST_CASE("an answer with a status outside of 200 to 599, or one that switches protocols, is malformed")
{
    const std::string genuine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    const std::vector<std::string> rests = {
        "\r\n",
        "Content-Length: 2\r\n\r\nab",
        "\r\n" + genuine,
        "Content-Length: " + std::to_string(genuine.size()) + "\r\n\r\n" + genuine,
    };
    for (const std::string status : {"000", "001", "042", "099", "101", "600", "999"}) {
        for (const std::string &rest : rests) {
            CAPTURE(status);
            CAPTURE(rest);
            standin::RawServer server([&](standin::Socket &socket, const standin::Request &) {
                standin::sendBytes(socket, std::string("HTTP/1.1 ").append(status).append(" X\r\n").append(rest));
                return true;
            });
            boost::asio::io_context context;
            const auto connection = connectTo(context, server);
            const Outcome outcome = sendOne(context, connection);
            CHECK(outcome.end->kind == EndKind::Malformed);
            CHECK(outcome.status == 0);
            CHECK(outcome.body.empty());
            CHECK_FALSE(connection->isReusable());
        }
    }
}

TEST_CASE("an informational answer is read past, and one with a body is malformed")
{
    const std::string genuine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    const std::string hidden = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nxy";
    const std::vector<std::pair<std::string, EndKind>> forms = {
        {"HTTP/1.1 100 Continue\r\n\r\n", EndKind::Complete},
        {"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n", EndKind::Complete},
        {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", EndKind::Complete},
        {"HTTP/1.1 199 Other\r\n\r\n", EndKind::Complete},
        {"HTTP/1.1 103 Early Hints\r\nContent-Length: " + std::to_string(hidden.size()) + "\r\n\r\n" + hidden, EndKind::Malformed},
        {"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden, EndKind::Malformed},
    };
    for (const auto &form : forms) {
        CAPTURE(form.first);
        standin::RawServer server([&](standin::Socket &socket, const standin::Request &) {
            standin::sendBytes(socket, form.first + genuine);
            return true;
        });
        boost::asio::io_context context;
        const Outcome outcome = sendOne(context, connectTo(context, server));
        CHECK(outcome.end->kind == form.second);
        CHECK(outcome.body == (form.second == EndKind::Complete ? "ab" : ""));
    }
}

TEST_CASE("an answer with a transfer coding other than chunked is malformed")
{
    const std::string chunks = "\r\n2\r\nab\r\n0\r\n\r\n";
    const std::vector<std::pair<std::string, EndKind>> forms = {
        {"Transfer-Encoding: chunked\r\n" + chunks, EndKind::Complete},
        {"transfer-encoding: Chunked\r\n" + chunks, EndKind::Complete},
        {"Transfer-Encoding: gzip, chunked\r\n" + chunks, EndKind::Malformed},
        {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" + chunks, EndKind::Malformed},
        {"Transfer-Encoding: chunked, chunked\r\n" + chunks, EndKind::Malformed},
        {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunks, EndKind::Malformed},
        {"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n" + chunks, EndKind::Malformed},
        {"Transfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nab", EndKind::Malformed},
        {"Transfer-Encoding: identity\r\nContent-Length: 2\r\n\r\nab", EndKind::Malformed},
        {"Transfer-Encoding: gzip\r\n\r\nab", EndKind::Malformed},
    };
    for (const auto &form : forms) {
        CAPTURE(form.first);
        standin::RawServer server([&](standin::Socket &socket, const standin::Request &) {
            standin::sendBytes(socket, "HTTP/1.1 200 OK\r\n" + form.first);
            return form.first.find("\r\n\r\nab") == std::string::npos;
        });
        boost::asio::io_context context;
        const Outcome outcome = sendOne(context, connectTo(context, server));
        CHECK(outcome.end->kind == form.second);
        CHECK(outcome.body == (form.second == EndKind::Complete ? "ab" : ""));
    }
}

TEST_CASE("an answer with a line that is no header field is malformed, wherever it stands")
{
    const std::vector<std::string> lines = {
        "X Note: a",
        "X-Note : a",
        "X-Note\t: a",
        " X-Note: a",
        "\tX-Note: a",
        std::string("X\0Note: a", 9),
        "X\x01Note: a",
        "X\x7fNote: a",
        "X\rNote: a",
        "X\nNote: a",
        "X\xe9Note: a",
        ": a",
        "X-Note",
        "X-Note: a\x01",
        std::string("X-Note: a\0b", 11),
        "X-Note: a\rb",
        "Content Length: 2",
        "Content-Length : 2",
        "Content-Length: 2\r\n Content-Length: 2",
        "X-Note: a\r\n Content-Length: 2",
        "X-Note: a\r\n\tb",
        "X-Note: a\r\n ",
    };
    const std::string whole = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nab";
    // The line comes as "%".
    const std::vector<std::pair<std::string, std::string>> places = {
        {"a head", "HTTP/1.1 200 OK\r\nId: mine\r\n%\r\nContent-Length: 2\r\n\r\nab"},
        {"the first line", "HTTP/1.1 200 OK\r\n%\r\nId: mine\r\nContent-Length: 2\r\n\r\nab"},
        {"the last line", "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n%\r\n\r\nab"},
        {"a head without a length", "HTTP/1.1 200 OK\r\nId: mine\r\n%\r\n\r\nab"},
        {"an informational answer", "HTTP/1.1 103 Early Hints\r\n%\r\n\r\n" + whole},
        {"an answer to another request", "HTTP/1.1 200 OK\r\nId: other\r\n%\r\nContent-Length: 2\r\n\r\nxy" + whole},
        {"after an answer to another request",
         "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nxy"
         "HTTP/1.1 200 OK\r\nId: mine\r\n%\r\nContent-Length: 2\r\n\r\nab"},
        {"a trailer", "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n%\r\n\r\n"},
        {"a second trailer", "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-Sum: 1\r\n%\r\n\r\n"},
    };
    for (const auto &place : places) {
        for (const std::string &line : lines) {
            // One segment, and two that part in the middle of the line.
            for (const bool isSplit : {false, true}) {
                for (const bool isKept : {false, true}) {
                    CAPTURE(place.first);
                    CAPTURE(line);
                    CAPTURE(isSplit);
                    CAPTURE(isKept);
                    const std::size_t position = place.second.find('%');
                    const std::string bytes = place.second.substr(0, position) + line + place.second.substr(position + 1);
                    const std::size_t split = isSplit ? position + line.size() / 2 : bytes.size();
                    int served = 0;
                    boost::asio::io_context context;
                    const auto server = std::make_unique<SteppedServer>(context);
                    const auto connection = server->makeConnection();
                    if (isKept) {
                        server->answer = {whole};
                        REQUIRE(sendOne(context, connection, "", "mine").end->kind == EndKind::Complete);
                        ++served;
                    }
                    server->answer = {bytes.substr(0, split), bytes.substr(split)};
                    const Outcome outcome = sendOne(context, connection, "", "mine");
                    CHECK(outcome.end->kind == EndKind::Malformed);
                    CHECK_FALSE(connection->isReusable());
                    CHECK(server->requests == served + 1);
                }
            }
        }
    }
}

TEST_CASE("a request that is given up is not delivered by an orderly close")
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor server(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const auto connection = std::make_shared<ClientConnection>(context.get_executor(), server.local_endpoint());
    ExchangeHooks hooks;
    hooks.onHeader = [](const AnswerHeader &) { return true; };
    hooks.onBody = [](std::string_view) {};
    hooks.onEnd = [](const ExchangeEnd &) {};
    const auto request = std::make_shared<Request>(boost::beast::http::verb::post, "/x", 11);
    // More than the kernel takes at once, so that the rest waits for the server to read.
    request->body() = std::string(32u << 20, 'x');
    request->prepare_payload();
    connection->send(request, 1s, std::move(hooks));
    context.run_for(200ms);
    Socket peer(context);
    server.accept(peer);
    connection->cancel();

    boost::system::error_code error;
    std::array<char, 65536> bytes {};
    while (!error) {
        peer.read_some(boost::asio::buffer(bytes), error);
    }
    CHECK(error == boost::asio::error::connection_reset);
}

TEST_CASE("a call whose answer has no end is given up before its time limit")
{
    constexpr std::size_t mostBytesTaken = 64u << 20;
    std::atomic<std::size_t> sent {0};
    standin::RawServer server([&sent](standin::Socket &socket, const standin::Request &) {
        standin::sendBytes(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        const std::string part(65536, 'x');
        boost::system::error_code error;
        while (!error && sent <= mostBytesTaken) {
            sent += boost::asio::write(socket, boost::asio::buffer(part), error);
        }
        return false;
    });
    boost::asio::io_context context;
    CallClient client(context, parseEndpoint(server.address()));
    std::optional<CallResult> result;
    client.call(Request(boost::beast::http::verb::get, "/x", 11), {1s, 20s}, [&](const CallResult &outcome) { result = outcome; });
    const auto before = std::chrono::steady_clock::now();
    while (!result && context.run_one() > 0) {
    }
    REQUIRE(result);
    CHECK(result->status == 0);
    CHECK(std::chrono::steady_clock::now() - before < 10s);
    CHECK(sent < mostBytesTaken);
}

namespace
{

/** A server that answers after this time, also while the client's process stands still. */
standin::RawServer makeLateServer(std::chrono::milliseconds delay, const std::string &body)
{
    return standin::RawServer([delay, body](standin::Socket &socket, const standin::Request &) {
        std::this_thread::sleep_for(delay);
        standin::sendBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return true;
    });
}

}

// Guards against an answer that is followed by "no answer in time": a relay would count as silent, an object be written again.
TEST_CASE("a call whose answer and whose time limit are found in the same turn ends once")
{
    for (const std::string body : {"", "ab"}) {
        CAPTURE(body);
        standin::RawServer server = makeLateServer(50ms, body);
        boost::asio::io_context context;
        CallClient client(context, parseEndpoint(server.address()));
        std::vector<CallResult> results;
        const auto call = [&](eelgrassnotch::Duration timeout) {
            client.call(Request(boost::beast::http::verb::get, "/x", 11), {1s, timeout},
                        [&](const CallResult &result) { results.push_back(result); });
        };
        call(150ms);
        context.run_for(20ms);
        std::this_thread::sleep_for(300ms);
        context.run_for(50ms);
        REQUIRE(results.size() == 1);
        CHECK((results.front().status == 200 || results.front().failure == "no answer in time"));
        context.restart();
        call(1s);
        context.run_for(200ms);
        REQUIRE(results.size() == 2);
        CHECK(results.back().status == 200);
        CHECK(results.back().body == body);
    }
}

TEST_CASE("a connection that opens while the process stands still beyond the connect timeout is used")
{
    standin::RawServer server = makeLateServer(0ms, "ab");
    boost::asio::io_context context;
    const auto connection = connectTo(context, server);
    std::vector<EndKind> ends;
    ExchangeHooks hooks;
    hooks.onHeader = [](const AnswerHeader &) { return true; };
    hooks.onBody = [](std::string_view) {};
    hooks.onEnd = [&](const ExchangeEnd &end) { ends.push_back(end.kind); };
    auto request = std::make_shared<Request>(boost::beast::http::verb::get, "/x", 11);
    request->prepare_payload();
    connection->send(request, 50ms, std::move(hooks));
    std::this_thread::sleep_for(100ms);
    context.run_for(200ms);
    CHECK(ends == std::vector<EndKind> {EndKind::Complete});
    CHECK(server.connections() == 1);
}
