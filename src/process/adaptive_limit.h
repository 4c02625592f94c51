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

/** @brief Measurements of one finished attempt at a backend server. */
struct AttemptSample {
    connection::wire::AttemptResult result = connection::wire::AttemptResult::Completed;
    Duration firstToken {0};
    Duration perToken {0};
    Time startedAt {0}; ///< When the attempt was granted.
    std::size_t inFlightAtStart = 0; ///< Requests in flight at that time, itself included; zero when unknown.
    std::uint32_t generation = 0; ///< Start counter that the backend server reports; zero when unknown.
};

/**
 * @brief Estimates how many concurrent requests a backend server can serve.
 *
 * Starts at config::coldLimit and grows at most once per round, that is, after
 * as many successes as the limit allows requests, and only while the limit is
 * in use. While latency is flat, it grows by the factor that would still meet
 * the latency target if latency rose in proportion to load, and by at least one
 * request; once latency rises, by one request as long as the target is still
 * met. Refusals and timeouts shrink the limit by a fixed factor, missed targets
 * in proportion to the miss. Attempts that started before the last decrease do
 * not shrink it again, as they report the same overload. A lost connection or a
 * new generation resets the limit to config::coldLimit.
 */
class AdaptiveLimit
{
public:
    /** @param ceiling Declared upper bound in requests; zero for none. */
    explicit AdaptiveLimit(double ceiling = 0.0);

    /**
     * @brief Updates the limit by the outcome of one attempt.
     * @param inFlight Requests in flight while the attempt ran, itself included.
     * @returns whether the limit was reset to the cold limit.
     */
    bool record(const AttemptSample &sample, std::size_t inFlight, const LatencyTarget &target, Time now);
    /** @brief Resets the limit and the measured latency, as after a restart of the backend server. */
    void resetToColdLimit(Time now);
    /** @brief Continues from a limit that the previous dispatcher learned. */
    void adopt(double learnedLimit, std::uint32_t knownGeneration);
    /** @brief Lowers the minimum latency per token to a measured value; zero means no measurement. */
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
    /** @returns whether the limit was reset within config::noRetryOntoCold, so that no retry may be sent there. */
    bool isRecentlyCold(Time now) const;
    /** @returns whether one more request may start, given how many are in flight. */
    bool admits(std::size_t inFlight, Time now) const;
    /** @brief Records the start of a request, from which the interval to the next probe of an unreachable backend server counts. */
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
    Duration minTokenLatency {0}; ///< Minimum latency per token since the last reset; zero without a sample.
    Time lastDecrease {Time::min() / 2};
    Time coldSince {Time::min() / 2};
    Time probeIntervalStart {Time::min() / 2};
};

}
