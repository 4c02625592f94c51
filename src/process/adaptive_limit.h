#pragma once

/** @file Adaptive concurrency limit of one backend server. */

#include "connection/wire/generated/frame_generated.h"
#include "eelgrassnotch/config.h"
#include "eelgrassnotch/types.h"

namespace eelgrassnotch::process
{

/** @brief Latency targets of a service; a backend server that misses them is overloaded. */
struct LatencyTarget {
    Duration firstToken = config::firstTokenTarget;
    Duration perToken = config::perTokenTarget;

    bool operator==(const LatencyTarget &) const = default;
};

/** @brief What one finished attempt tells of its backend server. */
struct AttemptSample {
    connection::wire::AttemptResult result = connection::wire::AttemptResult::Completed;
    Duration firstToken {0};
    Duration perToken {0};
    Time startedAt {0}; ///< When the attempt was granted.
    std::size_t inFlightAtStart = 0; ///< Requests in flight at that time, itself included; zero when unknown.
    std::uint32_t generation = 0; ///< Start counter that the backend server reports; zero when unknown.
};

/**
 * @brief Estimates how many concurrent requests a backend server bears.
 *
 * Starts at config::coldLimit and grows once in a full round of successes, if
 * the limit is in full use. While latency is flat, it grows by the factor that
 * keeps latency within its target should it grow in proportion from now on, and
 * by one request at least; once latency rises, by one request as long as that
 * keeps the target. Refusals, timeouts and missed targets shrink the limit, by
 * the measure of the miss; samples of attempts that began before the last
 * decrease are not counted again. A lost connection or a new generation makes
 * the backend server cold.
 */
class AdaptiveLimit
{
public:
    /** @param ceiling Declared upper bound in requests; zero for none. */
    explicit AdaptiveLimit(double ceiling = 0.0);

    /**
     * @brief Takes the outcome of one attempt into account.
     * @param inFlight Requests in flight while the attempt ran, itself included.
     * @returns whether the backend server has just turned cold.
     */
    bool record(const AttemptSample &sample, std::size_t inFlight, const LatencyTarget &target, Time now);
    /** @brief Starts again from the cold limit. */
    void resetToColdLimit(Time now);
    /** @brief Takes over a limit learned by the former dispatcher. */
    void adopt(double learnedLimit, std::uint32_t knownGeneration);
    /** @brief Takes over a latency per token that somebody saw; zero says nothing. */
    void updateMinTokenLatency(Duration tokenLatency);
    void setCeiling(double requests);

    /** @returns the limit in concurrent requests. */
    double value() const
    {
        return this->limit;
    }
    std::uint32_t generation() const
    {
        return this->knownGeneration;
    }
    /** @returns whether retries must stay away, since the backend server has just turned cold. */
    bool isRecentlyCold(Time now) const;
    /** @returns whether one more request may start, given how many are in flight. */
    bool admits(std::size_t inFlight, Time now) const;
    /** @brief Notes that a request starts; matters while probing. */
    void recordStart(Time now);

private:
    void adjustToLatency(const AttemptSample &sample, std::size_t inFlight, const LatencyTarget &target, Time now);
    double allowedIncrease(const AttemptSample &sample, const LatencyTarget &target) const;
    void grow(double increase);
    void shrink(const AttemptSample &sample, double factor, Time now);
    double effectiveCeiling() const;

    double limit = config::coldLimit;
    double ceiling = 0.0;
    double roundSuccesses = 0.0;
    std::uint32_t knownGeneration = 0;
    std::uint32_t consecutiveFailures = 0;
    Duration minTokenLatency {0}; ///< Smallest latency per token since the last cold start; zero without a sample.
    Time lastDecrease {Time::min() / 2};
    Time coldSince {Time::min() / 2};
    Time lastProbe {Time::min() / 2};
};

}
