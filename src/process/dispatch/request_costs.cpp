#include "process/dispatch/request_costs.h"

#include <algorithm>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Half-life of means and counts: they follow a change in the callers' requests within seconds. */
constexpr Duration countHalfLife = 5s;
/** Requests of at least this multiple of their route's mean cost are in the largest size class. */
constexpr double largeCostFactor = 1.6;
/** A size class is underserved below this fraction of the mean admitted fraction; operators require at least half. */
constexpr double underservedFraction = 0.65;
/** Requests added as prior, so that a few consecutive refusals don't count as a trend. */
constexpr double assumedRequests = 3.0;
/** A route is removed when its decayed request count falls below this. */
constexpr double minRequestCount = 0.01;

}

RequestCosts::Counts::Counts()
    : requests(countHalfLife)
    , admitted(countHalfLife)
{
}

double RequestCosts::Counts::admittedFraction(double assumedFraction, Time now) const
{
    return (this->admitted.value(now) + assumedRequests * assumedFraction) / (this->requests.value(now) + assumedRequests);
}

RequestCosts::CostStatistics::CostStatistics()
    : cost(countHalfLife)
{
}

RequestCosts::RequestCosts() = default;

std::size_t RequestCosts::sizeClassOf(const CostStatistics &statistics, double cost, Time now)
{
    const double relative = cost * statistics.all.requests.value(now) / std::max(statistics.cost.value(now), 1.0);
    return relative < 1.0 ? 0 : (relative < largeCostFactor ? 1 : 2);
}

void RequestCosts::recordRequest(const std::string &route, double cost, Time now)
{
    for (CostStatistics *statistics : {&this->total, &this->byRoute[route]}) {
        statistics->cost.add(cost, now);
        statistics->all.requests.add(1.0, now);
        statistics->bySizeClass[sizeClassOf(*statistics, cost, now)].requests.add(1.0, now);
    }
}

void RequestCosts::recordAdmitted(const std::string &route, double cost, Time now)
{
    for (CostStatistics *statistics : {&this->total, &this->byRoute[route]}) {
        statistics->all.admitted.add(1.0, now);
        statistics->bySizeClass[sizeClassOf(*statistics, cost, now)].admitted.add(1.0, now);
    }
}

double RequestCosts::relativeCost(double cost, Time now) const
{
    const double totalCost = this->total.cost.value(now);
    return totalCost > 0 && cost > 0 ? cost * this->total.all.requests.value(now) / totalCost : 1.0;
}

double RequestCosts::meanCost(Time now) const
{
    const double requests = this->total.all.requests.value(now);
    return requests > 0 ? this->total.cost.value(now) / requests : 0;
}

bool RequestCosts::isUnderserved(const std::string &route, double cost, Time now) const
{
    const auto statistics = this->byRoute.find(route);
    if (statistics == this->byRoute.end()) {
        return false;
    }
    const double mean = this->total.all.admittedFraction(1.0, now);
    return statistics->second.bySizeClass[sizeClassOf(statistics->second, cost, now)].admittedFraction(mean, now)
        < underservedFraction * mean;
}

void RequestCosts::removeUnusedRoutes(Time now)
{
    std::erase_if(this->byRoute, [now](const auto &entry) { return entry.second.all.requests.value(now) < minRequestCount; });
}

}
