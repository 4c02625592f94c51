#pragma once

/** @file Daemon processes in front of backend servers that are each the only one of their service, and the store that lists them. */

#include "hostile/edge_process.h"
#include "proxy/daemon_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace fleet
{

using namespace std::chrono_literals;
using nlohmann::json;

inline constexpr std::size_t serviceCount = 8;
inline constexpr std::size_t pageLength = 3;
inline constexpr unsigned slots = 64; ///< Of a backend server.
inline constexpr hostile::ProcessLimits limits {110, 1000};
inline constexpr std::size_t megabyte = std::size_t {1} << 20;
/** A daemon that finds sound entries in the store is ready after this time at the latest, from the start of its process on. */
inline constexpr auto startTime = 10s;

/** Routes, each to a service of its own; requests of every other one may not be repeated. */
inline json configuration()
{
    json spec = standin::makeConfiguration(1);
    spec["routes"] = json::array();
    spec["services"] = json::array();
    for (std::size_t index = 0; index < serviceCount; ++index) {
        const std::string number = std::to_string(index);
        json route = standin::makeRoute("p" + number, index % 2 == 0 ? "idempotent" : "non_idempotent");
        route["service"] = "s" + number;
        spec["routes"].push_back(route);
        spec["services"].push_back({{"name", "s" + number}, {"max_conns", 400}, {"cold_s", 0.0}, {"cold_per_s", 0.0}});
    }
    return spec;
}

/**
 * @brief A store, backend servers and the daemon processes of one region.
 * @remarks A request to each service shows which backend servers the daemons know. EDGE_PROGRAM names another build to play against.
 */
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

    /** @returns the bytes of the longest log of a daemon since all were started. */
    std::size_t longestLog() const
    {
        std::size_t longest = 0;
        for (const auto &daemon : this->daemons) {
            longest = std::max(longest, daemon->logBytes());
        }
        return longest;
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
inline constexpr std::size_t watchingDaemons = 2;
inline constexpr std::size_t followingDaemons = 6;

}
