/** @file Backend servers that send bytes without end: what a daemon reads of them, and what other callers notice. */

#include "process/proxy/answer_buffer_budget.h"
#include "proxy/daemon_fixture.h"

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

/** A daemon may read this much of an answer that has no end: its largest whole answer, and what the kernel's buffers hold. */
constexpr std::size_t mostBytesTaken = 16u << 20;
/** A caller's request is ended well before its time limit of 8 s. */
constexpr auto mostTimeTaken = 5s;

/** Sends a beginning and then the same bytes again until the daemon closes the connection. */
class EndlessServer
{
public:
    EndlessServer(std::function<std::string(const Request &)> beginning, const std::string &repeated)
        : server([this, begin = std::move(beginning), part = repeatToChunk(repeated)](Socket &socket, const Request &request) {
            this->isClosed = false;
            sendBytes(socket, begin(request));
            boost::system::error_code error;
            while (!error && this->sent <= mostBytesTaken) {
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
        constexpr std::size_t least = 4096;
        std::string text;
        while (text.size() < least) {
            text += part;
        }
        return text;
    }
};

std::string plainHeader(const std::string &id, const std::string &framing)
{
    return "HTTP/1.1 200 OK\r\nX-Eelgrassnotch-Attempt-Id: " + id + "\r\nX-Eelgrassnotch-Response-Signature: s\r\n" + framing + "\r\n";
}

/** Calls once, and checks that the daemon gave the answer up, told its caller so, and still serves others. */
void checkGivenUp(EndlessServer &endless)
{
    DaemonFixture world;
    world.startWith({&endless.server});
    const auto before = std::chrono::steady_clock::now();
    const auto answer = world.call("/order/x", "q1");
    CHECK(std::chrono::steady_clock::now() - before < mostTimeTaken);
    CHECK(answer.result_int() == 502);
    CHECK(eventually([&] { return endless.isClosed.load(); }));
    CHECK(endless.sent <= mostBytesTaken);
    CHECK(world.probeStatus() == 200);
}

}

TEST_CASE("a status line without end is given up")
{
    EndlessServer endless([](const Request &) { return std::string("HTTP/1.1 200 "); }, "OK");
    checkGivenUp(endless);
}

TEST_CASE("a header without end is given up")
{
    EndlessServer endless([](const Request &) { return std::string("HTTP/1.1 200 OK\r\n"); }, "X-More: of the same\r\n");
    checkGivenUp(endless);
}

TEST_CASE("informational answers without end are given up")
{
    EndlessServer endless([](const Request &) { return std::string(); }, "HTTP/1.1 102 Processing\r\n\r\n");
    checkGivenUp(endless);
}

TEST_CASE("a body without length and end is given up")
{
    EndlessServer endless([](const Request &request) { return plainHeader(idOf(request), "Connection: close\r\n"); }, "abc");
    checkGivenUp(endless);
}

TEST_CASE("chunks without end are given up")
{
    EndlessServer endless([](const Request &request) { return plainHeader(idOf(request), "Transfer-Encoding: chunked\r\n"); },
                          chunk(std::string(1000, 'x')));
    checkGivenUp(endless);
}

TEST_CASE("a chunk extension without end is given up")
{
    EndlessServer endless([](const Request &request) { return plainHeader(idOf(request), "Transfer-Encoding: chunked\r\n") + "3;x="; },
                          "abc");
    checkGivenUp(endless);
}

TEST_CASE("trailers without end are given up")
{
    EndlessServer endless(
        [](const Request &request) { return plainHeader(idOf(request), "Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n0\r\n"; },
        "X-More: of the same\r\n");
    checkGivenUp(endless);
}

TEST_CASE("the body of an answer to another request is given up when it has no end")
{
    EndlessServer endless([](const Request &) { return plainHeader("other", "Transfer-Encoding: chunked\r\n"); }, "3\r\nabc\r\n");
    checkGivenUp(endless);
}

TEST_CASE("an event without end is given up")
{
    EndlessServer endless([](const Request &request) { return streamHeader(request); }, "3\r\nabc\r\n");
    DaemonFixture world;
    world.startWith({&endless.server});
    CHECK(world.call("/stream/x", "q1").result_int() == 502);
    CHECK(eventually([&] { return endless.isClosed.load(); }));
    CHECK(endless.sent <= mostBytesTaken);
}

TEST_CASE("small answers are kept also when large ones fill the memory for answers")
{
    process::proxy::AnswerBufferBudget memory;
    {
        std::vector<std::unique_ptr<process::proxy::AnswerBufferBudget::Usage>> large;
        for (std::size_t held = 0; held < process::proxy::maxBufferedTotalBytes; held += process::proxy::maxBufferedAnswerBytes) {
            large.push_back(std::make_unique<process::proxy::AnswerBufferBudget::Usage>(memory));
            CHECK(large.back()->add(process::proxy::maxBufferedAnswerBytes));
        }
        process::proxy::AnswerBufferBudget::Usage small(memory);
        CHECK(small.add(process::proxy::smallAnswerBytes));
        CHECK_FALSE(small.add(1));
    }
    CHECK(memory.bufferedBytes() == 0);
}

TEST_CASE("large answers that come at once stay within a bound of the process")
{
    constexpr std::size_t callerCount = 24;
    DaemonFixture world;
    // Each sends most of a large answer and then nothing, so that all are held at once.
    const std::size_t held = 6u << 20;
    RawServer large([held](Socket &socket, const Request &request) {
        sendBytes(socket, plainHeader(idOf(request), "Content-Length: " + std::to_string(held * 2) + "\r\n"));
        sendBytes(socket, std::string(held, 'x'));
        std::this_thread::sleep_for(2s);
        return false;
    });
    world.startWith({&large});
    std::atomic<std::size_t> brokenEarly {0};
    std::vector<std::thread> callers;
    const auto begun = std::chrono::steady_clock::now();
    for (std::size_t caller = 0; caller < callerCount; ++caller) {
        callers.emplace_back([&, caller] {
            const auto answer = world.call("/order/x", "q" + std::to_string(caller));
            CHECK(answer.result_int() == 502);
            brokenEarly += std::chrono::steady_clock::now() - begun < 1500ms ? 1 : 0;
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    // A VM has 88 MB for the process; half of it is for answers at most.
    CHECK((callerCount - brokenEarly) * held <= (44u << 20));
}
