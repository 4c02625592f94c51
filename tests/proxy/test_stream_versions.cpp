/** @file Streams go on at the version of backend servers that began them, or not at all. */

#include "process/directory/version_certainty.h"
#include "process/streams/stream_versions.h"
#include "proxy/daemon_fixture.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process::streams;
using namespace std::chrono_literals;
using process::directory::VersionCertainty;

namespace
{

constexpr Time start = 100s;
constexpr VersionKey older = 11;
constexpr VersionKey newer = 12;
const auto token = std::make_shared<int>(0);

StreamKey keyOf(int number)
{
    return streamKey("attempt-" + std::to_string(number), "svc", "w1");
}

/** Daemons of three data centres, with a network that a test cuts. */
class Fleet
{
public:
    explicit Fleet(int daemonsEach)
    {
        for (const char *dataCentre : {"a", "b", "c"}) {
            for (int index = 0; index < daemonsEach; ++index) {
                this->start(std::string(dataCentre) + std::to_string(index));
            }
        }
    }

    /** Starts a daemon anew: all that it knew is gone. */
    void start(const std::string &name)
    {
        this->daemons[name] = std::make_unique<StreamVersions>(handleOf<DataCentreHandle>(name.substr(0, 1)),
                                                               [this, name](const std::string &to, const StreamMessage &message) {
                                                                   this->sent.push_back({name, to, message});
                                                               });
        this->tellDaemons();
    }
    void end(const std::string &name)
    {
        this->daemons.erase(name);
    }
    void tellDaemons()
    {
        for (const auto &[name, daemon] : this->daemons) {
            std::vector<Keeper> others;
            for (const auto &[other, ignored] : this->daemons) {
                if (other != name) {
                    others.push_back({handleOf<DaemonHandle>(other), handleOf<DataCentreHandle>(other.substr(0, 1)), other});
                }
            }
            daemon->setDaemons(others);
        }
    }
    void deliver(Time now)
    {
        while (!this->sent.empty()) {
            const Datagram datagram = this->sent.front();
            this->sent.pop_front();
            const auto to = this->daemons.find(datagram.to);
            const bool isCut = this->isCut && datagram.from.front() != datagram.to.front();
            const bool isLost = this->lossPerMille > 0 && this->random() % 1000 < this->lossPerMille;
            if (to != this->daemons.end() && !isCut && !isLost) {
                const auto decoded = decode(encode(datagram.message));
                REQUIRE(decoded);
                CHECK(*decoded == datagram.message);
                to->second->receive(*decoded, datagram.from, now);
            }
            ++this->datagrams;
        }
    }
    void record(const std::string &at, int stream, VersionKey version, Time now, Duration lifetime = 10s)
    {
        this->daemons.at(at)->record({keyOf(stream), version, lifetime}, now);
        this->deliver(now);
    }
    void tick(Time now)
    {
        for (const auto &[name, daemon] : this->daemons) {
            daemon->tick(now);
        }
        this->deliver(now);
    }
    /** @returns what a daemon finds within its time limit. */
    std::optional<StreamFinding> find(const std::string &at, int stream, Time now)
    {
        std::optional<StreamFinding> found;
        this->daemons.at(at)->find(
            keyOf(stream), token, [&found](const StreamFinding &finding) { found = finding; }, now);
        this->deliver(now);
        for (Time later = now; later <= now + 300ms && !found; later += 100ms) {
            this->daemons.at(at)->tick(later);
            this->deliver(later);
        }
        return found;
    }

    bool isCut = false; ///< Data centres are cut off from each other.
    unsigned lossPerMille = 0;
    std::size_t datagrams = 0;

private:
    struct Datagram {
        std::string from;
        std::string to;
        StreamMessage message;
    };

    std::mt19937 random {1};
    std::map<std::string, std::unique_ptr<StreamVersions>> daemons;
    std::deque<Datagram> sent;
};

/** The names of the versions, and what the first of them answers. */
struct Versions {
    std::string first;
    std::string second;
};

using World = standin::DaemonFixture;
using standin::RawServer;
using standin::Request;
using standin::Socket;

void addBackend(World &world, const std::string &id, const RawServer &server, const std::string &version, std::int64_t startedAt = 1000)
{
    world.store.put("servers", id, standin::makeBackend(server, "svc", version, 8, startedAt));
}

std::string eventsFrom(const Request &request, const std::string &data)
{
    const auto after = request["Last-Event-Id"];
    const int last = after.empty() ? 0 : std::stoi(std::string(after.data(), after.size()));
    std::string events;
    for (int id = last + 1; id <= 3; ++id) {
        events += standin::chunk("id: " + std::to_string(id) + "\ndata: " + data + "\n\n");
    }
    return events;
}

/** Streams three events, or those after the last one that the caller has. */
RawServer::Script streamOf(const std::string &data)
{
    return [data](Socket &socket, const Request &request) {
        standin::sendBytes(socket, standin::streamHeader(request) + eventsFrom(request, data) + "0\r\n\r\n");
        return true;
    };
}

/** Breaks off after its first event, on each attempt that begins a stream. */
RawServer::Script breakingStreamOf(const std::string &data)
{
    return [data](Socket &socket, const Request &request) {
        if (!request["Last-Event-Id"].empty()) {
            return streamOf(data)(socket, request);
        }
        standin::sendBytes(socket, standin::streamHeader(request) + standin::chunk("id: 1\ndata: " + data + "\n\n"));
        std::this_thread::sleep_for(30ms);
        standin::sendReset(socket);
        return false;
    };
}

/** Pauses after its first event, for long enough that a caller can leave. */
RawServer::Script slowStreamOf(const std::string &data)
{
    return [data](Socket &socket, const Request &request) {
        if (!request["Last-Event-Id"].empty()) {
            return streamOf(data)(socket, request);
        }
        standin::sendBytes(socket, standin::streamHeader(request) + standin::chunk("id: 1\ndata: " + data + "\n\n"));
        std::this_thread::sleep_for(100ms);
        standin::sendBytes(socket, "0\r\n\r\n");
        return true;
    };
}

/** Begins a stream and reads it up to a text, or to its end; then the caller leaves. */
std::string readStream(const World &world, const std::string &id, const std::string &until)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket caller(context);
    caller.connect(connection::http::parseEndpoint(world.settings.callersAddress));
    boost::asio::write(caller, boost::asio::buffer(World::requestText("/resume/x", id)));
    boost::system::error_code error;
    std::string received;
    std::array<char, 4096> buffer {};
    while (!error && received.find(until) == std::string::npos) {
        const std::size_t size = caller.read_some(boost::asio::buffer(buffer), error);
        received.append(buffer.data(), size);
    }
    return received;
}

/** The events that follow the first one. */
std::string lastEventsOf(const std::string &data)
{
    std::string events = "id: 2\ndata: ";
    events.append(data).append("\n\nid: 3\ndata: ").append(data).append("\n\n");
    return events;
}

std::string takeUp(const std::string &attempt)
{
    return "Last-Event-Id: 1\r\nResumes: " + attempt + "\r\n";
}

}

TEST_CASE("any daemon finds the version that began a stream, also when the daemon that began it is dead")
{
    Fleet fleet(4);
    constexpr int streams = 200;
    for (int stream = 0; stream < streams; ++stream) {
        fleet.record("a0", stream, older, start);
    }
    CHECK(fleet.datagrams <= 4 * streams);
    fleet.end("a0");
    fleet.tellDaemons();
    for (int stream = 0; stream < streams; ++stream) {
        for (const char *at : {"a1", "a3", "b0", "c2"}) {
            CAPTURE(at);
            CAPTURE(stream);
            CHECK(fleet.find(at, stream, start + 1s).value_or(StreamFinding {}).version == older);
        }
    }
    CHECK(fleet.find("b1", streams, start + 1s) == StreamFinding {});
}

TEST_CASE("a stream is unknown at once when all daemons have just started")
{
    Fleet fleet(2);
    fleet.record("a0", 1, older, start);
    for (const char *name : {"a0", "a1", "b0", "b1", "c0", "c1"}) {
        fleet.start(name);
    }
    CHECK(fleet.find("a1", 1, start + 1s) == StreamFinding {});
    CHECK(fleet.find("a0", 1, start + 1s) == StreamFinding {});
}

TEST_CASE("within a data centre that is cut off, the version is found, and elsewhere nothing is taken for an answer")
{
    Fleet fleet(3);
    constexpr int streams = 100;
    fleet.isCut = true;
    for (int stream = 0; stream < streams; ++stream) {
        fleet.record("a0", stream, older, start);
        CHECK(fleet.find("a1", stream, start + 1s).value_or(StreamFinding {}).version == older);
        const auto elsewhere = fleet.find("b1", stream, start + 1s);
        REQUIRE(elsewhere);
        CHECK_FALSE(elsewhere->version);
        CHECK(elsewhere->silent > 0);
    }
}

TEST_CASE("lost datagrams make streams unknown at worst")
{
    Fleet fleet(4);
    fleet.lossPerMille = 100;
    constexpr int streams = 500;
    int found = 0;
    for (int stream = 0; stream < streams; ++stream) {
        fleet.record("b0", stream, stream % 2 == 0 ? older : newer, start);
        const auto finding = fleet.find("b1", stream, start + 1s);
        REQUIRE(finding);
        found += finding->version ? 1 : 0;
        CHECK(finding->version.value_or(stream % 2 == 0 ? older : newer) == (stream % 2 == 0 ? older : newer));
    }
    CHECK(found > streams * 9 / 10);
}

TEST_CASE("a stream that has become uncertain is so for all its keepers, although datagrams are lost")
{
    Fleet fleet(4);
    constexpr int streams = 200;
    for (int stream = 0; stream < streams; ++stream) {
        fleet.record("b0", stream, older, start);
    }
    fleet.lossPerMille = 100;
    for (int stream = 0; stream < streams; ++stream) {
        fleet.record("b0", stream, uncertainVersion, start + 1s);
    }
    for (int tick = 1; tick <= 5; ++tick) {
        fleet.tick(start + 1s + tick * 100ms);
    }
    fleet.lossPerMille = 0;
    int stillKnown = 0;
    for (int stream = 0; stream < streams; ++stream) {
        for (const char *at : {"b0", "b1", "b3", "a0", "c2"}) {
            stillKnown += fleet.find(at, stream, start + 2s).value_or(StreamFinding {}).version == older ? 1 : 0;
        }
    }
    CHECK(stillKnown == 0);
}

TEST_CASE("notes that contradict each other make a stream uncertain for good, and end with the caller's deadline")
{
    StreamNotes notes;
    notes.record({1, older, 5s}, start);
    CHECK(notes.versionOf(1, start) == older);
    notes.record({1, newer, 2s}, start);
    notes.record({1, older, 2s}, start);
    CHECK(notes.versionOf(1, start) == uncertainVersion);
    CHECK(notes.versionOf(1, start + 4s) == uncertainVersion);
    CHECK_FALSE(notes.versionOf(1, start + 5s));
    CHECK_FALSE(notes.versionOf(2, start));
    notes.removeExpired(start + 5s);
    CHECK(notes.size() == 0);
    CHECK(versionKey("") == uncertainVersion);
    CHECK(versionKey("v1") != versionKey("v2"));
    CHECK(streamKey("ab", "c", "w") != streamKey("a", "bc", "w"));
}

TEST_CASE("a caller that begins streams without end gets no more than the bound of notes")
{
    StreamNotes notes;
    constexpr StreamKey count = 100'000;
    for (StreamKey stream = 1; stream <= count; ++stream) {
        notes.record({stream, older, std::chrono::hours(1)}, start + Duration(stream));
    }
    CHECK(notes.size() == 65'536);
    CHECK(notes.versionOf(count, start + 1s) == older);
    CHECK_FALSE(notes.versionOf(1, start + 1s));
}

TEST_CASE("spoilt messages about streams are refused or decoded, and never read beyond")
{
    const auto bytes = encode({{{1, older, 5s}, {2, newer, 1s}}, {3, 4}, {{5, older}, {6, std::nullopt}}});
    std::mt19937 random(1);
    alignas(std::uint64_t) std::array<std::uint8_t, 512> buffer {};
    REQUIRE(bytes.size() <= buffer.size());
    for (int round = 0; round < 20'000; ++round) {
        std::copy(bytes.begin(), bytes.end(), buffer.begin());
        for (unsigned change = 0; change <= random() % 4; ++change) {
            buffer[random() % bytes.size()] = static_cast<std::uint8_t>(random());
        }
        decode(std::span<const std::uint8_t>(buffer.data(), random() % 8 == 0 ? random() % bytes.size() : bytes.size()));
    }
}

TEST_CASE("a version is in doubt after a lost connection until an older connection shows that the process goes on")
{
    VersionCertainty certainty;
    CHECK(certainty.isCertain());
    certainty.recordSuspicion(start);
    CHECK_FALSE(certainty.isCertain());
    certainty.recordBytes(start + 10ms, start + 200ms);
    CHECK_FALSE(certainty.isCertain());
    certainty.recordBytes(start - 1s, start + 20ms);
    CHECK_FALSE(certainty.isCertain());
    certainty.recordSuspicion(start + 180ms);
    certainty.recordBytes(start - 1s, start + 200ms);
    CHECK_FALSE(certainty.isCertain());
    certainty.recordBytes(start - 1s, start + 230ms);
    CHECK(certainty.isCertain());
}

TEST_CASE("a version stays in doubt until the entry of a process that has ended would have lapsed")
{
    constexpr Duration entryLifetime = 3600ms;
    VersionCertainty certainty;
    certainty.recordSuspicion(start);
    certainty.recordConfirmed(start + entryLifetime, entryLifetime);
    CHECK_FALSE(certainty.isCertain());
    certainty.recordConfirmed(start + entryLifetime + 1s, entryLifetime);
    CHECK(certainty.isCertain());
}

TEST_CASE("a stream that breaks off goes on within its answer at the same version alone")
{
    for (const Versions &versions : {Versions {"v1", "v2"}, Versions {"v1", "v1"}}) {
        const bool isSame = versions.first == versions.second;
        CAPTURE(isSame);
        const RawServer first(breakingStreamOf("first"));
        const RawServer second(breakingStreamOf("second"));
        World world;
        addBackend(world, "i-1", first, versions.first);
        addBackend(world, "i-2", second, versions.second);
        world.start();
        const std::string received = readStream(world, "q-1", "0\r\n\r\n");
        CHECK(received.find("id: 1") != std::string::npos);
        CHECK((received.find("data: first") != std::string::npos && received.find("data: second") != std::string::npos) == isSame);
        CHECK((received.find("0\r\n\r\n") != std::string::npos) == isSame);
    }
}

TEST_CASE("a stream that a caller takes up goes on at the version that began it")
{
    const RawServer first(slowStreamOf("first"));
    const RawServer second(slowStreamOf("second"));
    World world;
    addBackend(world, "i-1", first, "v1");
    addBackend(world, "i-2", second, "v2");
    world.start();
    for (int stream = 0; stream < 12; ++stream) {
        const std::string id = "q-" + std::to_string(stream);
        const std::string received = readStream(world, id, "id: 1");
        const std::string data = received.find("data: first") == std::string::npos ? "second" : "first";
        const auto answer = world.call("/resume/x", "again-" + id, takeUp(id));
        CHECK(answer.result_int() == 200);
        CHECK(answer.body() == lastEventsOf(data));
    }
}

TEST_CASE("a stream whose beginning nobody knows does not go on")
{
    const RawServer server(streamOf("first"));
    World world;
    addBackend(world, "i-1", server, "v1");
    world.start();
    const std::size_t before = server.requests().size();
    CHECK(world.call("/resume/x", "q-1", takeUp("q-0")).result_int() == 503);
    CHECK(world.call("/resume/x", "q-2", "Last-Event-Id: 1\r\n").result_int() == 503);
    CHECK(server.requests().size() == before);
    CHECK(world.call("/resume/x", "q-3").result_int() == 200);
}

TEST_CASE("a stream whose daemon has ended goes on at another daemon, at the version that began it")
{
    const RawServer first(slowStreamOf("first"));
    const RawServer second(slowStreamOf("second"));
    World left;
    auto ended = std::make_unique<World>();
    ended->settings.name = "d-2";
    ended->settings.ip = "127.0.0.2";
    ended->settings.loadPort = left.settings.loadPort;
    ended->settings.storeAddress = left.store.address();
    ended->settings.streamsPort = left.settings.streamsPort = standin::findFreePort();
    ended->settings.bounds.stopGrace = 1s;
    addBackend(left, "i-1", first, "v1");
    addBackend(left, "i-2", second, "v2");
    left.start();
    ended->start();
    int attempt = 0;
    std::string id;
    std::string received;
    const auto isKept = [&] {
        id = "q-" + std::to_string(attempt++);
        received = readStream(*ended, id, "id: 1");
        return left.call("/resume/x", id + "-again", takeUp(id)).result_int() == 200;
    };
    CHECK(standin::eventually(isKept));
    CHECK(isKept());
    ended.reset();
    const std::string data = received.find("data: first") == std::string::npos ? "second" : "first";
    const auto answer = left.call("/resume/x", id + "-once-more", takeUp(id));
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == lastEventsOf(data));
}

TEST_CASE("a stream does not go on at a backend server that may have started again under its id with another version")
{
    std::atomic<bool> endsNext {false};
    std::atomic<bool> isNew {false};
    const RawServer server([&](Socket &socket, const Request &request) {
        if (endsNext.exchange(false)) {
            isNew = true;
            standin::sendReset(socket);
            return false;
        }
        return slowStreamOf(isNew ? "second" : "first")(socket, request);
    });
    World world;
    addBackend(world, "i-1", server, "v1", 1000);
    world.start();
    CHECK(readStream(world, "q-1", "id: 1").find("data: first") != std::string::npos);
    CHECK(world.call("/resume/x", "q-2", takeUp("q-1")).result_int() == 200);
    endsNext = true;
    world.call("/order/x", "q-3");
    const std::size_t before = server.requests().size();
    CHECK(world.call("/resume/x", "q-4", takeUp("q-1")).result_int() == 503);
    CHECK(server.requests().size() == before);
    // A stream that begins now is at a version that nobody knows.
    CHECK(readStream(world, "q-5", "id: 1").find("data: second") != std::string::npos);
    addBackend(world, "i-1", server, "v2", 2000);
    int attempt = 0;
    CHECK(standin::eventually([&] {
        const std::string id = "new-" + std::to_string(attempt++);
        readStream(world, id, "id: 1");
        return world.call("/resume/x", id + "-again", takeUp(id)).result_int() == 200;
    }));
    CHECK(world.call("/resume/x", "q-8", takeUp("q-1")).result_int() == 503);
    CHECK(world.call("/resume/x", "q-9", takeUp("q-5")).result_int() == 503);
}

TEST_CASE("a stream whose backend server gets an entry of a new start before the first event is at a version that nobody knows")
{
    std::atomic<bool> isHeld {true};
    const RawServer server([&](Socket &socket, const Request &request) {
        while (isHeld) {
            std::this_thread::sleep_for(5ms);
        }
        return slowStreamOf("second")(socket, request);
    });
    World world;
    addBackend(world, "i-1", server, "v1", 1000);
    world.start();
    std::thread caller([&world] { readStream(world, "q-1", "id: 1"); });
    REQUIRE(standin::eventually([&] { return !server.requests().empty(); }));
    addBackend(world, "i-1", server, "v2", 2000);
    std::this_thread::sleep_for(1s);
    isHeld = false;
    caller.join();
    CHECK(world.call("/resume/x", "q-2", takeUp("q-1")).result_int() == 503);
}
