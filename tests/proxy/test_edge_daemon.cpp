/** @file A whole daemon between raw callers and backend servers that misbehave. */

#include "process/clock.h"
#include "proxy/daemon_fixture.h"
#include "standin/process_memory.h"

#include <doctest/doctest.h>

#include <boost/asio/read.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

using namespace eelgrassnotch;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using nlohmann::json;
using namespace standin;

namespace
{

using World = standin::DaemonFixture;

}

TEST_CASE("a request reaches a backend server with what the daemon adds, and without what is not for it")
{
    RawServer backend(answerOk);
    World world;
    world.startWith({&backend});
    const auto answer = world.call("/order/x", "q1", "X-Eelgrassnotch-Tenant: forged\r\nX-Eelgrassnotch-Hold: forged\r\nX-Other: kept\r\n");
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == "fine");
    CHECK(answer["X-Eelgrassnotch-Response-Signature"] == "s");
    REQUIRE(backend.requests().size() == 1);
    const auto request = backend.requests().front();
    CHECK(request.body() == "abc");
    CHECK(request["X-Eelgrassnotch-Tenant"] == "w1");
    CHECK(request["X-Eelgrassnotch-Expect-Instance"] == "i-1");
    CHECK(request["X-Eelgrassnotch-Attempt-Id"] == "q1");
    CHECK(request["X-Other"] == "kept");
    CHECK(request.count("X-Eelgrassnotch-Hold") == 0);
    CHECK(request.count("X-Eelgrassnotch-Credential") == 0);
    const int timeLeft = std::stoi(std::string(request["X-Eelgrassnotch-Deadline-Ms"]));
    CHECK(timeLeft > 0);
    CHECK(timeLeft <= 8000);
}

// Guards against a workspace taken from a key that nobody has checked.
TEST_CASE("a request on a public route has no workspace, whatever key it carries")
{
    RawServer backend(answerOk);
    World world;
    world.startWith({&backend});
    CHECK(world.call("/open/x", "q1").result_int() == 200);
    REQUIRE(backend.requests().size() == 1);
    CHECK(backend.requests().front().count("X-Eelgrassnotch-Tenant") == 0);
    CHECK(backend.requests().front().count("X-Eelgrassnotch-Credential") == 0);
}

TEST_CASE("an order whose connection is reset runs once, and its answer promises nothing")
{
    RawServer first([](standin::Socket &socket, const standin::Request &) {
        standin::sendReset(socket);
        return false;
    });
    RawServer second([](standin::Socket &socket, const standin::Request &) {
        standin::sendReset(socket);
        return false;
    });
    World world;
    world.startWith({&first, &second});
    CHECK(world.call("/order/x", "q1").result_int() == 502);
    CHECK(first.requests().size() + second.requests().size() == 1);
}

TEST_CASE("a lookup whose connection is reset is sent once more, to another backend server")
{
    std::atomic<int> arrivals {0};
    const auto failFirst = [&arrivals](standin::Socket &socket, const standin::Request &request) {
        if (arrivals++ == 0) {
            standin::sendReset(socket);
            return false;
        }
        return answerOk(socket, request);
    };
    RawServer first(failFirst);
    RawServer second(failFirst);
    World world;
    world.startWith({&first, &second});
    CHECK(world.call("/check/x", "q1").result_int() == 200);
    CHECK(first.requests().size() == 1);
    CHECK(second.requests().size() == 1);
}

TEST_CASE("a refused order goes to another backend server, and a refusal of all says that it has not run")
{
    const auto shed = [](standin::Socket &socket, const standin::Request &) {
        standin::sendBytes(socket, "HTTP/1.1 503 Full\r\nX-Eelgrassnotch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return true;
    };
    RawServer full(shed);
    RawServer alsoFull(shed);
    World world;
    world.startWith({&full, &alsoFull});
    const auto refused = world.call("/order/x", "q1");
    CHECK(refused.result_int() == 503);
    CHECK(refused.count("Retry-After") == 1);
    CHECK(full.requests().size() + alsoFull.requests().size() == 2);
}

TEST_CASE("an address that answers for another instance gets nothing more")
{
    RawServer stranger([](standin::Socket &socket, const standin::Request &) {
        standin::sendBytes(socket, "HTTP/1.1 421 Misdirected\r\nX-Eelgrassnotch-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n");
        return true;
    });
    RawServer backend(answerOk);
    World world;
    world.startWith({&stranger, &backend});
    for (int round = 0; round < 10; ++round) {
        CHECK(world.call("/order/x", "q" + std::to_string(round)).result_int() == 200);
    }
    CHECK(stranger.requests().size() <= 1);
}

TEST_CASE("an answer to another request is not passed on")
{
    RawServer backend([](standin::Socket &socket, const standin::Request &request) {
        standin::sendBytes(socket,
                           "HTTP/1.1 200 OK\r\nX-Eelgrassnotch-Attempt-Id: other\r\nX-Eelgrassnotch-Response-Signature: "
                           "s\r\nContent-Length: 5\r\n\r\nwrong");
        return answerOk(socket, request);
    });
    World world;
    world.startWith({&backend});
    CHECK(world.call("/order/x", "q1").body() == "fine");
}

TEST_CASE("a second copy of an answer, sent late on a connection that is in use again, reaches nobody")
{
    const auto ownAnswer = [](const standin::Request &request) { return signedAnswer(request, "for " + idOf(request)); };
    const std::string unnamed = "HTTP/1.1 200 OK\r\nX-Eelgrassnotch-Response-Signature: s\r\nContent-Length: 6\r\n\r\nfor q0";
    const std::string named = "HTTP/1.1 200 OK\r\nX-Eelgrassnotch-Attempt-Id: q0\r\nX-Eelgrassnotch-Response-Signature: "
                              "s\r\nContent-Length: 6\r\n\r\nfor q0";
    for (const std::string &copy : {named, unnamed, "HTTP/1.1 102 Processing\r\n\r\n" + named, named + named, named.substr(0, 60)}) {
        RawServer backend([&](standin::Socket &socket, const standin::Request &request) {
            if (idOf(request) != "q0") {
                standin::sendBytes(socket, copy);
                std::this_thread::sleep_for(20ms);
            }
            standin::sendBytes(socket, ownAnswer(request));
            return true;
        });
        World world;
        world.startWith({&backend});
        CHECK(world.call("/check/x", "q0").body() == "for q0");
        for (const std::string id : {"q1", "q2", "q3"}) {
            const auto answer = world.call("/check/x", id);
            CAPTURE(copy);
            CHECK((answer.result_int() != 200 || answer.body() == "for " + id));
        }
    }
}

// Guards against believing that a request has not run, by a refusal of the request before it.
TEST_CASE("an earlier refusal that comes once more on a kept connection says nothing of the request that waits there")
{
    const std::string refusal = "HTTP/1.1 503 Full\r\nX-Eelgrassnotch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::string badRequest = "HTTP/1.1 400 Bad\r\nX-Eelgrassnotch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::string misdirected = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";
    for (const std::string &again : {refusal, badRequest, misdirected}) {
        for (const std::string path : {"/order/x", "/stream/x"}) {
            std::atomic<int> runs {0};
            RawServer near([&](standin::Socket &socket, const standin::Request &request) {
                if (idOf(request) != "q0") {
                    // The request runs; what is written first belongs to an earlier one.
                    ++runs;
                    standin::sendBytes(socket, again);
                    std::this_thread::sleep_for(20ms);
                }
                return answerOk(socket, request);
            });
            RawServer far([&runs](standin::Socket &socket, const standin::Request &request) {
                ++runs;
                return answerOk(socket, request);
            });
            World world;
            world.addBackend("i-2", far, "ready", "b");
            world.startWith({&near});
            CHECK(world.call(path, "q0").result_int() == 200);
            runs = 0;
            const auto answer = world.call(path, "q1");
            CAPTURE(again);
            CHECK((answer.result_int() == 200 || answer.result_int() == 502));
            CHECK(runs == 1);
        }
    }
}

TEST_CASE("an unsigned or encoded success is not passed on")
{
    for (const std::string extra : {"", "X-Eelgrassnotch-Response-Signature: s\r\nContent-Encoding: gzip\r\n"}) {
        RawServer backend([extra](standin::Socket &socket, const standin::Request &) {
            standin::sendBytes(socket, "HTTP/1.1 200 OK\r\n" + extra + "Content-Length: 5\r\n\r\nwrong");
            return true;
        });
        World world;
        world.startWith({&backend});
        CHECK(world.call("/order/x", "q1").result_int() == 502);
    }
}

TEST_CASE("a stream that breaks off inside an event goes on at another backend server, whole and in order")
{
    const auto script = [](standin::Socket &socket, const standin::Request &request) {
        const auto after = request["Last-Event-Id"];
        if (after.empty()) {
            standin::sendBytes(socket, streamHeader(request) + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\nid: 3\nda"));
            standin::sendReset(socket);
            return false;
        }
        CHECK(after == "2");
        standin::sendBytes(socket, streamHeader(request) + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
        return true;
    };
    RawServer first(script);
    RawServer second(script);
    World world;
    world.startWith({&first, &second});
    const auto answer = world.call("/resume/x", "q1");
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

// Guards against an orderly close that is taken for the end of the stream.
TEST_CASE("a stream that ends inside an event has broken off, with a length, in chunks, or with its connection")
{
    const std::string firstEvent = "id: 1\ndata: a\n\n";
    const std::string half = "id: 2\nda";
    const auto headerWith = [](const standin::Request &request, const std::string &framing) {
        return "HTTP/1.1 200 OK\r\nX-Eelgrassnotch-Attempt-Id: " + idOf(request)
            + "\r\nX-Eelgrassnotch-Response-Signature: s\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n";
    };
    const std::string length = "Content-Length: " + std::to_string(firstEvent.size() + half.size()) + "\r\n";
    const std::vector<std::function<std::string(const standin::Request &)>> endings {
        [&](const standin::Request &request) { return headerWith(request, length) + firstEvent + half; },
        [&](const standin::Request &request) { return streamHeader(request) + chunk(firstEvent + half) + "0\r\n\r\n"; },
        [&](const standin::Request &request) { return headerWith(request, "Connection: close\r\n") + firstEvent + half; },
    };
    for (const auto &ending : endings) {
        const auto script = [&ending, &firstEvent](standin::Socket &socket, const standin::Request &request) {
            if (request["Last-Event-Id"] == "1") {
                standin::sendBytes(socket, streamHeader(request) + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
                return true;
            }
            standin::sendBytes(socket, ending(request));
            return false;
        };
        RawServer first(script);
        RawServer second(script);
        World world;
        world.startWith({&first, &second});
        CHECK(world.call("/resume/x", "q1").body() == firstEvent + "id: 2\ndata: b\n\n");
        // Where it can't be resumed, the answer must not look complete.
        CHECK(world.call("/stream/x", "q2").result_int() == 0);
    }
}

// Guards against an error of the next backend server that reaches the caller in the middle of its stream.
TEST_CASE("a stream that broke off and whose next backend server answers otherwise ends as broken off, without that answer")
{
    const std::string firstEvent = "id: 1\ndata: a\n\n";
    const std::vector<std::function<std::string(const standin::Request &)>> others {
        [](const standin::Request &request) { return signedAnswer(request, "an error", "500 Error"); },
        [](const standin::Request &request) { return signedAnswer(request, "an error", "404 Not Found"); },
        [](const standin::Request &request) { return signedAnswer(request, "not a stream"); },
        [](const standin::Request &) { return std::string("HTTP/1.1 500 Error\r\nContent-Length: 8\r\n\r\nan error"); },
        [](const standin::Request &) {
            return std::string("HTTP/1.1 503 Full\r\nX-Eelgrassnotch-Not-Executed: 1\r\nContent-Length: 8\r\n\r\nan error");
        },
        [](const standin::Request &request) {
            return "HTTP/1.1 200 OK\r\nX-Eelgrassnotch-Attempt-Id: " + idOf(request)
                + "\r\nContent-Type: text/event-stream\r\nContent-Length: 8\r\n\r\nunsigned";
        },
        [](const standin::Request &) { return std::string("HTTP/1.1 500 Error\r\nX-Eelgrass"); },
    };
    for (const auto &other : others) {
        const auto script = [&other, &firstEvent](standin::Socket &socket, const standin::Request &request) {
            if (request.count("Last-Event-Id") > 0) {
                standin::sendBytes(socket, other(request));
                return false;
            }
            standin::sendBytes(socket, streamHeader(request) + chunk(firstEvent));
            standin::sendReset(socket);
            return false;
        };
        RawServer first(script);
        RawServer second(script);
        World world;
        world.startWith({&first, &second});
        boost::asio::io_context context;
        tcp::socket caller(context);
        caller.connect(connection::http::parseEndpoint(world.settings.callersAddress));
        boost::asio::write(caller, boost::asio::buffer(World::requestText("/resume/x", "q1")));
        std::string received;
        boost::system::error_code error;
        boost::asio::read(caller, boost::asio::dynamic_buffer(received), error);
        CAPTURE(received);
        CHECK(received.find(firstEvent) != std::string::npos);
        CHECK(received.find("0\r\n\r\n") == std::string::npos);
        for (const std::string wrong : {"an error", "not a stream", "unsigned", "500 Error"}) {
            CHECK(received.find(wrong) == std::string::npos);
        }
    }
}

TEST_CASE("a stream that can't be resumed does not look complete when it breaks off, and runs once")
{
    const auto script = [](standin::Socket &socket, const standin::Request &request) {
        standin::sendBytes(socket, streamHeader(request) + chunk("id: 1\ndata: a\n\n"));
        standin::sendReset(socket);
        return false;
    };
    RawServer first(script);
    RawServer second(script);
    World world;
    world.startWith({&first, &second});
    boost::system::error_code error;
    World::sendRawRequest(world.settings.callersAddress, World::requestText("/stream/x", "q1"), &error);
    CHECK(error);
    CHECK(first.requests().size() + second.requests().size() == 1);
}

TEST_CASE("the work of a caller who leaves is cancelled")
{
    std::atomic<bool> isReached {false};
    std::atomic<bool> isCancelled {false};
    RawServer backend([&](standin::Socket &socket, const standin::Request &) {
        isReached = true;
        char byte = 0;
        boost::system::error_code error;
        socket.read_some(boost::asio::buffer(&byte, 1), error);
        isCancelled = static_cast<bool>(error);
        return false;
    });
    World world;
    world.startWith({&backend});
    {
        boost::asio::io_context context;
        tcp::socket caller(context);
        caller.connect(connection::http::parseEndpoint(world.settings.callersAddress));
        boost::asio::write(caller, boost::asio::buffer(World::requestText("/check/x", "q1")));
        REQUIRE(eventually([&] { return isReached.load(); }));
    }
    CHECK(eventually([&] { return isCancelled.load(); }));
}

TEST_CASE("a caller who does not read is cut off, also with the last part of a stream, and others are served")
{
    // One event without an end, larger than what the caller's queue holds: it is passed on when the stream ends.
    RawServer backend([](standin::Socket &socket, const standin::Request &request) {
        if (idOf(request) != "slow") {
            return answerOk(socket, request);
        }
        standin::sendBytes(socket, streamHeader(request));
        const std::string event = "data: " + std::string(200000, 'x') + "\n\n";
        for (int count = 0; count < 400; ++count) {
            standin::sendBytes(socket, chunk(event));
        }
        standin::sendBytes(socket, chunk("data: " + std::string(200000, 'y')) + "0\r\n\r\n");
        return true;
    });
    World world;
    world.startWith({&backend});
    boost::asio::io_context context;
    tcp::socket caller(context);
    caller.connect(connection::http::parseEndpoint(world.settings.callersAddress));
    boost::asio::write(caller, boost::asio::buffer(World::requestText("/stream/x", "slow")));
    REQUIRE(eventually([&] { return !backend.requests().empty(); }));
    CHECK(eventually([&] { return world.call("/order/x", "q1").result_int() == 200; }));
    std::array<char, 65536> bytes {};
    boost::system::error_code error;
    while (!error) {
        caller.read_some(boost::asio::buffer(bytes), error);
    }
    CHECK(world.call("/order/x", "q2").result_int() == 200);
}

TEST_CASE("keys and routes are checked")
{
    RawServer backend(answerOk);
    World world;
    world.startWith({&backend});
    CHECK(world.call("/order/x", "q1", "", "key-2").result_int() == 401);
    CHECK(world.call("/nowhere/x", "q2").result_int() == 404);
    CHECK(world.call("/open/x", "q3", "", "").result_int() == 200);
    CHECK(backend.requests().size() == 1);
}

TEST_CASE("a revoked key is refused once the configuration that drops it is known")
{
    RawServer backend(answerOk);
    World world;
    world.startWith({&backend});
    CHECK(world.call("/order/x", "q1").result_int() == 200);
    json next = makeConfiguration(9);
    next["tenants"][0]["api_keys"] = {"key-2"};
    world.store.put("config", "main", next);
    CHECK(eventually([&] { return world.call("/order/x", "q2").result_int() == 401; }));
    // A configuration that is older than the one in force changes nothing.
    world.store.put("config", "main", makeConfiguration(5));
    world.store.put("servers", "i-9", json("unreadable"));
    CHECK(world.call("/order/x", "q3").result_int() == 401);
    CHECK(world.call("/order/x", "q4", "", "key-2").result_int() == 200);
}

TEST_CASE("keys that can't be confirmed are refused as not run, and public routes go on")
{
    RawServer backend(answerOk);
    World world(2500ms);
    world.startWith({&backend});
    world.store.refusesAll = true;
    CHECK(eventually([&] { return world.call("/order/x", "q1").result_int() == 503; }));
    const std::size_t before = backend.requests().size();
    CHECK(world.call("/order/x", "q2").result_int() == 503);
    CHECK(backend.requests().size() == before);
    CHECK(world.call("/open/x", "q3").result_int() == 200);
    CHECK(eventually([&] { return world.probeStatus() == 503; }));
    world.store.refusesAll = false;
    CHECK(eventually([&] { return world.call("/order/x", "q4").result_int() == 200; }));
}

TEST_CASE("a leaving backend server and a data centre that is taken out get nothing new, also when the store forgot its history")
{
    RawServer leaving(answerOk);
    RawServer away(answerOk);
    RawServer staying(answerOk);
    World world;
    world.addBackend("i-1", leaving);
    world.addBackend("i-2", away, "ready", "b");
    world.addBackend("i-3", staying);
    world.start();
    world.addBackend("i-1", leaving, "draining");
    world.store.put("evacuations", "b", json::object());
    world.store.compact();
    std::size_t number = 0;
    const auto onlyStaying = [&] {
        const std::size_t before = leaving.requests().size() + away.requests().size();
        for (int round = 0; round < 20; ++round) {
            CHECK(world.call("/order/x", "q" + std::to_string(number++)).result_int() == 200);
        }
        return leaving.requests().size() + away.requests().size() == before;
    };
    CHECK(eventually(onlyStaying));
    CHECK(onlyStaying());
}

TEST_CASE("a daemon of a fleet that starts for the first time asks for no list before the others have written their entries")
{
    World world;
    world.settings.isFirstStart = true;
    const Time begun = process::readClock();
    Time secondCall {0};
    std::thread watch([&world, &secondCall] {
        while (world.store.calls < 2) {
            std::this_thread::sleep_for(5ms);
        }
        secondCall = process::readClock();
    });
    world.start();
    watch.join();
    // The first call writes its own entry.
    CHECK(secondCall - begun >= 600ms);
}

TEST_CASE("a write whose answer is lost is found done")
{
    RawServer backend(answerOk);
    World world;
    world.store.losesNextWrite = true;
    world.startWith({&backend});
    CHECK(world.store.has("eelgrassnotch-daemons", "d-1"));
    CHECK(world.call("/order/x", "q1").result_int() == 200);
}

TEST_CASE("idle connections that have carried a request hold little memory")
{
    constexpr std::size_t connections = 400;
    // A quarter of the smallest VM's memory, for as many connections as its descriptors allow.
    constexpr std::size_t mostBytesEach = (88u << 20) / 4 / 2900;
    const std::string body(9000, 'x');
    World world;
    world.start();
    const std::string request
        = "POST /none/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    boost::asio::io_context context;
    std::vector<tcp::socket> idle;
    const auto askOnce = [&] {
        tcp::socket &socket = idle.emplace_back(context);
        socket.connect(connection::http::parseEndpoint(world.settings.callersAddress));
        boost::asio::write(socket, boost::asio::buffer(request));
        boost::beast::flat_buffer buffer;
        World::Answer answer;
        boost::beast::http::read(socket, buffer, answer);
        REQUIRE(answer.result_int() == 404);
    };
    askOnce();
    const std::size_t before = residentBytes();
    while (idle.size() < connections) {
        askOnce();
    }
    CHECK(residentBytes() < before + connections * mostBytesEach);
}

TEST_CASE("bytes that could hide a second request are refused")
{
    RawServer backend(answerOk);
    World world;
    world.startWith({&backend});
    const std::string head = "POST /open/x HTTP/1.1\r\nHost: h.example\r\nX-Eelgrassnotch-Attempt-Id: q1\r\n";
    const std::string hidden = "POST /open/x HTTP/1.1\r\nHost: h.example\r\nX-Eelgrassnotch-Attempt-Id: q2\r\nContent-Length: 0\r\n\r\n";
    for (const std::string framing : {"Transfer-Encoding: xchunked\r\n\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc",
                                      "Content-Length: 3\r\nContent-Length: 0\r\n\r\nabc", "Transfer-Encoding : chunked\r\n\r\n"}) {
        std::string bytes = head;
        bytes += framing;
        bytes += hidden;
        CHECK(World::sendRawRequest(world.settings.callersAddress, bytes).result_int() == 400);
    }
    CHECK(backend.requests().empty());
}

TEST_CASE("requests beyond the limits are refused with their status")
{
    RawServer backend(answerOk);
    World world;
    world.startWith({&backend});
    const std::string head = "POST /open/x HTTP/1.1\r\nHost: h.example\r\nX-Eelgrassnotch-Attempt-Id: q1\r\n";
    CHECK(World::sendRawRequest(world.settings.callersAddress, head + "Content-Length: 70000\r\n\r\n").result_int() == 413);
    CHECK(World::sendRawRequest(world.settings.callersAddress, head + "X-Long: " + std::string(20000, 'x') + "\r\n\r\n").result_int()
          == 431);
    CHECK(backend.requests().empty());
}

TEST_CASE("a request that comes a moment before the first configuration is served with it")
{
    RawServer backend(answerOk);
    DaemonFixture world;
    world.addBackend("i-1", backend);
    world.store.delayMs = 30;
    world.startWithoutWaiting();
    CHECK(world.call("/order/x", "q1").result_int() == 200);
}

TEST_CASE("a request to a daemon that gets no configuration is refused soon, as not run")
{
    DaemonFixture world;
    world.store.refusesAll = true;
    world.startWithoutWaiting();
    const auto before = std::chrono::steady_clock::now();
    const auto refused = world.call("/order/x", "q1");
    CHECK(refused.result_int() == 503);
    CHECK(refused.count("Retry-After") == 1);
    CHECK(std::chrono::steady_clock::now() - before < 400ms);
}

TEST_CASE("a planned stop cuts off nothing that callers have begun to send, and takes who connects a moment later")
{
    RawServer backend([](standin::Socket &socket, const standin::Request &request) {
        std::this_thread::sleep_for(300ms);
        return answerOk(socket, request);
    });
    World world;
    world.startWith({&backend});
    const std::string text = World::requestText("/order/x", "half");
    const auto address = connection::http::parseEndpoint(world.settings.callersAddress);
    boost::asio::io_context context;
    tcp::socket half(context);
    tcp::socket silent(context);
    half.connect(address);
    silent.connect(address);
    boost::asio::write(half, boost::asio::buffer(text.substr(0, text.size() - 2)));
    world.requestStop();
    std::this_thread::sleep_for(200ms);
    CHECK(world.call("/order/x", "later").result_int() == 200);
    boost::asio::write(half, boost::asio::buffer(text.substr(text.size() - 2)));
    boost::asio::write(silent, boost::asio::buffer(World::requestText("/order/x", "silent")));
    for (tcp::socket *socket : {&half, &silent}) {
        boost::beast::flat_buffer buffer;
        World::Answer answer;
        boost::system::error_code error;
        boost::beast::http::read(*socket, buffer, answer, error);
        CHECK_FALSE(error);
        CHECK(answer.result_int() == 200);
    }
}

TEST_CASE("a request that a stopping daemon took is cut off without an answer at the end of the grace period")
{
    // Slow requests that are taken after the stop would be answered after the end of the grace period.
    RawServer backend([](standin::Socket &socket, const standin::Request &request) {
        std::this_thread::sleep_for(idOf(request).starts_with("slow") ? 2700ms : 200ms);
        return answerOk(socket, request);
    });
    auto world = std::make_unique<World>();
    world->settings.bounds.stopGrace = 4s;
    world->startWith({&backend});
    const auto address = connection::http::parseEndpoint(world->settings.callersAddress);
    const auto begin = std::chrono::steady_clock::now();
    std::mutex mutex;
    std::vector<std::string> unanswered;
    const auto send = [&](const std::string &id, int deadlineMs, boost::asio::io_context &context, tcp::socket &socket) {
        std::string text = World::requestText("/order/x", id);
        text.replace(text.find("8000"), 4, std::to_string(deadlineMs));
        boost::system::error_code error;
        boost::beast::flat_buffer buffer;
        boost::beast::http::response_parser<boost::beast::http::string_body> answer;
        boost::asio::write(socket, boost::asio::buffer(text), error);
        // A process that ends resets its connections; here they may stay open, and nothing is read.
        boost::system::error_code result = boost::asio::error::timed_out;
        boost::beast::http::async_read(socket, buffer, answer, [&result](boost::system::error_code read, std::size_t) { result = read; });
        context.restart();
        context.run_for(begin + 7s - std::chrono::steady_clock::now());
        if (!error && result) {
            error = result;
            boost::system::error_code ignored;
            socket.close(ignored);
            context.run();
        }
        const auto requests = backend.requests();
        const bool isPassedOn = std::any_of(requests.begin(), requests.end(), [&id](const auto &request) { return idOf(request) == id; });
        if (error && isPassedOn) {
            const std::lock_guard lock(mutex);
            unanswered.push_back(id);
        }
        return !error && answer.get().keep_alive();
    };
    std::vector<std::thread> callers;
    for (const int deadlineMs : {500, 1500, 8000}) {
        for (const bool isSlow : {false, true}) {
            callers.emplace_back([&, deadlineMs, isSlow] {
                boost::asio::io_context context;
                tcp::socket socket(context);
                boost::system::error_code error;
                for (int round = 0; std::chrono::steady_clock::now() - begin < 6s; ++round) {
                    const std::string id = (isSlow ? "slow-" : "fast-") + std::to_string(deadlineMs) + "-" + std::to_string(round);
                    if (!socket.is_open()) {
                        socket.connect(address, error);
                    }
                    if (error || !send(id, deadlineMs, context, socket)) {
                        boost::system::error_code ignored;
                        socket.close(ignored);
                        std::this_thread::sleep_for(10ms);
                        error.clear();
                    }
                }
            });
        }
    }
    std::this_thread::sleep_for(500ms);
    world->requestStop();
    std::this_thread::sleep_for(4s);
    world.reset(); // Closes the listener, as the end of a process does.
    for (std::thread &caller : callers) {
        caller.join();
    }
    CAPTURE(unanswered.empty() ? std::string() : unanswered.front());
    CHECK(unanswered.empty());
}

TEST_CASE("a slow but sound stream is passed on to its end, and one that sends only comments ends at its caller's time limit")
{
    constexpr int events = 8;
    std::atomic<bool> stalledClosed {false};
    RawServer backend([&stalledClosed](standin::Socket &socket, const standin::Request &request) {
        standin::sendBytes(socket, streamHeader(request));
        const bool stalls = idOf(request) == "stalled";
        for (int event = 1; stalls || event <= events; ++event) {
            const std::string text = stalls && event > 1 ? ": nothing\n\n" : "id: " + std::to_string(event) + "\ndata: x\n\n";
            boost::system::error_code error;
            boost::asio::write(socket, boost::asio::buffer(chunk(text)), error);
            if (error) {
                stalledClosed = true;
                return false;
            }
            std::this_thread::sleep_for(300ms);
        }
        standin::sendBytes(socket, "0\r\n\r\n");
        return true;
    });
    World world;
    world.startWith({&backend});
    const auto sound = world.call("/stream/x", "sound");
    CHECK(sound.result_int() == 200);
    CHECK(sound.body().find("id: " + std::to_string(events)) != std::string::npos);

    std::string text = World::requestText("/stream/x", "stalled");
    text.replace(text.find("Deadline-Ms: 8000"), std::string("Deadline-Ms: 8000").size(), "Deadline-Ms: 2000");
    const auto before = std::chrono::steady_clock::now();
    boost::system::error_code error;
    World::sendRawRequest(world.settings.callersAddress, text, &error);
    CHECK(error); // It does not look complete.
    CHECK(std::chrono::steady_clock::now() - before < 3s);
    CHECK(eventually([&] { return stalledClosed.load(); }));
}

TEST_CASE("an answer that is broken off anywhere never looks complete")
{
    const std::string header = "X-Eelgrassnotch-Response-Signature: s\r\nX-Eelgrassnotch-Attempt-Id: ";
    const auto withLength
        = [&header](const std::string &id) { return "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n" + header + id + "\r\n\r\nabcdef"; };
    const auto chunked = [&header](const std::string &id) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + header + id + "\r\n\r\n" + chunk("abc") + chunk("def")
            + "0\r\nX-T: t\r\n\r\n";
    };
    struct Break {
        std::size_t missing; ///< Bytes at the end that are not sent.
        bool isChunked;
        bool resets;
    };
    std::vector<Break> breaks;
    for (const bool resets : {false, true}) {
        // Inside the body, and inside the header.
        for (const std::size_t missing : {1, 3, 6, 7, 40}) {
            breaks.push_back({missing, false, resets});
        }
        // The last line end, the trailer, the last chunk's line, between the chunks, inside the first, and inside the header.
        for (const std::size_t missing : {2, 5, 10, 13, 15, 18, 21, 25, 60}) {
            breaks.push_back({missing, true, resets});
        }
    }
    std::size_t next = 0;
    RawServer backend([&](standin::Socket &socket, const standin::Request &request) {
        if (idOf(request).starts_with("whole")) {
            standin::sendBytes(socket, chunked(idOf(request)));
            return true;
        }
        const auto &[missing, isChunked, resets] = breaks.at(next);
        const std::string text = isChunked ? chunked(idOf(request)) : withLength(idOf(request));
        standin::sendBytes(socket, text.substr(0, text.size() - missing));
        if (resets) {
            standin::sendReset(socket);
        }
        return false;
    });
    World world;
    world.startWith({&backend});
    for (next = 0; next < breaks.size(); ++next) {
        // A whole answer before each, so that the backend server is not out of use after the first ones.
        CHECK(world.call("/order/x", "whole" + std::to_string(next)).body() == "abcdef");
        CAPTURE(next);
        CHECK(world.call("/order/x", "broken" + std::to_string(next)).result_int() != 200);
    }
    CHECK(backend.requests().size() == 2 * breaks.size());
}

TEST_CASE("a revoked key is accepted, or a data centre is used, after the store has come back from before their change")
{
    RawServer backend(answerOk);
    DaemonFixture fixture(3s);
    fixture.startWith({&backend});
    REQUIRE(eventually([&] { return fixture.call("/check/x", "q1").result_int() == 200; }));
    const auto copy = fixture.store.copy();
    nlohmann::json newer = makeConfiguration(4);
    newer["tenants"][0]["api_keys"] = {"key-2"};
    fixture.store.put("config", "main", newer);
    fixture.store.put("evacuations", "a", nlohmann::json::object());
    REQUIRE(eventually([&] { return fixture.call("/check/x", "q2").result_int() == 401; }));
    REQUIRE(eventually([&] { return fixture.call("/check/x", "q3", "", "key-2").result_int() == 503; }));
    const std::size_t received = backend.requests().size();
    fixture.store.restore(copy);
    for (const auto until = std::chrono::steady_clock::now() + 3500ms; std::chrono::steady_clock::now() < until;) {
        CHECK(fixture.call("/check/x", "q4").result_int() != 200);
        CHECK(fixture.call("/open/x", "q5").result_int() != 200);
    }
    CHECK(backend.requests().size() == received);
    // The store has an older configuration than the daemon, so nothing tells whether the keys that it knows are still good.
    CHECK(fixture.call("/check/x", "q6", "", "key-2").body().find("keys_unconfirmed") != std::string::npos);
    fixture.store.put("config", "main", newer);
    fixture.store.put("evacuations", "a", nlohmann::json::object());
    fixture.store.remove("evacuations", "a");
    CHECK(eventually([&] { return fixture.call("/check/x", "q7", "", "key-2").result_int() == 200; }));
    CHECK(fixture.call("/check/x", "q8").result_int() == 401);
}
