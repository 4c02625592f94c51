/** @file Backend servers that send endless answers: the daemon must stop reading, refuse its caller and keep serving others. */

#include "connection/http/call_client.h"
#include "process/proxy/answer_buffer_budget.h"
#include "proxy/daemon_fixture.h"
#include "standin/process_memory.h"

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace eelgrassnotch;
using namespace std::chrono_literals;
using namespace standin;

namespace
{

/** Limit on the bytes a daemon may read of an endless answer: the largest answer it buffers plus the kernel's socket buffers. */
constexpr std::size_t maxBytesRead = 16u << 20;
/** The caller must be answered well before its time limit of 8 s. */
constexpr auto maxAnswerTime = 5s;

/** Sends a prefix and then repeats the same bytes until the daemon closes the connection. */
class EndlessServer
{
public:
    EndlessServer(std::function<std::string(const Request &)> prefix, const std::string &repeated)
        : server([this, makePrefix = std::move(prefix), part = repeatToChunk(repeated)](Socket &socket, const Request &request) {
            this->isClosed = false;
            sendBytes(socket, makePrefix(request));
            boost::system::error_code error;
            while (!error && this->sent <= maxBytesRead) {
                this->sent += boost::asio::write(socket, boost::asio::buffer(part), error);
            }
            this->isClosed = static_cast<bool>(error);
            return false;
        })
    {
    }

    RawServer server;
    std::atomic<std::size_t> sent {0};
    std::atomic<bool> isClosed {false};

private:
    static std::string repeatToChunk(const std::string &part)
    {
        constexpr std::size_t minChunkBytes = 4096;
        std::string text;
        while (text.size() < minChunkBytes) {
            text += part;
        }
        return text;
    }
};

std::string plainHeader(const std::string &id, const std::string &framing)
{
    return "HTTP/1.1 200 OK\r\nX-Eelgrassnotch-Attempt-Id: " + id + "\r\nX-Eelgrassnotch-Response-Signature: s\r\n" + framing + "\r\n";
}

/** Sends one request, and checks that the daemon aborts the answer, answers its caller with 502 and stays ready. */
void checkAborted(EndlessServer &endless)
{
    DaemonFixture fixture;
    fixture.startWith({&endless.server});
    const auto before = std::chrono::steady_clock::now();
    const auto answer = fixture.call("/order/x", "q1");
    CHECK(std::chrono::steady_clock::now() - before < maxAnswerTime);
    CHECK(answer.result_int() == 502);
    CHECK(eventually([&] { return endless.isClosed.load(); }));
    CHECK(endless.sent <= maxBytesRead);
    CHECK(fixture.probeStatus() == 200);
}

}

TEST_CASE("a status line without end is aborted")
{
    EndlessServer endless([](const Request &) { return std::string("HTTP/1.1 200 "); }, "OK");
    checkAborted(endless);
}

TEST_CASE("a header without end is aborted")
{
    EndlessServer endless([](const Request &) { return std::string("HTTP/1.1 200 OK\r\n"); }, "X-More: of the same\r\n");
    checkAborted(endless);
}

TEST_CASE("informational answers without end are aborted")
{
    EndlessServer endless([](const Request &) { return std::string(); }, "HTTP/1.1 102 Processing\r\n\r\n");
    checkAborted(endless);
}

TEST_CASE("a body without end and without a length is aborted")
{
    EndlessServer endless([](const Request &request) { return plainHeader(idOf(request), "Connection: close\r\n"); }, "abc");
    checkAborted(endless);
}

TEST_CASE("chunks without end are aborted")
{
    EndlessServer endless([](const Request &request) { return plainHeader(idOf(request), "Transfer-Encoding: chunked\r\n"); },
                          chunk(std::string(1000, 'x')));
    checkAborted(endless);
}

TEST_CASE("a chunk extension without end is aborted")
{
    EndlessServer endless([](const Request &request) { return plainHeader(idOf(request), "Transfer-Encoding: chunked\r\n") + "3;x="; },
                          "abc");
    checkAborted(endless);
}

TEST_CASE("trailers without end are aborted")
{
    EndlessServer endless(
        [](const Request &request) { return plainHeader(idOf(request), "Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n0\r\n"; },
        "X-More: of the same\r\n");
    checkAborted(endless);
}

TEST_CASE("the body of an answer to another request is aborted when it has no end")
{
    EndlessServer endless([](const Request &) { return plainHeader("other", "Transfer-Encoding: chunked\r\n"); }, "3\r\nabc\r\n");
    checkAborted(endless);
}

TEST_CASE("an event without end is aborted")
{
    EndlessServer endless([](const Request &request) { return streamHeader(request); }, "3\r\nabc\r\n");
    DaemonFixture fixture;
    fixture.startWith({&endless.server});
    CHECK(fixture.call("/stream/x", "q1").result_int() == 502);
    CHECK(eventually([&] { return endless.isClosed.load(); }));
    CHECK(endless.sent <= maxBytesRead);
}

TEST_CASE("a chunk size without end is aborted")
{
    EndlessServer endless([](const Request &request) { return plainHeader(idOf(request), "Transfer-Encoding: chunked\r\n"); }, "0000");
    checkAborted(endless);
}

TEST_CASE("bytes without end that are no answer are aborted")
{
    EndlessServer endless([](const Request &) { return std::string(); }, std::string("\0\1\2 no answer", 12));
    checkAborted(endless);
}

TEST_CASE("empty lines without end before an answer are aborted")
{
    EndlessServer endless([](const Request &) { return std::string(); }, "\r\n");
    checkAborted(endless);
}

TEST_CASE("comment lines without end in a stream are aborted")
{
    EndlessServer endless([](const Request &request) { return streamHeader(request); }, chunk(": still here\n"));
    DaemonFixture fixture;
    fixture.startWith({&endless.server});
    CHECK(fixture.call("/stream/x", "q1").result_int() == 502);
    CHECK(eventually([&] { return endless.isClosed.load(); }));
    CHECK(endless.sent <= maxBytesRead);
}

TEST_CASE("bytes without end after a whole answer end their connection, and the answer is passed on")
{
    for (const std::string &more : {std::string("X"), std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), std::string("\r\n")}) {
        EndlessServer endless([](const Request &request) { return signedAnswer(request, "fine"); }, more);
        DaemonFixture fixture;
        fixture.startWith({&endless.server});
        CHECK(fixture.call("/order/x", "q1").body() == "fine");
        CHECK(eventually([&] { return endless.isClosed.load(); }));
        CHECK(endless.sent <= maxBytesRead);
    }
}

TEST_CASE("bytes without end while the request is still being written are aborted")
{
    RawServer backend(answerOk);
    std::atomic<std::size_t> sent {0};
    std::atomic<bool> isClosed {false};
    // Reads nothing, so that the request fills the kernel's buffers.
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, connection::http::parseEndpoint("127.0.0.1:" + std::to_string(findFreePort())));
    std::thread server([&] {
        Socket socket = acceptor.accept();
        boost::system::error_code error;
        const std::string part(4096, 'x');
        while (!error && sent <= maxBytesRead) {
            sent += boost::asio::write(socket, boost::asio::buffer(part), error);
        }
        isClosed = static_cast<bool>(error);
    });
    boost::asio::io_context clientContext;
    const auto connection = std::make_shared<connection::http::ClientConnection>(clientContext.get_executor(), acceptor.local_endpoint());
    auto request = std::make_shared<connection::http::Request>(boost::beast::http::verb::post, "/x", 11);
    request->body() = std::string(16u << 20, 'b');
    request->prepare_payload();
    std::vector<connection::http::EndKind> ends;
    connection->send(request, 1s,
                     {[](const connection::http::AnswerHeader &) { return true; }, [](std::string_view) {},
                      [&ends](const connection::http::ExchangeEnd &end) { ends.push_back(end.kind); }});
    clientContext.run_for(2s);
    server.join();
    CHECK(ends == std::vector<connection::http::EndKind> {connection::http::EndKind::Malformed});
    CHECK(isClosed);
    CHECK(sent <= maxBytesRead);
}

TEST_CASE("answers without end of the store or of another daemon are given up")
{
    const std::vector<std::pair<std::string, std::string>> endless {
        {"HTTP/1.1 200 OK\r\n\r\n", "x"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(std::string(1000, 'x'))},
        {"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
        {"HTTP/1.1 200 OK\r\n", "X-More: of the same\r\n"},
        {"", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"", "x"},
    };
    for (const auto &form : endless) {
        const std::string &start = form.first;
        const std::string &repeated = form.second;
        // The server stops by itself after maxBytesRead; the largest answer of a call takes as much.
        EndlessServer server([&start](const Request &) { return start; }, repeated);
        boost::asio::io_context context;
        connection::http::CallClient client(context, connection::http::parseEndpoint(server.server.address()));
        std::vector<connection::http::CallResult> results;
        client.call(connection::http::Request(boost::beast::http::verb::get, "/x", 11), {1s, 10s},
                    [&](const connection::http::CallResult &result) { results.push_back(result); });
        const auto until = std::chrono::steady_clock::now() + 10s;
        while (results.empty() && std::chrono::steady_clock::now() < until) {
            context.run_for(10ms);
        }
        CAPTURE(start);
        CAPTURE(repeated.substr(0, 20));
        REQUIRE(results.size() == 1);
        CHECK(results.front().status == 0);
        CHECK(results.front().body.empty());
    }
}

// Guards against a process that runs out of memory, and with it the requests of all its callers.
TEST_CASE("many answers without end at once leave the memory bounded, and other requests are answered")
{
    constexpr int callerCount = 40;
    // Half of what the smallest VM has.
    constexpr std::size_t maxGrowthBytes = 44u << 20;
    for (const std::string &framing : {std::string("Transfer-Encoding: chunked\r\n\r\n"), std::string("X-More: ")}) {
        std::atomic<bool> isOver {false};
        RawServer endless([&](Socket &socket, const Request &request) {
            if (!idOf(request).starts_with("endless")) {
                return answerOk(socket, request);
            }
            sendBytes(socket, plainHeader(idOf(request), "").substr(0, plainHeader(idOf(request), "").size() - 2) + framing);
            const std::string part = framing.ends_with(": ") ? std::string(4096, 'x') : chunk(std::string(4096, 'x'));
            boost::system::error_code error;
            while (!error && !isOver) {
                boost::asio::write(socket, boost::asio::buffer(part), error);
            }
            return false;
        });
        DaemonFixture fixture;
        fixture.startWith({&endless});
        REQUIRE(fixture.call("/order/x", "first").result_int() == 200);
        const std::size_t before = residentBytes();
        std::atomic<std::size_t> peak {before};
        std::vector<std::thread> callers;
        callers.reserve(callerCount);
        std::atomic<int> running {callerCount};
        for (int caller = 0; caller < callerCount; ++caller) {
            callers.emplace_back([&, caller] {
                CHECK(fixture.call("/order/x", "endless-" + std::to_string(caller)).result_int() != 200);
                --running;
            });
        }
        while (running > 0) {
            peak = std::max(peak.load(), residentBytes());
            const auto asked = std::chrono::steady_clock::now();
            const auto answer = fixture.call("/open/x", "other");
            // It may be refused unsent, as the only backend server has failed; it must not wait.
            CHECK((answer.result_int() == 200 || answer.result_int() == 503));
            CHECK(std::chrono::steady_clock::now() - asked < 2s);
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        isOver = true;
        CAPTURE(framing);
        CHECK(peak - before < maxGrowthBytes);
        CHECK(fixture.probeStatus() == 200);
    }
}

TEST_CASE("small answers are kept when large ones use up the buffer budget")
{
    process::proxy::AnswerBufferBudget budget;
    {
        std::vector<std::unique_ptr<process::proxy::AnswerBufferBudget::Usage>> large;
        for (std::size_t bufferedBytes = 0; bufferedBytes < process::proxy::maxBufferedTotalBytes;
             bufferedBytes += process::proxy::maxBufferedAnswerBytes) {
            large.push_back(std::make_unique<process::proxy::AnswerBufferBudget::Usage>(budget));
            CHECK(large.back()->add(process::proxy::maxBufferedAnswerBytes));
        }
        process::proxy::AnswerBufferBudget::Usage small(budget);
        CHECK(small.add(process::proxy::smallAnswerBytes));
        CHECK_FALSE(small.add(1));
    }
    CHECK(budget.bufferedBytes() == 0);
}

// Many large answers at once would exceed the memory of the process if only their single sizes were limited.
TEST_CASE("large answers that come at once stay within the memory limit of the process")
{
    constexpr std::size_t callerCount = 24;
    DaemonFixture fixture;
    // Each connection sends half of a large answer and then stalls, so that all are buffered at once.
    const std::size_t bufferedBytes = 6u << 20;
    RawServer large([bufferedBytes](Socket &socket, const Request &request) {
        sendBytes(socket, plainHeader(idOf(request), "Content-Length: " + std::to_string(bufferedBytes * 2) + "\r\n"));
        sendBytes(socket, std::string(bufferedBytes, 'x'));
        std::this_thread::sleep_for(2s);
        return false;
    });
    fixture.startWith({&large});
    std::atomic<std::size_t> abortedEarly {0};
    std::vector<std::thread> callers;
    const auto startedAt = std::chrono::steady_clock::now();
    for (std::size_t caller = 0; caller < callerCount; ++caller) {
        callers.emplace_back([&, caller] {
            const auto answer = fixture.call("/order/x", "q" + std::to_string(caller));
            CHECK(answer.result_int() == 502);
            abortedEarly += std::chrono::steady_clock::now() - startedAt < 1500ms ? 1 : 0;
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    // The process has 88 MB on a VM; answers may use at most half of it.
    CHECK((callerCount - abortedEarly) * bufferedBytes <= (44u << 20));
}

TEST_CASE("an answer whose head is broken off is passed on as a whole one")
{
    const std::string id = "X-Eelgrassnotch-Attempt-Id: q\r\n";
    const std::string signature = "X-Eelgrassnotch-Response-Signature: s\r\n";
    const std::vector<std::string> heads = {
        "HTTP/1.",
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\n" + id + signature,
        "HTTP/1.1 200 OK\r\n" + id + signature + "Content-Le",
        "HTTP/1.1 200 OK\r\n" + id + signature + "Content-Length: 4",
        "HTTP/1.1 200 OK\r\n" + id + signature + "Content-Length: 0\r\n",
        "HTTP/1.1 200 OK\r\n" + id + signature + "Content-Length: 0\r\n\r",
        "HTTP/1.1 200 OK\r\n" + id + signature + "Content-Type: text/event-stream\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + id + signature,
    };
    for (const std::string &head : heads) {
        for (const bool isKept : {false, true}) {
            CAPTURE(head);
            CAPTURE(isKept);
            RawServer backend([&head, isKept](Socket &socket, const Request &request) {
                if (isKept && idOf(request) == "first") {
                    return answerOk(socket, request);
                }
                sendBytes(socket, head);
                return false;
            });
            DaemonFixture fixture;
            fixture.startWith({&backend});
            if (isKept) {
                REQUIRE(fixture.call("/order/x", "first").result_int() == 200);
            }
            for (const char *path : {"/order/x", "/stream/x"}) {
                const auto answer = fixture.call(path, "q");
                CHECK(answer.result_int() != 200);
                CHECK(answer.body().find("fine") == std::string::npos);
            }
            // The second request may be refused unsent, as the backend server has just failed.
            CHECK(backend.requests().size() >= (isKept ? 2 : 1));
        }
    }
}
