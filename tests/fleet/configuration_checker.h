#pragma once

/** @file Compares what callers see with the configurations that the store has acknowledged. */

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace fleet
{

using Clock = std::chrono::steady_clock;
using Moment = Clock::time_point;
using Span = std::chrono::milliseconds;

/** @brief One version of the configuration. */
struct Version {
    std::uint64_t number = 0;
    std::map<std::string, std::string> services; ///< By the route's prefix.
    std::set<std::string> keys;
    Moment sentAt;
    Moment acknowledgedAt;
};

/** @brief A request and what came of it. */
struct Observation {
    std::size_t daemon = 0;
    std::size_t incarnation = 0; ///< Of the daemon's process, as the request was sent; a request across a restart counts for none.
    std::string prefix;
    std::string key;
    unsigned status = 0;
    std::string service; ///< That has run the request.
    Moment sentAt;
    Moment answeredAt;
};

/** @brief Bounds that hold for daemons in touch. */
struct Bounds {
    Span apply {2500}; ///< From the acknowledgement until no older version is used.
    Span unstable {5000}; ///< Added to it while the store is disturbed, but neither away nor slow.
    Span contact {3000}; ///< A daemon is in touch after this long without a disturbance of its own.
    Span rollback {2000}; ///< After the effect of a version was seen, on daemons with little processor.
    Span revoke {5000}; ///< For keys, on all daemons.
};

/** @brief Requests that a daemon in touch owed an answer, and those that it served. */
struct Service {
    std::size_t owed = 0;
    std::size_t served = 0;
};

/** @brief How a disturbance of the store counts. */
enum class Disturbance {
    Mild, ///< It answers, but cuts or drops watches, spoils pages, or has dropped its history.
    Away, ///< It is down, slow or refuses.
};

/** @brief Collects versions, disturbances and observations from several threads, and tells which observations no bound allows. */
class ConfigurationChecker
{
public:
    explicit ConfigurationChecker(Bounds checkedBounds = {})
        : bounds(checkedBounds)
    {
    }

    /** @brief Records a version that is about to be written. */
    void recordSent(Version version);
    void recordAcknowledged(std::uint64_t number, Moment at);
    void recordStoreDisturbance(Disturbance kind, Moment from, Moment to);
    void recordDaemonDisturbance(std::size_t daemon, Moment from, Moment to);
    void record(const Observation &observation);

    /** @returns one line for each violation, in order of their requests. */
    std::vector<std::string> violations() const;
    /** @returns for each daemon, what it was owed while it was in touch, and each version that may have been in force allowed the request.
     */
    std::map<std::size_t, Service> services() const;
    std::size_t observationCount() const;
    /** @returns how many observations a bound was applied to. */
    std::size_t boundedCount() const;

private:
    struct Interval {
        Moment from;
        Moment to;
    };

    static bool isServable(const Version &version, const Observation &observation);
    bool isAllowed(const Version &version, const Observation &observation) const;
    static bool overlaps(const std::vector<Interval> &intervals, Moment from, Moment to);
    /** @returns the bound on the age of versions for an observation; zero where none holds. */
    Span applyBound(const Observation &observation) const;

    mutable std::mutex mutex;
    Bounds bounds;
    std::vector<Version> versions;
    std::vector<Interval> mild;
    std::vector<Interval> away;
    std::map<std::size_t, std::vector<Interval>> ofDaemons;
    std::vector<Observation> observations;
};

}
