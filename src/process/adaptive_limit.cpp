#include "process/adaptive_limit.h"

#include <algorithm>

namespace eelgrassnotch::process
{

using connection::wire::AttemptResult;

namespace
{

/** Bounds on the factor by which a missed latency target reduces the limit. */
constexpr double minDecreaseFactor = 0.5;
constexpr double maxDecreaseFactor = 0.95;
/** Fraction of the limit that must be in use before it may grow. */
constexpr double minUtilizationToGrow = 0.9;
/** Token latency up to this multiple of the minimum counts as flat: the backend server is below its capacity. */
constexpr double maxFlatLatencyRatio = 1.1;

double ratio(Duration value, Duration reference)
{
    return reference.count() <= 0 ? 0.0 : static_cast<double>(value.count()) / static_cast<double>(reference.count());
}

}

AdaptiveLimit::AdaptiveLimit(double ceiling)
    : ceiling(ceiling)
{
    this->limit = std::min(config::coldLimit, this->effectiveCeiling());
}

bool AdaptiveLimit::record(const AttemptSample &sample, std::size_t inFlight, const LatencyTarget &target, Time now)
{
    const bool restarted = sample.generation != 0 && this->knownGeneration != 0 && sample.generation != this->knownGeneration;
    if (sample.generation != 0) {
        this->knownGeneration = sample.generation;
    }
    switch (sample.result) {
    case AttemptResult::Completed:
    case AttemptResult::BackendError: {
        this->consecutiveFailures = 0;
        if (restarted) {
            this->resetToColdLimit(now);
            return true;
        }
        this->adjustToLatency(sample, inFlight, target, now);
        return false;
    }
    case AttemptResult::BackendRefused:
    case AttemptResult::TimedOut:
        this->shrink(sample, config::overloadFactor, now);
        return false;
    case AttemptResult::ConnectFailed:
    case AttemptResult::ConnectionLost:
        ++this->consecutiveFailures;
        this->probeIntervalStart = now;
        this->resetToColdLimit(now);
        return true;
    case AttemptResult::InvalidAnswer:
    case AttemptResult::NeverStarted:
    case AttemptResult::CallerGone:
        return false;
    }
    return false;
}

void AdaptiveLimit::resetToColdLimit(Time now)
{
    this->limit = std::min(config::coldLimit, this->effectiveCeiling());
    this->roundSuccesses = 0.0;
    this->minTokenLatency = Duration {0};
    this->coldSince = now;
}

void AdaptiveLimit::adopt(double learnedLimit, std::uint32_t knownGeneration)
{
    this->limit = std::clamp(learnedLimit, config::minimumLimit, this->effectiveCeiling());
    this->knownGeneration = knownGeneration;
}

void AdaptiveLimit::updateMinTokenLatency(Duration tokenLatency)
{
    const bool isSmaller = this->minTokenLatency.count() == 0 || tokenLatency < this->minTokenLatency;
    if (tokenLatency.count() > 0 && isSmaller) {
        this->minTokenLatency = tokenLatency;
    }
}

void AdaptiveLimit::setCeiling(double requests)
{
    this->ceiling = requests;
    this->limit = std::min(this->limit, this->effectiveCeiling());
}

bool AdaptiveLimit::isRecentlyCold(Time now) const
{
    return now - this->coldSince < config::noRetryOntoCold;
}

bool AdaptiveLimit::admits(std::size_t inFlight, Time now) const
{
    if (this->consecutiveFailures >= config::failuresUntilProbing) {
        return inFlight == 0 && now - this->probeIntervalStart >= config::probePeriod;
    }
    return static_cast<double>(inFlight) + 1.0 <= this->limit;
}

void AdaptiveLimit::recordStart(Time now)
{
    this->probeIntervalStart = now;
}

void AdaptiveLimit::adjustToLatency(const AttemptSample &sample, std::size_t inFlight, const LatencyTarget &target, Time now)
{
    this->updateMinTokenLatency(sample.perToken);
    const double tokenRatio = ratio(sample.perToken, target.perToken);
    const double firstRatio = ratio(sample.firstToken, target.firstToken);
    const double worstRatio = std::max(tokenRatio, firstRatio);
    if (worstRatio > 1.0) {
        this->shrink(sample, std::clamp(1.0 / worstRatio, minDecreaseFactor, maxDecreaseFactor), now);
        return;
    }
    const auto load = static_cast<double>(std::min(inFlight, sample.inFlightAtStart));
    const bool isSaturated = load + 1.0 > this->limit * minUtilizationToGrow;
    const double increase = isSaturated ? this->allowedIncrease(sample, target) : 0.0;
    if (increase > 0.0) {
        this->grow(increase);
    }
}

/** @returns requests by which the limit may grow if latency rises at most in proportion to load; zero if it may not grow. */
double AdaptiveLimit::allowedIncrease(const AttemptSample &sample, const LatencyTarget &target) const
{
    const double targetRatio = ratio(sample.perToken, target.perToken);
    const bool isFlat = ratio(sample.perToken, this->minTokenLatency) <= maxFlatLatencyRatio;
    if (!isFlat) {
        return targetRatio * (this->limit + 1.0) / this->limit <= 1.0 ? 1.0 : 0.0;
    }
    const double factor = targetRatio <= 0.0 ? config::largestGrowthFactor : std::min(config::largestGrowthFactor, 1.0 / targetRatio);
    return std::max(1.0, this->limit * (factor - 1.0));
}

void AdaptiveLimit::grow(double increase)
{
    this->roundSuccesses += 1.0;
    if (this->roundSuccesses < this->limit) {
        return;
    }
    this->roundSuccesses = 0.0;
    this->limit = std::min(this->limit + increase, this->effectiveCeiling());
}

void AdaptiveLimit::shrink(const AttemptSample &sample, double factor, Time now)
{
    const bool startedBeforeLastDecrease = sample.startedAt <= this->lastDecrease;
    if (startedBeforeLastDecrease || now - this->lastDecrease < config::decreasePeriod) {
        return;
    }
    this->lastDecrease = now;
    this->roundSuccesses = 0.0;
    this->limit = std::max(config::minimumLimit, this->limit * factor);
}

double AdaptiveLimit::effectiveCeiling() const
{
    return this->ceiling > 0.0 ? std::min(this->ceiling, config::maximumLimit) : config::maximumLimit;
}

}
