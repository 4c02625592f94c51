#include "process/dispatch/request_costs.h"

#include <algorithm>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Half-life of means and counts: they follow a change of what callers ask within seconds. */
constexpr Duration countHalfLife = 5s;
/** Requests from this multiple of their route's mean cost on are the largest ones. */
constexpr double largeCost = 1.6;
/** A size that is taken less often than this part of the mean is behind; operators ask for half. */
constexpr double behindPart = 0.65;
/** Requests that are assumed besides those seen, so that a few refusals in a row are no trend. */
constexpr double assumedRequests = 3.0;
/** A route with less than this left of its count is forgotten. */
constexpr double leastCount = 0.01;

}

RequestCosts::Counts::Counts()
    : asked(countHalfLife)
    , taken(countHalfLife)
{
}

double RequestCosts::Counts::takenPart(double assumedPart, Time now) const
{
    return (this->taken.value(now) + assumedRequests * assumedPart) / (this->asked.value(now) + assumedRequests);
}

RequestCosts::Kind::Kind()
    : cost(countHalfLife)
{
}

RequestCosts::RequestCosts() = default;

std::size_t RequestCosts::sizeOf(const Kind &kind, double cost, Time now)
{
    const double relative = cost * kind.all.asked.value(now) / std::max(kind.cost.value(now), 1.0);
    return relative < 1.0 ? 0 : (relative < largeCost ? 1 : 2);
}

void RequestCosts::noteAsked(const std::string &route, double cost, Time now)
{
    for (Kind *kind : {&this->total, &this->byRoute[route]}) {
        kind->cost.add(cost, now);
        kind->all.asked.add(1.0, now);
        kind->bySize[sizeOf(*kind, cost, now)].asked.add(1.0, now);
    }
}

void RequestCosts::noteTaken(const std::string &route, double cost, Time now)
{
    for (Kind *kind : {&this->total, &this->byRoute[route]}) {
        kind->all.taken.add(1.0, now);
        kind->bySize[sizeOf(*kind, cost, now)].taken.add(1.0, now);
    }
}

double RequestCosts::relativeCost(double cost, Time now) const
{
    const double asked = this->total.cost.value(now);
    return asked > 0 && cost > 0 ? cost * this->total.all.asked.value(now) / asked : 1.0;
}

bool RequestCosts::isBehind(const std::string &route, double cost, Time now) const
{
    const auto kind = this->byRoute.find(route);
    if (kind == this->byRoute.end()) {
        return false;
    }
    const double mean = this->total.all.takenPart(1.0, now);
    return kind->second.bySize[sizeOf(kind->second, cost, now)].takenPart(mean, now) < behindPart * mean;
}

void RequestCosts::forgetUnused(Time now)
{
    std::erase_if(this->byRoute, [now](const auto &entry) { return entry.second.all.asked.value(now) < leastCount; });
}

}
