/** @file Backend servers whose answers break off or are none: what the caller of the daemon gets. */

#include "connection/http/call_client.h"
#include "proxy/daemon_fixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <limits>
#include <optional>
#include <string>
#include <vector>

using namespace eelgrassnotch;
using namespace std::chrono_literals;
using namespace standin;

namespace
{

/** Callers are told well before their time limit of 8 s. */
constexpr auto maxAnswerTime = 5s;
/** More than the kernel's buffers take of a request that its backend server doesn't read. */
constexpr std::size_t uploadBytes = 16u << 20;

/** A caller that keeps its connection. */
class KeptCaller
{
public:
    explicit KeptCaller(const DaemonFixture &fixture)
        : socket(this->context)
    {
        this->socket.connect(connection::http::parseEndpoint(fixture.settings.callersAddress));
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(this->socket, boost::asio::buffer(bytes));
    }

    /** @returns the answer to the request that was sent; nothing when the connection ended before its end. */
    std::optional<DaemonFixture::Answer> receive()
    {
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        boost::system::error_code error;
        boost::beast::http::read(this->socket, this->buffer, parser, error);
        return error ? std::nullopt : std::optional(parser.release());
    }

    /** @returns the bytes of the answer so far, once they hold a text. */
    std::string receiveUntil(const std::string &text)
    {
        std::string bytes;
        boost::asio::read_until(this->socket, boost::asio::dynamic_buffer(bytes), text);
        return bytes;
    }

    /** @returns what ended the connection. */
    boost::system::error_code receiveEnd()
    {
        std::string bytes;
        boost::system::error_code error;
        boost::asio::read(this->socket, boost::asio::dynamic_buffer(bytes), error);
        return error;
    }

    std::optional<DaemonFixture::Answer> call(const std::string &path, const std::string &id)
    {
        this->send(DaemonFixture::requestText(path, id));
        return this->receive();
    }

private:
    boost::asio::io_context context;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
};

std::string ownFields(const Request &request)
{
    return "X-Eelgrassnotch-Attempt-Id: " + idOf(request) + "\r\nX-Eelgrassnotch-Response-Signature: s\r\n";
}

/** Answers that nobody may get; "%" stands for the fields that make an answer its request's own. */
const std::vector<std::string> &brokenAnswers()
{
    static const std::vector<std::string> answers = {
        "HTTP/1.1 000 X\r\n%Content-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 000 X\r\n%\r\n",
        "HTTP/1.1 000 X\r\n%Content-Type: text/event-stream\r\nContent-Length: 14\r\n\r\ndata: broken\n\n",
        "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n%Content-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 099 X\r\n%Content-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n%Content-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 600 X\r\n%Content-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 999 X\r\n%Content-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n%X Note: a\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n%X-Note : a\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n X-Note: a\r\n%Content-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n%X\x01Note: a\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n%X\x7fNote: a\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n%X-Note: a\x01\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n%Content Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n%Content-Length : 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n%X-Note: a\r\n Content-Length: 3\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n%X-Note: a\r\n\tb\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n%Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\nX Sum: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\n%Transfer-Encoding: chunked\r\n\r\n 6\r\nbroken\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n%Transfer-Encoding: chunked\r\n\r\n6;a\x01\r\nbroken\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n%Transfer-Encoding: gzip, chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n%Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n%Transfer-Encoding: gzip\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n%Transfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
    };
    return answers;
}

std::string fillIn(const std::string &answer, const Request &request)
{
    const std::size_t position = answer.find('%');
    return answer.substr(0, position) + ownFields(request) + answer.substr(position + 1);
}

std::string fineAnswer(const Request &request, bool keepsConnection)
{
    return "HTTP/1.1 200 OK\r\n" + ownFields(request) + (keepsConnection ? "" : "Connection: close\r\n") + "Content-Length: 4\r\n\r\nfine";
}

/** A backend server that has just failed may be left out for a moment; then a request is refused unsent. */
bool isServedSoon(KeptCaller &caller)
{
    return eventually([&caller] {
        const auto answer = caller.call("/order/x", "next");
        REQUIRE(answer);
        CHECK((answer->result_int() == 200 || answer->result_int() == 503));
        return answer->body() == "fine";
    });
}

void allowUploads(DaemonFixture &fixture)
{
    json configuration = makeConfiguration(4);
    configuration["limits"]["max_body_bytes"] = uploadBytes;
    fixture.store.put("config", "main", configuration);
}

/** Returns when the daemon's event loop has taken what was sent to it before: it answers probes on the same thread. */
void waitForDaemon(const DaemonFixture &fixture)
{
    CHECK(fixture.probeStatus() == 200);
    CHECK(fixture.probeStatus() == 200);
}

std::string uploadText(const std::string &path, const std::string &id)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Eelgrassnotch-Attempt-Id: " + id
        + "\r\nX-Eelgrassnotch-Deadline-Ms: 8000\r\nX-Eelgrassnotch-Credential: key-1\r\nContent-Length: " + std::to_string(uploadBytes)
        + "\r\n\r\n" + std::string(uploadBytes, 'x');
}

}

TEST_CASE("an order whose answer is broken is answered 502 at once, and the caller's next request is served")
{
    for (const bool isKept : {false, true}) {
        CAPTURE(isKept);
        std::string broken;
        RawServer backend([&broken, isKept](Socket &socket, const Request &request) {
            const bool isBroken = idOf(request) == "faulty";
            sendBytes(socket, isBroken ? fillIn(broken, request) : fineAnswer(request, isKept));
            return isBroken || isKept;
        });
        DaemonFixture fixture;
        fixture.startWith({&backend});
        KeptCaller caller(fixture);
        for (const std::string &answer : brokenAnswers()) {
            CAPTURE(answer);
            broken = answer;
            CHECK(caller.call("/order/x", "first")->body() == "fine");
            const auto sentAt = std::chrono::steady_clock::now();
            const auto refusal = caller.call("/order/x", "faulty");
            CHECK(std::chrono::steady_clock::now() - sentAt < maxAnswerTime);
            REQUIRE(refusal);
            CHECK(refusal->result_int() == 502);
            CHECK(refusal->body().find("broken") == std::string::npos);
            CHECK(refusal->find("X-Note") == refusal->end());
            CHECK(refusal->keep_alive());
            CHECK(isServedSoon(caller));
        }
    }
}

TEST_CASE("a lookup whose answer is broken is served by another backend server")
{
    std::string broken;
    std::atomic<int> sends {0};
    const RawServer::Script script = [&](Socket &socket, const Request &request) {
        if (idOf(request) == "faulty" && ++sends == 1) {
            sendBytes(socket, fillIn(broken, request));
            return true;
        }
        return answerOk(socket, request);
    };
    RawServer one(script);
    RawServer other(script);
    DaemonFixture fixture;
    fixture.startWith({&one, &other});
    KeptCaller caller(fixture);
    for (const std::string &answer : brokenAnswers()) {
        CAPTURE(answer);
        broken = answer;
        sends = 0;
        CHECK(isServedSoon(caller));
        const auto served = caller.call("/check/x", "faulty");
        REQUIRE(served);
        CHECK(served->result_int() == 200);
        CHECK(served->body() == "fine");
        CHECK(sends == 2);
    }
}

TEST_CASE("a stream whose end is broken is reset at its caller")
{
    std::string end;
    RawServer backend([&end](Socket &socket, const Request &request) {
        if (idOf(request) != "faulty") {
            return answerOk(socket, request);
        }
        sendBytes(socket, streamHeader(request) + chunk("data: a\n\n") + end);
        return true;
    });
    DaemonFixture fixture;
    fixture.startWith({&backend});
    for (const std::string broken : {"0\r\nX Sum: 1\r\n\r\n", "0\r\nX\x01Sum: 1\r\n\r\n", " 0\r\n\r\n", "x\r\n\r\n"}) {
        CAPTURE(broken);
        end = broken;
        KeptCaller caller(fixture);
        CHECK_FALSE(caller.call("/stream/x", "faulty"));
        KeptCaller other(fixture);
        CHECK(isServedSoon(other));
    }
}

// The backend server's connection is reset once the daemon waits for room to write in and for more of the answer.
TEST_CASE("an answer without a length that is reset during its upload is not passed on as complete")
{
    std::string part;
    DaemonFixture fixture;
    allowUploads(fixture);
    RawServer backend(
        [&](Socket &socket, const Request &request) {
            if (idOf(request) == "next") {
                sendBytes(socket, fineAnswer(request, false));
                return false;
            }
            sendBytes(socket, "HTTP/1.1 200 OK\r\n" + ownFields(request) + "\r\n" + part);
            waitForDaemon(fixture);
            sendReset(socket);
            return false;
        },
        Reading::Head);
    fixture.startWith({&backend});
    KeptCaller caller(fixture);
    for (const std::size_t size : {0, 4, 100000}) {
        CAPTURE(size);
        part = std::string(size, 'x');
        caller.send(uploadText("/order/x", "upload"));
        const auto answer = caller.receive();
        REQUIRE(answer);
        CHECK(answer->result_int() == 502);
        CHECK(answer->keep_alive());
        CHECK(isServedSoon(caller));
    }
}

TEST_CASE("a lookup whose answer without a length is reset during its upload is served by another backend server")
{
    DaemonFixture fixture;
    allowUploads(fixture);
    std::atomic<int> sends {0};
    const RawServer::Script script = [&](Socket &socket, const Request &request) {
        if (++sends > 1) {
            sendBytes(socket, signedAnswer(request, "fine"));
            return false;
        }
        sendBytes(socket, "HTTP/1.1 200 OK\r\n" + ownFields(request) + "\r\npart");
        waitForDaemon(fixture);
        sendReset(socket);
        return false;
    };
    RawServer one(script, Reading::Head);
    RawServer other(script, Reading::Head);
    fixture.startWith({&one, &other});
    KeptCaller caller(fixture);
    caller.send(uploadText("/check/x", "upload"));
    const auto answer = caller.receive();
    REQUIRE(answer);
    CHECK(answer->result_int() == 200);
    CHECK(answer->body() == "fine");
    CHECK(sends == 2);
}

TEST_CASE("a stream without a length that is reset during its upload is reset at its caller")
{
    DaemonFixture fixture;
    allowUploads(fixture);
    std::promise<void> hasEvent;
    RawServer backend(
        [&](Socket &socket, const Request &request) {
            sendBytes(socket, "HTTP/1.1 200 OK\r\n" + ownFields(request) + "Content-Type: text/event-stream\r\n\r\ndata: a\n\n");
            hasEvent.get_future().wait();
            sendReset(socket);
            return false;
        },
        Reading::Head);
    fixture.startWith({&backend});
    KeptCaller caller(fixture);
    caller.send(uploadText("/stream/x", "upload"));
    CHECK(caller.receiveUntil("data: a\n\n").starts_with("HTTP/1.1 200 OK\r\n"));
    hasEvent.set_value();
    CHECK(caller.receiveEnd() == boost::asio::error::connection_reset);
}

TEST_CASE("an answer to an upload that its backend server ends early and in order is passed on")
{
    DaemonFixture fixture;
    allowUploads(fixture);
    RawServer backend(
        [&](Socket &socket, const Request &request) {
            sendBytes(socket, "HTTP/1.1 413 Too Large\r\n" + ownFields(request) + "Connection: close\r\n\r\ntoo large");
            socket.shutdown(Socket::shutdown_send);
            waitForDaemon(fixture);
            sendReset(socket);
            return false;
        },
        Reading::Head);
    fixture.startWith({&backend});
    KeptCaller caller(fixture);
    caller.send(uploadText("/order/x", "upload"));
    const auto answer = caller.receive();
    REQUIRE(answer);
    CHECK(answer->result_int() == 413);
    CHECK(answer->body() == "too large");
}

TEST_CASE("a call to the store or to another daemon brings nothing of a broken answer")
{
    for (const std::string &broken : brokenAnswers()) {
        CAPTURE(broken);
        RawServer server([&broken](Socket &socket, const Request &request) {
            sendBytes(socket, request.target() == "/broken" ? fillIn(broken, request) : signedAnswer(request, "fine"));
            return true;
        });
        boost::asio::io_context context;
        connection::http::CallClient client(context, connection::http::parseEndpoint(server.address()));
        const auto call = [&](const std::string &path) {
            std::optional<connection::http::CallResult> result;
            client.call(connection::http::Request(boost::beast::http::verb::get, path, 11), {1s, maxAnswerTime},
                        [&result](const connection::http::CallResult &ended) { result = ended; });
            context.restart();
            while (!result && context.run_one() > 0) {
            }
            return *result;
        };
        for (const bool isKept : {false, true}) {
            CAPTURE(isKept);
            if (isKept) {
                CHECK(call("/").body == "fine");
            }
            const auto result = call("/broken");
            CHECK(result.status == 0);
            CHECK(result.body.empty());
            CHECK(result.header == nullptr);
            CHECK(result.failure != "no answer in time");
        }
        CHECK(call("/").body == "fine");
    }
}
