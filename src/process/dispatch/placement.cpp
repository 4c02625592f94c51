#include "process/dispatch/placement.h"

#include "process/rendezvous.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Shared prefixes of at least this length have homes anywhere in the fleet, as another prefill costs more than moving the request. */
constexpr std::uint32_t fleetHomeTokens = 100;
/** Factor on the prefill time of uncached shared tokens: they are billed again and delay all requests of the engine. */
constexpr double sharedPrefillFactor = 3.0;
/** Cost of traffic between regions and between data centres, as predicted time per kilobyte. */
constexpr Duration regionCrossingPerKilobyte = 700us;
constexpr Duration dataCentreCrossingPerKilobyte = 200us;
/** Cost of a failed answer as predicted time, multiplied by the failure rate. */
constexpr Duration failurePenalty = 800ms;
constexpr double bytesPerKilobyte = 1024.0;

/** Time to fetch a prefix without the transfer of its bytes, which takes a small fraction of the prefill time. */
constexpr Duration fetchOverhead = 5ms;
/** Size of the sample of backend servers considered besides the homes: all of them divided by the divisor, at least the minimum. */
constexpr std::size_t minSampleSize = 16;
constexpr std::size_t sampleDivisor = 8;

/** @returns whether a candidate is in the sample of a request. */
bool isSampled(const PlacementRequest &request, const Candidate &candidate, std::size_t count)
{
    const std::size_t size = std::max(minSampleSize, count / sampleDivisor);
    return count <= size || mixBits(request.sampleSeed ^ (static_cast<std::uint64_t>(candidate.backend) << 32)) % count < size;
}

/** Fraction of a shared prefix that a home is expected to have cached, by rank. */
constexpr std::array<double, defaultHomeCount> expectedCachedFraction {1.0, 0.6, 0.4, 0.2};

/** Indexes of a prefix's homes among the candidates, in the order of their ranks. */
class Homes
{
public:
    Homes(const PlacementRequest &request, std::span<const Candidate> candidates)
        : limit(std::min<std::size_t>(request.homeCount, expectedCachedFraction.size()))
    {
        if (request.sharedPrefixId == 0) {
            return;
        }
        const bool isFleetWide = request.sharedTokens >= fleetHomeTokens;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            if (isFleetWide || candidates[index].isInRegion) {
                const std::uint64_t backend = candidates[index].backend;
                this->insert({mixBits(request.sharedPrefixId ^ (backend << 32 | backend)), index});
            }
        }
    }

    /** @returns the rank of a candidate; nothing when it is not a home. */
    std::optional<std::size_t> rankOf(std::size_t index) const
    {
        for (std::size_t rank = 0; rank < this->count; ++rank) {
            if (this->ranked[rank].index == index) {
                return rank;
            }
        }
        return std::nullopt;
    }
    std::size_t size() const
    {
        return this->count;
    }
    std::size_t at(std::size_t rank) const
    {
        return this->ranked[rank].index;
    }

private:
    struct Home {
        std::uint64_t weight = 0;
        std::size_t index = 0;
    };

    void insert(Home home)
    {
        std::size_t rank = this->count;
        while (rank > 0 && home.weight > this->ranked[rank - 1].weight) {
            --rank;
        }
        if (rank == this->limit) {
            return;
        }
        this->count = std::min(this->count + 1, this->limit);
        std::move_backward(this->ranked.begin() + rank, this->ranked.begin() + this->count - 1, this->ranked.begin() + this->count);
        this->ranked[rank] = home;
    }

    std::array<Home, expectedCachedFraction.size()> ranked {};
    std::size_t limit;
    std::size_t count = 0;
};

Duration crossingCost(const Candidate &candidate, std::size_t bodyBytes)
{
    const double kilobytes = static_cast<double>(bodyBytes) / bytesPerKilobyte;
    const Duration perKilobyte
        = candidate.isInDataCentre ? Duration(0) : (candidate.isInRegion ? dataCentreCrossingPerKilobyte : regionCrossingPerKilobyte);
    return Duration(static_cast<std::int64_t>(static_cast<double>(perKilobyte.count()) * kilobytes));
}

}

Duration prefillTime(double tokens, double tokensPerMs)
{
    constexpr double microsecondsPerMillisecond = 1000.0;
    return Duration(std::llround(tokens / tokensPerMs * microsecondsPerMillisecond));
}

namespace
{

/**
 * @returns cost of a request that exceeds a candidate's free memory, zero when it fits: it is preempted and prefilled again, and the
 * excess delays other requests by as much. It is finite, so that a request that fits nowhere goes where the least is missing.
 */
Duration memoryCost(const PlacementRequest &request, const Candidate &candidate)
{
    const double missing = static_cast<double>(request.promptTokens) + request.expectedOutputTokens - candidate.freeMemoryTokens;
    return missing > 0 ? prefillTime(request.promptTokens + missing, candidate.prefillTokensPerMs) : Duration(0);
}

std::optional<Placement> selectCandidate(const PlacementRequest &request, std::span<const Candidate> candidates, const Homes &homes,
                                         bool ignoresSample)
{
    std::optional<Placement> best;
    Duration lowestCost = Duration::max();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        const std::optional<std::size_t> rank = homes.rankOf(index);
        if (!candidate.isUsable || (!ignoresSample && !rank && !isSampled(request, candidate, candidates.size()))) {
            continue;
        }
        const auto expectedTokens = static_cast<std::uint32_t>(rank ? request.sharedTokens * expectedCachedFraction[*rank] : 0);
        const std::uint32_t cached = std::min(std::max(candidate.cachedTokens, expectedTokens), request.promptTokens);
        const std::uint32_t uncached = request.promptTokens - cached;
        const Duration queue = std::max(candidate.queueDelay, candidate.queueDelayFromOthers);
        const Duration firstEventDelay
            = queue + candidate.roundTrip + prefillTime(uncached, candidate.prefillTokensPerMs) + candidate.firstEventOverhead;
        const auto failureCost = Duration(static_cast<std::int64_t>(static_cast<double>(failurePenalty.count()) * candidate.failureRate));
        const std::uint32_t uncachedShared = request.sharedTokens - std::min(cached, request.sharedTokens);
        const Duration sharedPrefillPenalty = prefillTime(uncachedShared * (sharedPrefillFactor - 1.0), candidate.prefillTokensPerMs);
        const Duration cost = firstEventDelay + sharedPrefillPenalty + crossingCost(candidate, request.bodyBytes) + failureCost
            + memoryCost(request, candidate);
        if (cost < lowestCost) {
            lowestCost = cost;
            best = Placement {index, candidate.queueDelay, candidate.ownPrefillDelay, firstEventDelay, uncached, rank == 0, std::nullopt};
        }
    }
    return best;
}

/**
 * @returns the home to fetch the shared prefix from; nothing when prefill is as fast.
 *
 * A source is named even when this daemon expects the chosen backend server to have the prefix cached, since prompts of other
 * daemons may have evicted it. A backend server that still has the prefix does not fetch it.
 */
std::optional<std::size_t> selectFetchSource(const PlacementRequest &request, std::span<const Candidate> candidates, const Homes &homes,
                                             std::size_t chosen)
{
    if (prefillTime(request.sharedTokens, candidates[chosen].prefillTokensPerMs) < fetchOverhead) {
        return std::nullopt;
    }
    for (std::size_t rank = 0; rank < homes.size(); ++rank) {
        if (const std::size_t index = homes.at(rank); index != chosen && candidates[index].isEligible) {
            return index;
        }
    }
    return std::nullopt;
}

}

std::optional<Placement> place(const PlacementRequest &request, std::span<const Candidate> candidates)
{
    const Homes homes(request, candidates);
    auto placement = selectCandidate(request, candidates, homes, false);
    if (!placement) {
        placement = selectCandidate(request, candidates, homes, true);
    }
    if (placement) {
        placement->fetchSource = selectFetchSource(request, candidates, homes, placement->index);
    }
    return placement;
}

}
