/** @file What backend servers state of themselves in answers: that they leave, and when they want requests again. */

#include "proxy/daemon_fixture.h"

#include <doctest/doctest.h>

#include <atomic>

using namespace standin;

namespace
{

constexpr const char *leavingField = "Server-Leaving: 1\r\n";

std::string withField(const std::string &answer, const std::string &field)
{
    const std::size_t firstLine = answer.find("\r\n") + 2;
    return answer.substr(0, firstLine) + field + answer.substr(firstLine);
}

/** Refuses every request, with this value of Retry-After. */
RawServer::Script refuseFor(const std::string &retryAfter)
{
    return [retryAfter](Socket &socket, const Request &) {
        sendBytes(socket,
                  "HTTP/1.1 503 Busy\r\nX-Eelgrassnotch-Not-Executed: 1\r\nRetry-After: " + retryAfter + "\r\nContent-Length: 0\r\n\r\n");
        return true;
    };
}

bool answerLeaving(Socket &socket, const Request &request)
{
    sendBytes(socket, withField(signedAnswer(request, "fine"), leavingField));
    return true;
}

/** Answers so late that any other backend server is preferred. */
bool answerLate(Socket &socket, const Request &request)
{
    std::this_thread::sleep_for(200ms);
    return answerOk(socket, request);
}

/** Calls until a backend server has got a request. */
void reach(const DaemonFixture &world, const RawServer &backend, const std::string &path)
{
    for (int round = 0; round < 80 && backend.requests().empty(); ++round) {
        world.call(path, "reach-" + std::to_string(round));
    }
    REQUIRE_FALSE(backend.requests().empty());
}

void callTimes(const DaemonFixture &world, int count, unsigned expectedStatus = 200)
{
    for (int round = 0; round < count; ++round) {
        CHECK(world.call("/order/x", "q" + std::to_string(round)).result_int() == expectedStatus);
    }
}

}

TEST_CASE("a backend server that answers that it leaves gets nothing more, whatever the store says of it")
{
    RawServer leaving(answerLeaving);
    RawServer staying(answerLate);
    DaemonFixture world;
    world.startWith({&leaving, &staying});
    reach(world, leaving, "/order/x");
    callTimes(world, 8);
    // Older words of its entry, and an entry that vanishes and is written again, don't take it back.
    world.addBackend("i-1", leaving);
    callTimes(world, 5);
    world.store.remove("servers", "i-1");
    std::this_thread::sleep_for(300ms);
    world.addBackend("i-1", leaving);
    std::this_thread::sleep_for(300ms);
    callTimes(world, 8);
    CHECK(leaving.requests().size() == 1);
}

TEST_CASE("a backend server's leaving is known while the store is away")
{
    RawServer leaving(answerLeaving);
    RawServer staying(answerLate);
    DaemonFixture world;
    world.startWith({&leaving, &staying});
    world.store.refusesAll = true;
    reach(world, leaving, "/order/x");
    callTimes(world, 8);
    CHECK(leaving.requests().size() == 1);
}

TEST_CASE("refusals, failures and streams tell of a leaving too, and a running stream goes on to its end")
{
    const std::vector<RawServer::Script> scripts = {
        [](Socket &socket, const Request &request) {
            sendBytes(socket, withField(signedAnswer(request, "no", "500 Error"), leavingField));
            return true;
        },
        [](Socket &socket, const Request &) {
            sendBytes(socket, "HTTP/1.1 503 Full\r\nServer-Leaving: 1\r\nX-Eelgrassnotch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        },
        [](Socket &socket, const Request &request) {
            sendBytes(socket, withField(streamHeader(request), leavingField) + chunk("id: 1\ndata: a\n\n"));
            std::this_thread::sleep_for(300ms);
            sendBytes(socket, chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
            return true;
        },
    };
    for (const RawServer::Script &script : scripts) {
        RawServer leaving(script);
        RawServer staying([](Socket &socket, const Request &request) {
            std::this_thread::sleep_for(100ms);
            sendBytes(socket, streamHeader(request) + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
            return true;
        });
        DaemonFixture world;
        world.startWith({&leaving, &staying});
        reach(world, leaving, "/stream/x");
        for (int round = 0; round < 8; ++round) {
            CHECK(world.call("/stream/x", "q" + std::to_string(round)).body() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        }
        CHECK(leaving.requests().size() == 1);
    }
}

TEST_CASE("a new start of a backend server that left is used")
{
    RawServer leaving(answerLeaving);
    RawServer next(answerOk);
    DaemonFixture world;
    world.startWith({&leaving});
    reach(world, leaving, "/order/x");
    world.addBackend("i-1", next, "ready", "a", 2000);
    CHECK(eventually([&] { return world.call("/order/x", "q1").result_int() == 200; }));
    CHECK(next.requests().size() == 1);
}

TEST_CASE("a backend server that names a time to come back gets nothing until then, and single requests after it")
{
    RawServer busy(refuseFor("1.5"));
    RawServer open(answerLate);
    DaemonFixture world;
    world.startWith({&busy, &open});
    reach(world, busy, "/order/x");
    const auto until = std::chrono::steady_clock::now() + 1300ms;
    while (std::chrono::steady_clock::now() < until) {
        callTimes(world, 1);
    }
    CHECK(busy.requests().size() == 1);
    CHECK(eventually([&] {
        callTimes(world, 1);
        return busy.requests().size() == 2;
    }));
    // It has refused again, for as long.
    callTimes(world, 5);
    CHECK(busy.requests().size() == 2);
}

TEST_CASE("callers are refused at once, with the earliest time, when all backend servers want nothing")
{
    RawServer first(refuseFor("5"));
    RawServer second(refuseFor("3"));
    DaemonFixture world;
    world.startWith({&first, &second});
    callTimes(world, 1, 503);
    const auto before = std::chrono::steady_clock::now();
    const auto refused = world.call("/check/x", "q9");
    // The route's own waiting time for a backend server is 500 ms.
    CHECK(std::chrono::steady_clock::now() - before < 400ms);
    CHECK(refused.result_int() == 503);
    const double comeBack = std::stod(std::string(refused["Retry-After"]));
    CHECK(comeBack > 2.0);
    CHECK(comeBack <= 6.0);
    CHECK(first.requests().size() + second.requests().size() == 2);
}

TEST_CASE("times to come back that make no sense close nothing for long")
{
    for (const std::string value : {"-3", "soon", "Fri, 04 Dec 2026 12:00:00 GMT", "nan", "inf", "", "1e300x", "0"}) {
        RawServer odd(refuseFor(value));
        DaemonFixture world;
        world.startWith({&odd});
        callTimes(world, 1, 503);
        CHECK(eventually([&] {
            world.call("/order/x", "again");
            return odd.requests().size() >= 2;
        }));
    }
}
