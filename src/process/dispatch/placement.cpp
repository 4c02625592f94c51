#include "process/dispatch/placement.h"

#include "process/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Shared prefixes from this length on have one home in the fleet: reading them again costs more than moving the request. */
constexpr std::uint32_t fleetHomeTokens = 100;
/** Weight of shared tokens that are read again against their reading time: they are priced, and delay all requests of the engine. */
constexpr double sharedReadWeight = 3.0;
/** Price of bytes moved between regions and between data centres, in predicted time per kilobyte. Source: the sites' price lists. */
constexpr Duration regionCrossingPerKilobyte = 700us;
constexpr Duration dataCentreCrossingPerKilobyte = 200us;
/** Time that a failed answer costs, weighed by the share of answers that fail. */
constexpr Duration failurePenalty = 800ms;
constexpr double bytesPerKilobyte = 1024.0;

/** Backend servers considered besides the home: a part of all, and no fewer than this. */
constexpr std::size_t leastSample = 16;
constexpr std::size_t samplePart = 8;

/** Whether a candidate is in the sample of a request. */
bool isSampled(const PlacementRequest &request, const Candidate &candidate, std::size_t count)
{
    const std::size_t size = std::max(leastSample, count / samplePart);
    return count <= size || mixBits(request.draw ^ (static_cast<std::uint64_t>(candidate.backend) << 32)) % count < size;
}

constexpr std::size_t noHome = std::numeric_limits<std::size_t>::max();

/** Index of the session's home among the candidates. */
std::size_t homeOf(const PlacementRequest &request, std::span<const Candidate> candidates)
{
    if (request.session == 0) {
        return noHome;
    }
    const bool isFleetWide = request.sharedTokens >= fleetHomeTokens;
    std::size_t home = noHome;
    std::uint64_t highest = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (!isFleetWide && !candidates[index].isInRegion) {
            continue;
        }
        const std::uint64_t weight
            = mixBits(request.session ^ (static_cast<std::uint64_t>(candidates[index].backend) << 32 | candidates[index].backend));
        if (home == noHome || weight > highest) {
            home = index;
            highest = weight;
        }
    }
    return home;
}

Duration crossingCost(const Candidate &candidate, std::size_t bodyBytes)
{
    const double kilobytes = static_cast<double>(bodyBytes) / bytesPerKilobyte;
    const Duration perKilobyte
        = candidate.isNear ? Duration(0) : (candidate.isInRegion ? dataCentreCrossingPerKilobyte : regionCrossingPerKilobyte);
    return Duration(static_cast<std::int64_t>(static_cast<double>(perKilobyte.count()) * kilobytes));
}

}

Duration prefillTime(double tokens)
{
    constexpr double microsecondsPerMillisecond = 1000.0;
    return Duration(std::llround(tokens / prefillTokensPerMs * microsecondsPerMillisecond));
}

namespace
{

std::optional<Placement> placeAmong(const PlacementRequest &request, std::span<const Candidate> candidates, std::size_t home, bool takesAll)
{
    std::optional<Placement> best;
    Duration lowestCost = Duration::max();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        if (!candidate.isUsable || (!takesAll && index != home && !isSampled(request, candidate, candidates.size()))) {
            continue;
        }
        const std::uint32_t expectedAtHome = index == home ? request.sharedTokens : 0;
        const std::uint32_t cached = std::min(std::max(candidate.cachedTokens, expectedAtHome), request.promptTokens);
        const std::uint32_t uncached = request.promptTokens - cached;
        const Duration queue = std::max(candidate.queueDelay, candidate.queueElsewhere);
        const Duration served = queue + candidate.roundTrip + prefillTime(uncached);
        const auto failures = Duration(static_cast<std::int64_t>(static_cast<double>(failurePenalty.count()) * candidate.failureShare));
        const std::uint32_t sharedAgain = request.sharedTokens - std::min(cached, request.sharedTokens);
        const Duration again = prefillTime(sharedAgain * (sharedReadWeight - 1.0));
        const Duration cost = served + again + crossingCost(candidate, request.bodyBytes) + failures;
        if (cost < lowestCost) {
            lowestCost = cost;
            best = Placement {index, candidate.queueDelay, candidate.ownUnread, served + firstEventOverhead, uncached, index == home};
        }
    }
    return best;
}

}

std::optional<Placement> place(const PlacementRequest &request, std::span<const Candidate> candidates)
{
    const std::size_t home = homeOf(request, candidates);
    const auto sampled = placeAmong(request, candidates, home, false);
    return sampled ? sampled : placeAmong(request, candidates, home, true);
}

}
