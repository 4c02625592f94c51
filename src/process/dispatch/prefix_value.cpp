#include "process/dispatch/prefix_value.h"

#include <algorithm>
#include <cmath>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Half-life of the demand: long against the bursts of a workspace, so that homes don't oscillate. */
constexpr Duration demandHalfLife = 10s;
/** Half-life of the tokens that are sent: short, so that their rate is soon right after a start. */
constexpr Duration sentHalfLife = 3s;
/** Prefixes whose demand is kept, and the demand below which they are dropped first when there are more. */
constexpr std::size_t maxDemands = 4096;
constexpr double droppedDemand = 1.5;
/** Requests within the half-life from which anything is concluded. */
constexpr double minRequests = 100;
/** Requests of one prefix from which its rate is known: fewer are noise, as each stands for those of all daemons. */
constexpr double minDemand = 5;
/** Fraction of an engine that one prefix may use before it gets another home. */
constexpr double homeUtilisation = 0.3;
/** Homes of a prefix with low demand: with one, overflow goes to engines that don't keep the prefix. */
constexpr std::uint32_t minHomeCount = 2;
/**
 * Part of the time in which an engine reads as many tokens as its memory holds, after which this daemon's belief ends. In replays, 0.15
 * and 0.25 were equal on the mixed load, and 0.15 was better with a popular prefix (0.933 of the requests in time against 0.925).
 */
constexpr double beliefFraction = 0.15;
/** Prefill time of a prefix below which the default holds: with fewer homes for short prefixes, more requests meet in a queue. */
constexpr Duration minSaving = 20ms;
constexpr double microsecondsPerSecond = 1e6;

}

PrefixValue::PrefixValue()
    : requests(demandHalfLife)
    , sentTokens(sentHalfLife)
{
}

void PrefixValue::recordRequest(std::uint64_t sharedPrefixId, Time now)
{
    this->requests.add(1.0, now);
    if (sharedPrefixId == 0) {
        return;
    }
    if (this->demands.size() >= maxDemands && !this->demands.contains(sharedPrefixId)) {
        // A pass over all is rare, as it makes room for a quarter of them at least.
        for (double dropped = droppedDemand; this->demands.size() > maxDemands - maxDemands / 4; dropped *= 2) {
            std::erase_if(this->demands, [now, dropped](const auto &entry) { return entry.second.value(now) < dropped; });
        }
    }
    this->demands.try_emplace(sharedPrefixId, demandHalfLife).first->second.add(1.0, now);
}

void PrefixValue::recordSent(std::uint32_t uncachedTokens, Time now)
{
    this->sentTokens.add(uncachedTokens, now);
}

PrefixBelief PrefixValue::belief(std::uint64_t sharedPrefixId, std::uint32_t sharedTokens, std::uint32_t ownTokens,
                                 const PrefixFleet &fleet, Time now) const
{
    if (sharedPrefixId == 0 || this->requests.value(now) < minRequests || prefillTime(sharedTokens, fleet.prefillTokensPerMs) < minSaving) {
        return {};
    }
    double neededHomes = 0;
    if (const auto demand = this->demands.find(sharedPrefixId); demand != this->demands.end() && demand->second.value(now) >= minDemand) {
        const auto prefill = static_cast<double>(prefillTime(ownTokens, fleet.prefillTokensPerMs).count());
        neededHomes = demand->second.rate(now) * fleet.daemons * prefill / microsecondsPerSecond / homeUtilisation;
    }
    if (neededHomes > minHomeCount) {
        // Other daemons send it to the same engines often enough to keep it cached there.
        return {static_cast<std::uint32_t>(std::ceil(std::min<double>(neededHomes, defaultHomeCount))), Time::min()};
    }
    const double readPerEngine = this->sentTokens.rate(now) * fleet.daemons / std::max(fleet.engines, 1.0);
    if (readPerEngine <= 0 || fleet.memoryTokens <= 0) {
        return {minHomeCount, Time::min()};
    }
    const double lifetime
        = std::min(fleet.memoryTokens / readPerEngine * beliefFraction * microsecondsPerSecond, static_cast<double>(now.count()));
    return {minHomeCount, now - Duration(static_cast<std::int64_t>(lifetime))};
}

}
