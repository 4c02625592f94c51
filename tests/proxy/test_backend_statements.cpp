/** @file Backend servers that announce in answers that they are leaving, or until when they accept no requests. */

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

/** Refuses every request as not run, with this Retry-After value. */
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

/** Answers so slowly that placement prefers any other backend server. */
bool answerLate(Socket &socket, const Request &request)
{
    std::this_thread::sleep_for(200ms);
    return answerOk(socket, request);
}

/** Sends requests until this backend server has received one. */
void callUntilReached(const DaemonFixture &fixture, const RawServer &backend, const std::string &path)
{
    for (int round = 0; round < 80 && backend.requests().empty(); ++round) {
        fixture.call(path, "reach-" + std::to_string(round));
    }
    REQUIRE_FALSE(backend.requests().empty());
}

void callRepeatedly(const DaemonFixture &fixture, int count, unsigned expectedStatus = 200)
{
    for (int round = 0; round < count; ++round) {
        CHECK(fixture.call("/order/x", "q" + std::to_string(round)).result_int() == expectedStatus);
    }
}

}

TEST_CASE("a backend server that announces its leaving receives no more requests, whatever the store lists")
{
    RawServer leaving(answerLeaving);
    RawServer staying(answerLate);
    DaemonFixture fixture;
    fixture.startWith({&leaving, &staying});
    callUntilReached(fixture, leaving, "/order/x");
    callRepeatedly(fixture, 8);
    // Neither a repeated old entry, nor one that is removed and written again, makes it eligible again.
    fixture.addBackend("i-1", leaving);
    callRepeatedly(fixture, 5);
    fixture.store.remove("servers", "i-1");
    std::this_thread::sleep_for(300ms);
    fixture.addBackend("i-1", leaving);
    std::this_thread::sleep_for(300ms);
    callRepeatedly(fixture, 8);
    CHECK(leaving.requests().size() == 1);
}

TEST_CASE("an announced leaving takes effect while the store is unavailable")
{
    RawServer leaving(answerLeaving);
    RawServer staying(answerLate);
    DaemonFixture fixture;
    fixture.startWith({&leaving, &staying});
    fixture.store.refusesAll = true;
    callUntilReached(fixture, leaving, "/order/x");
    callRepeatedly(fixture, 8);
    CHECK(leaving.requests().size() == 1);
}

TEST_CASE("refusals, error answers and streams also announce a leaving, and a running stream continues to its end")
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
        DaemonFixture fixture;
        fixture.startWith({&leaving, &staying});
        callUntilReached(fixture, leaving, "/stream/x");
        for (int round = 0; round < 8; ++round) {
            CHECK(fixture.call("/stream/x", "q" + std::to_string(round)).body() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        }
        CHECK(leaving.requests().size() == 1);
    }
}

TEST_CASE("a restarted instance of a backend server that left is used")
{
    RawServer leaving(answerLeaving);
    RawServer restarted(answerOk);
    DaemonFixture fixture;
    fixture.startWith({&leaving});
    callUntilReached(fixture, leaving, "/order/x");
    fixture.addBackend("i-1", restarted, "ready", "a", 2000);
    CHECK(eventually([&] { return fixture.call("/order/x", "q1").result_int() == 200; }));
    CHECK(restarted.requests().size() == 1);
}

TEST_CASE("a backend server that sends Retry-After receives nothing until then, and single requests afterwards")
{
    RawServer busy(refuseFor("1.5"));
    RawServer open(answerLate);
    DaemonFixture fixture;
    fixture.startWith({&busy, &open});
    callUntilReached(fixture, busy, "/order/x");
    const auto until = std::chrono::steady_clock::now() + 1300ms;
    while (std::chrono::steady_clock::now() < until) {
        callRepeatedly(fixture, 1);
    }
    CHECK(busy.requests().size() == 1);
    CHECK(eventually([&] {
        callRepeatedly(fixture, 1);
        return busy.requests().size() == 2;
    }));
    // The second refusal closes it for the same time again.
    callRepeatedly(fixture, 5);
    CHECK(busy.requests().size() == 2);
}

TEST_CASE("callers are refused at once, with the earliest time, when all backend servers sent Retry-After")
{
    RawServer first(refuseFor("5"));
    RawServer second(refuseFor("3"));
    DaemonFixture fixture;
    fixture.startWith({&first, &second});
    callRepeatedly(fixture, 1, 503);
    const auto before = std::chrono::steady_clock::now();
    const auto refused = fixture.call("/check/x", "q9");
    // Requests of this route would otherwise wait 500 ms for a usable backend server.
    CHECK(std::chrono::steady_clock::now() - before < 400ms);
    CHECK(refused.result_int() == 503);
    const double retryAfter = std::stod(std::string(refused["Retry-After"]));
    CHECK(retryAfter > 2.0);
    CHECK(retryAfter <= 6.0);
    CHECK(first.requests().size() + second.requests().size() == 2);
}

TEST_CASE("invalid Retry-After values do not close a backend server for long")
{
    for (const std::string value : {"-3", "soon", "Fri, 04 Dec 2026 12:00:00 GMT", "nan", "inf", "", "1e300x", "0"}) {
        RawServer invalid(refuseFor(value));
        DaemonFixture fixture;
        fixture.startWith({&invalid});
        callRepeatedly(fixture, 1, 503);
        CHECK(eventually([&] {
            fixture.call("/order/x", "again");
            return invalid.requests().size() >= 2;
        }));
    }
}
