#include "process/adaptive_limit.h"

#include <algorithm>

namespace eelgrassnotch::process
{

using connection::wire::AttemptResult;

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
        const bool late = sample.firstToken > target.firstToken || sample.perToken > target.perToken;
        if (late) {
            this->shrink(now);
        } else {
            this->grow(inFlight);
        }
        return false;
    }
    case AttemptResult::BackendRefused:
    case AttemptResult::TimedOut:
        this->shrink(now);
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
    this->startingUp = true;
    this->roundSuccesses = 0.0;
    this->coldSince = now;
}

void AdaptiveLimit::adopt(double learned, std::uint32_t knownGeneration)
{
    this->limit = std::clamp(learned, config::minimumLimit, this->ceilingOrMaximum());
    this->knownGeneration = knownGeneration;
    this->startingUp = false;
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

void AdaptiveLimit::grow(std::size_t inFlight)
{
    const bool saturated = static_cast<double>(inFlight) + 1.0 > this->limit * 0.9;
    if (!saturated) {
        return;
    }
    this->roundSuccesses += 1.0;
    if (this->roundSuccesses < this->limit) {
        return;
    }
    this->roundSuccesses = 0.0;
    const double grown = this->startingUp ? this->limit * config::coldGrowthFactor : this->limit + 1.0;
    this->limit = std::min(grown, this->ceilingOrMaximum());
}

void AdaptiveLimit::shrink(Time now)
{
    if (now - this->lastDecrease < config::decreasePeriod) {
        return;
    }
    this->lastDecrease = now;
    this->startingUp = false;
    this->roundSuccesses = 0.0;
    this->limit = std::max(config::minimumLimit, this->limit * config::overloadFactor);
}

double AdaptiveLimit::ceilingOrMaximum() const
{
    return this->ceiling > 0.0 ? std::min(this->ceiling, config::maximumLimit) : config::maximumLimit;
}

}
