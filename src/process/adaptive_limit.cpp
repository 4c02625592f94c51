#include "process/adaptive_limit.h"

#include <algorithm>

namespace eelgrassnotch::process
{

using connection::wire::AttemptResult;

namespace
{

/** Bounds on the factor of one decrease for missed latency. */
constexpr double strongestDecrease = 0.5;
constexpr double weakestDecrease = 0.95;
/** Part of the limit that must be in use before it may grow. */
constexpr double saturation = 0.9;
/** Latency up to this multiple of the smallest one shows that the capacity is not exceeded. */
constexpr double flatLatency = 1.1;

double ratio(Duration value, Duration reference)
{
    return reference.count() <= 0 ? 0.0 : static_cast<double>(value.count()) / static_cast<double>(reference.count());
}

}

AdaptiveLimit::AdaptiveLimit(double ceiling)
    : ceiling(ceiling)
{
    this->limit = std::min(config::coldLimit, this->ceilingOrMaximum());
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
        this->failuresInRow = 0;
        if (restarted) {
            this->turnCold(now);
            return true;
        }
        this->judgeLatency(sample, inFlight, target, now);
        return false;
    }
    case AttemptResult::BackendRefused:
    case AttemptResult::TimedOut:
        this->shrink(sample, config::overloadFactor, now);
        return false;
    case AttemptResult::ConnectFailed:
    case AttemptResult::ConnectionLost:
        ++this->failuresInRow;
        this->lastProbe = now;
        this->turnCold(now);
        return true;
    case AttemptResult::InvalidAnswer:
    case AttemptResult::NeverStarted:
    case AttemptResult::CallerGone:
        return false;
    }
    return false;
}

void AdaptiveLimit::turnCold(Time now)
{
    this->limit = std::min(config::coldLimit, this->ceilingOrMaximum());
    this->roundSuccesses = 0.0;
    this->fastestToken = Duration {0};
    this->coldSince = now;
}

void AdaptiveLimit::adopt(double learned, std::uint32_t knownGeneration)
{
    this->limit = std::clamp(learned, config::minimumLimit, this->ceilingOrMaximum());
    this->knownGeneration = knownGeneration;
}

void AdaptiveLimit::adoptFastestToken(Duration fastest)
{
    const bool isFastest = this->fastestToken.count() == 0 || fastest < this->fastestToken;
    if (fastest.count() > 0 && isFastest) {
        this->fastestToken = fastest;
    }
}

void AdaptiveLimit::setCeiling(double requests)
{
    this->ceiling = requests;
    this->limit = std::min(this->limit, this->ceilingOrMaximum());
}

bool AdaptiveLimit::isRecentlyCold(Time now) const
{
    return now - this->coldSince < config::noRetryOntoCold;
}

bool AdaptiveLimit::admits(std::size_t inFlight, Time now) const
{
    if (this->failuresInRow >= config::failuresUntilProbing) {
        return inFlight == 0 && now - this->lastProbe >= config::probePeriod;
    }
    return static_cast<double>(inFlight) + 1.0 <= this->limit;
}

void AdaptiveLimit::started(Time now)
{
    this->lastProbe = now;
}

void AdaptiveLimit::judgeLatency(const AttemptSample &sample, std::size_t inFlight, const LatencyTarget &target, Time now)
{
    this->adoptFastestToken(sample.perToken);
    const double tokenRatio = ratio(sample.perToken, target.perToken);
    const double firstRatio = ratio(sample.firstToken, target.firstToken);
    const double worstRatio = std::max(tokenRatio, firstRatio);
    if (worstRatio > 1.0) {
        this->shrink(sample, std::clamp(1.0 / worstRatio, strongestDecrease, weakestDecrease), now);
        return;
    }
    const auto load = static_cast<double>(std::min(inFlight, sample.loadAtStart));
    const bool saturated = load + 1.0 > this->limit * saturation;
    const double step = saturated ? this->growthStep(sample, target) : 0.0;
    if (step > 0.0) {
        this->grow(step);
    }
}

/** Requests by which the limit may grow, if latency at most grows in proportion to the load; zero for none. */
double AdaptiveLimit::growthStep(const AttemptSample &sample, const LatencyTarget &target) const
{
    const double current = ratio(sample.perToken, target.perToken);
    const bool isFlat = ratio(sample.perToken, this->fastestToken) <= flatLatency;
    if (!isFlat) {
        return current * (this->limit + 1.0) / this->limit <= 1.0 ? 1.0 : 0.0;
    }
    const double factor = current <= 0.0 ? config::largestGrowthFactor : std::min(config::largestGrowthFactor, 1.0 / current);
    return std::max(1.0, this->limit * (factor - 1.0));
}

void AdaptiveLimit::grow(double step)
{
    this->roundSuccesses += 1.0;
    if (this->roundSuccesses < this->limit) {
        return;
    }
    this->roundSuccesses = 0.0;
    this->limit = std::min(this->limit + step, this->ceilingOrMaximum());
}

void AdaptiveLimit::shrink(const AttemptSample &sample, double factor, Time now)
{
    const bool isOldNews = sample.startedAt <= this->lastDecrease;
    if (isOldNews || now - this->lastDecrease < config::decreasePeriod) {
        return;
    }
    this->lastDecrease = now;
    this->roundSuccesses = 0.0;
    this->limit = std::max(config::minimumLimit, this->limit * factor);
}

double AdaptiveLimit::ceilingOrMaximum() const
{
    return this->ceiling > 0.0 ? std::min(this->ceiling, config::maximumLimit) : config::maximumLimit;
}

}
