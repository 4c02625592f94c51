/**
 * @file Daemon processes that start, and run, while entries of another writer stand in the store.
 * @remarks Guards against an entry that hides what stands beside or behind it. Each backend server is the only one of its service, so that
 * a request to each service shows which of them the daemons know. EDGE_PROGRAM names another build to play against.
 */

#include "hostile/edge_process.h"
#include "proxy/daemon_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr std::size_t serviceCount = 8;
constexpr std::size_t pageLength = 3;
constexpr unsigned slots = 64; ///< Of a backend server.
constexpr hostile::ProcessLimits limits {110, 1000};
constexpr std::size_t megabyte = std::size_t {1} << 20;
/** A daemon that finds sound entries in the store is ready after this time at the latest, from the start of its process on. */
constexpr auto startTime = 10s;
const json odd = {{"not", "a backend server"}};

/** Routes, each to a service of its own. */
json configuration()
{
    json spec = standin::makeConfiguration(1);
    spec["routes"] = json::array();
    spec["services"] = json::array();
    for (std::size_t index = 0; index < serviceCount; ++index) {
        const std::string number = std::to_string(index);
        json route = standin::makeRoute("p" + number, "idempotent");
        route["service"] = "s" + number;
        spec["routes"].push_back(route);
        spec["services"].push_back({{"name", "s" + number}, {"max_conns", 400}, {"cold_s", 0.0}, {"cold_per_s", 0.0}});
    }
    return spec;
}

/** A store, backend servers and the daemon processes of one region. */
class Fleet
{
public:
    /** @param daemonCount From six daemons on, most of them follow a relay instead of the store. */
    explicit Fleet(std::size_t daemonCount)
        : internalPort(standin::findFreePort())
        , count(daemonCount)
    {
        this->store.pageLength = pageLength;
        this->store.put("config", "main", configuration());
        for (std::size_t index = 0; index < serviceCount; ++index) {
            this->servers.push_back(std::make_unique<standin::RawServer>(standin::answerOk));
            this->putBackend(index);
        }
    }

    static std::string nameOf(std::size_t index)
    {
        return "i-1" + std::to_string(index);
    }

    void putBackend(std::size_t index)
    {
        this->store.put("servers", nameOf(index),
                        standin::makeBackend(*this->servers.at(index), "s" + std::to_string(index), "v1", slots, std::nullopt));
    }

    /** Kills all daemons and starts them again. @returns whether each became ready in time. */
    bool restartAll()
    {
        this->daemons.clear();
        const auto until = std::chrono::steady_clock::now() + startTime;
        for (std::size_t index = 0; index < this->count; ++index) {
            this->daemons.push_back(
                std::make_unique<hostile::EdgeProcess>(limits, this->store.address(), hostile::placeInFleet(index, this->internalPort)));
        }
        std::size_t ready = 0;
        for (const auto &daemon : this->daemons) {
            ready += daemon->waitUntilReady() && std::chrono::steady_clock::now() < until ? 1 : 0;
        }
        return ready == this->count;
    }

    /** @returns how many requests to each service at each daemon are answered. */
    std::size_t served()
    {
        std::size_t answered = 0;
        for (const auto &daemon : this->daemons) {
            for (std::size_t index = 0; index < serviceCount; ++index) {
                const std::string path = "/p" + std::to_string(index) + "/x";
                const std::string text
                    = standin::DaemonFixture::requestText(path, "r-" + std::to_string(++this->requests), "Connection: close\r\n");
                answered += standin::DaemonFixture::sendRawRequest(daemon->callersAddress(), text).result_int() == 200 ? 1 : 0;
            }
        }
        return answered;
    }
    std::size_t asked() const
    {
        return this->count * serviceCount;
    }

    /** Checks that all requests are served, after the daemons have started and again after all of them were killed. */
    void checkStarts()
    {
        for (int start = 0; start < 2; ++start) {
            CAPTURE(start);
            CHECK(this->restartAll());
            CHECK(this->served() == this->asked());
        }
        CHECK(this->peakBytes() <= limits.memoryMegabytes * megabyte);
    }

    std::size_t peakBytes() const
    {
        std::size_t peak = 0;
        for (const auto &daemon : this->daemons) {
            peak = std::max(peak, daemon->peakResidentBytes());
        }
        return peak;
    }

    standin::ObjectStore store;

private:
    std::vector<std::unique_ptr<standin::RawServer>> servers;
    std::uint16_t internalPort;
    std::size_t count;
    std::size_t requests = 0;
    std::vector<std::unique_ptr<hostile::EdgeProcess>> daemons; ///< Last, so that they end before the store.
};

/** Sizes of regions without and with a relay. */
constexpr std::size_t watchingDaemons = 2;
constexpr std::size_t followingDaemons = 6;

/** Names before the mark of an odd entry, which follows the backend server of that name, and where it then stands. */
struct Place {
    std::string name;
    std::string before;
};

const std::vector<Place> places {
    {"middle of a page", "i-10"}, {"last of a page", "i-11"}, {"first of a page", "i-12"}, {"last of the list", "i-17"}};

}

TEST_CASE("an entry of another writer, written while daemons run, hides nothing from them, nor after all were restarted")
{
    for (const std::size_t daemonCount : {watchingDaemons, followingDaemons}) {
        for (const std::string mark : {"&", "+", "#", "%", " "}) {
            for (const Place &place : places) {
                CAPTURE(daemonCount);
                CAPTURE(mark);
                CAPTURE(place.name);
                Fleet fleet(daemonCount);
                REQUIRE(fleet.restartAll());
                fleet.store.put("servers", place.before + mark + "x", odd);
                // A backend server that comes later shows that the change was read.
                fleet.store.remove("servers", Fleet::nameOf(4));
                fleet.putBackend(4);
                CHECK(standin::eventually([&] { return fleet.served() == fleet.asked(); }));
                CHECK(fleet.restartAll());
                CHECK(fleet.served() == fleet.asked());
            }
        }
    }
}

TEST_CASE("an entry of another writer, written before daemons start, hides nothing from them")
{
    for (const std::string mark : {"&", "+", "#", "%", " "}) {
        for (const Place &place : places) {
            CAPTURE(mark);
            CAPTURE(place.name);
            Fleet fleet(watchingDaemons);
            fleet.store.put("servers", place.before + mark + "x", odd);
            fleet.checkStarts();
        }
    }
}

TEST_CASE("large entries of another writer hide nothing, and are read in bounded memory")
{
    constexpr std::size_t entryBytes = 900'000;
    constexpr std::size_t entryCount = 20;
    for (const std::size_t pageBytes : {std::size_t {1'000'000}, std::size_t {100'000'000}}) {
        for (const std::string kind : {"servers", "config", "evacuations", "eelgrassnotch-daemons", "rollouts"}) {
            CAPTURE(pageBytes);
            CAPTURE(kind);
            Fleet fleet(watchingDaemons);
            fleet.store.pageLength = 500;
            fleet.store.pageBytes = pageBytes;
            for (std::size_t index = 0; index < entryCount; ++index) {
                fleet.store.put(kind, "a-" + std::to_string(index), {{"not", std::string(entryBytes, 'x')}});
            }
            fleet.checkStarts();
        }
    }
}

TEST_CASE("entries without a readable name hide nothing")
{
    for (const std::string text : {R"({"metadata":{},"spec":{}})", R"({"metadata":{"name":7}})", "null"}) {
        for (const std::string before : {"a-", "i-0", "i-11", "i-12", "z-"}) {
            CAPTURE(text);
            CAPTURE(before);
            Fleet fleet(watchingDaemons);
            for (std::size_t index = 0; index < 2 * pageLength; ++index) {
                fleet.store.putText("servers", before + "x" + std::to_string(index), text);
            }
            fleet.checkStarts();
        }
    }
}

TEST_CASE("entries that break answers off hide nothing")
{
    const std::string brokenText = R"({"metadata":{"name":"bro)";
    for (const std::string kind : {"servers", "config"}) {
        for (const std::string name : {"a-odd", "i-10x", "i-11x", "i-12x", "i-17x", "z-odd"}) {
            for (const bool isClosed : {true, false}) {
                CAPTURE(kind);
                CAPTURE(name);
                CAPTURE(isClosed);
                Fleet fleet(watchingDaemons);
                if (isClosed) {
                    fleet.store.put(kind, name, odd);
                    fleet.store.breakListsAt(kind, "\"" + name + "\"");
                } else {
                    fleet.store.putText(kind, name, brokenText);
                }
                fleet.checkStarts();
            }
        }
    }
}

TEST_CASE("lists that always break off keep no daemon from its work")
{
    for (const std::string kind : {"evacuations", "eelgrassnotch-daemons", "rollouts"}) {
        for (const std::string place : {"", "\"items\"", "\"more\""}) {
            CAPTURE(kind);
            CAPTURE(place);
            Fleet fleet(watchingDaemons);
            fleet.store.put(kind, "elsewhere", odd);
            fleet.store.breakListsAt(kind, place);
            fleet.checkStarts();
        }
    }
}

TEST_CASE("large entries that are written while daemons run hide no change, also from daemons that follow a relay")
{
    constexpr std::size_t entryBytes = 900'000;
    constexpr std::size_t entryCount = 20;
    for (const std::string kind : {"servers", "config", "evacuations"}) {
        CAPTURE(kind);
        Fleet fleet(followingDaemons);
        fleet.store.pageLength = 500;
        REQUIRE(fleet.restartAll());
        for (std::size_t index = 0; index < entryCount; ++index) {
            fleet.store.put(kind, "large-" + std::to_string(index), {{"not", std::string(entryBytes, 'x')}});
        }
        // A backend server that comes later shows that the changes were read.
        fleet.store.remove("servers", Fleet::nameOf(4));
        fleet.putBackend(4);
        CHECK(standin::eventually([&] { return fleet.served() == fleet.asked(); }));
        fleet.checkStarts();
    }
}
