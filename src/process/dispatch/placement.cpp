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

/** A copy of prompt parts takes this long besides the bytes, which take a small part of the reading time. */
constexpr Duration fetchOverhead = 5ms;
/** Backend servers considered besides the homes: a part of all, and no fewer than this. */
constexpr std::size_t minSampleSize = 16;
constexpr std::size_t sampleDivisor = 8;

/** Whether a candidate is in the sample of a request. */
bool isSampled(const PlacementRequest &request, const Candidate &candidate, std::size_t count)
{
    const std::size_t size = std::max(minSampleSize, count / sampleDivisor);
    return count <= size || mixBits(request.sampleSeed ^ (static_cast<std::uint64_t>(candidate.backend) << 32)) % count < size;
}

/** Part of a shared prefix that the homes are expected to keep, by rank. */
constexpr std::array<double, 4> expectedCachedFraction {1.0, 0.6, 0.4, 0.2};

/** Indexes of a session's homes among the candidates, the first home first. */
class Homes
{
public:
    Homes(const PlacementRequest &request, std::span<const Candidate> candidates)
    {
        if (request.session == 0) {
            return;
        }
        const bool isFleetWide = request.sharedTokens >= fleetHomeTokens;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            if (isFleetWide || candidates[index].isInRegion) {
                const std::uint64_t backend = candidates[index].backend;
                this->insert({mixBits(request.session ^ (backend << 32 | backend)), index});
            }
        }
    }

    /** @returns the rank of a candidate; nothing when it is no home. */
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
        if (rank == this->ranked.size()) {
            return;
        }
        this->count = std::min(this->count + 1, this->ranked.size());
        std::move_backward(this->ranked.begin() + rank, this->ranked.begin() + this->count - 1, this->ranked.begin() + this->count);
        this->ranked[rank] = home;
    }

    std::array<Home, expectedCachedFraction.size()> ranked {};
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

Duration prefillTime(double tokens)
{
    constexpr double microsecondsPerMillisecond = 1000.0;
    return Duration(std::llround(tokens / prefillTokensPerMs * microsecondsPerMillisecond));
}

namespace
{

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
        const Duration timeToPrefill = queue + candidate.roundTrip + prefillTime(uncached);
        const auto failureCost = Duration(static_cast<std::int64_t>(static_cast<double>(failurePenalty.count()) * candidate.failureRate));
        const std::uint32_t uncachedShared = request.sharedTokens - std::min(cached, request.sharedTokens);
        const Duration sharedReadPenalty = prefillTime(uncachedShared * (sharedReadWeight - 1.0));
        const Duration cost = timeToPrefill + sharedReadPenalty + crossingCost(candidate, request.bodyBytes) + failureCost;
        if (cost < lowestCost) {
            lowestCost = cost;
            best = Placement {index,     candidate.queueDelay, candidate.ownPrefillDelay, timeToPrefill + firstEventOverhead, uncached,
                              rank == 0, std::nullopt};
        }
    }
    return best;
}

/**
 * Where the chosen backend server should copy the shared prefix from; nothing when reading is as fast.
 * What it keeps itself is not copied, and whether it keeps the prefix is not known for sure: its memory is shared by all daemons' requests.
 */
std::optional<std::size_t> selectFetchSource(const PlacementRequest &request, std::span<const Candidate> candidates, const Homes &homes,
                                             std::size_t chosen)
{
    if (prefillTime(request.sharedTokens) < fetchOverhead) {
        return std::nullopt;
    }
    for (std::size_t rank = 0; rank < homes.size(); ++rank) {
        if (const std::size_t index = homes.at(rank); index != chosen && candidates[index].isFetchSource) {
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
