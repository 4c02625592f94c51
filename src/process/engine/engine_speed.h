#pragma once

/** @file Speed of the model engines of a service, learnt from the times until their first events. */

#include "process/engine/reported_slowness.h"

#include <cmath>

namespace eelgrassnotch::process::engine
{

/** @brief Time until a first event: the overhead, plus the uncached prompt tokens over the prefill throughput. */
struct EngineSpeed {
    double prefillTokensPerMs = 0;
    Duration firstEventOverhead {0}; ///< In an engine without a queue, without the network.

    /** @returns the time that the engine takes to prefill this many tokens. */
    Duration prefillTime(double tokens) const
    {
        constexpr double microsecondsPerMs = 1000.0;
        return Duration(std::llround(tokens / this->prefillTokensPerMs * microsecondsPerMs));
    }

    bool operator==(const EngineSpeed &) const = default;
};

/** @brief What is known of one incarnation of an engine; kept with its other state, so that reading it needs no lookup. */
struct EngineState {
    ReportedSlowness slowness;
    RobustCentre logFactor; ///< Logarithm of the time that work takes without disturbance, relative to the service's engines.
    double factor = 1; ///< Its exponential within the bounds of EngineSpeedModel.
};

/** @brief One observed first event. */
struct FirstEvent {
    double uncachedTokens = 0; ///< Prompt tokens that the engine was believed to read.
    Duration sinceSent {0};
    Duration predictedQueue {0}; ///< Predicted wait until prefill starts.
    Duration roundTrip {0}; ///< Network round-trip time.
};

/**
 * @brief Speed of a service's engines: a common overhead and throughput, and a factor for each engine.
 *
 * Expected time = (overhead + uncached tokens / throughput) x factor of the engine x its current slowness. The common values are
 * fitted over all engines of the service by a Kalman filter of two values; the factor starts at 1. Observations far from the expected time
 * count least, since a prompt that was wrongly believed cached makes a first event look slow, and the other way round.
 *
 * @remarks Load pattern: engines of different speed, on machines that are slowed down for tenths of a second.
 */
class EngineSpeedModel
{
public:
    /** Bounds of an engine's factor. */
    static constexpr double minFactor = 0.5;
    static constexpr double maxFactor = 2.0;
    /** Bounds of the service's overhead and throughput, as multiples of the starting values: engines of a third of the speed exist. */
    static constexpr double minServiceRatio = 0.25;
    static constexpr double maxServiceRatio = 4.0;
    /** A first event behind a longer predicted queue says more about the queue than about the speed. */
    static constexpr Duration maxQueue = std::chrono::milliseconds(20);

    /** @param start Values before the first observation. */
    explicit EngineSpeedModel(const EngineSpeed &start);

    /** @brief Records a report of the engine's slowness from the header of an answer. */
    static void recordReport(EngineState &engine, double slowness, Time now)
    {
        engine.slowness.record(slowness, now);
    }
    /** @brief Records a first event. An event behind a queue longer than maxQueue is ignored. */
    void recordFirstEvent(EngineState &engine, const FirstEvent &event, Time now);
    /** @returns the speed expected of work that begins now. */
    EngineSpeed speed(const EngineState &engine, Time now) const
    {
        const double slowness = engine.factor * engine.slowness.current(now);
        return {this->tokensPerMs / slowness, Duration(static_cast<std::int64_t>(this->overheadMicroseconds * slowness))};
    }
    /** @returns the speed of an engine of which nothing is known. */
    EngineSpeed usual() const
    {
        return {this->tokensPerMs, Duration(static_cast<std::int64_t>(this->overheadMicroseconds))};
    }

private:
    /** @brief Adds an observation to the service's values. @param distance Logarithm of the time taken over the expected one. */
    void fitService(double distance, double scale, double prefill, double expected);

    EngineSpeed initial;
    double tokensPerMs;
    double overheadMicroseconds;
    double medianDistance = 0.1; ///< Of observations from the expected time, as a logarithm.
    /** Variances and covariance of overhead and time per token, as multiples of the current values. */
    double overheadVariance;
    double prefillVariance;
    double covariance = 0;
};

}
