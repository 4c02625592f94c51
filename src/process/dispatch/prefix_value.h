#pragma once

/** @file How many homes a shared prefix needs, and how long a belief about a cached prefix lasts. */

#include "process/dispatch/decaying_average.h"
#include "process/dispatch/part_hash.h"
#include "process/dispatch/placement.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace eelgrassnotch::process::dispatch
{

/** @brief What the requests of this daemon are a part of. */
struct PrefixFleet {
    double daemons = 1; ///< Daemons that get a similar part of the demand.
    double engines = 1; ///< Usable engines of the service.
    double memoryTokens = 0; ///< Of one engine, for running requests and cached prefixes.
    double prefillTokensPerMs = dispatch::prefillTokensPerMs; ///< Mean of the engines; positive.

    bool operator==(const PrefixFleet &) const = default;
};

/** @brief How to place a request with a shared prefix. */
struct PrefixBelief {
    std::uint32_t homeCount = defaultHomeCount; ///< See PlacementRequest.
    Time usedSince = Time::min(); ///< See PrefixCacheModel::cachedTokens().

    bool operator==(const PrefixBelief &) const = default;
};

/**
 * @brief Learns the demand of the shared prefixes of one service with model engines.
 *
 * What this daemon sent to an engine is a small part of what the engine read since, so that a prefix that only this daemon believes to
 * be cached there has probably been evicted, unless its demand is high. A request that follows such a belief leaves the prefix's homes
 * and displaces what others keep there. A prefix of low demand has fewer homes, so that each is used again before it is evicted.
 *
 * Until enough requests were seen, the belief is the default one, which is the rule without learning.
 *
 * @remarks Load pattern: thousands of sessions that together exceed the caches, at a daemon that sees few requests of each.
 */
class PrefixValue
{
public:
    PrefixValue();

    /** @brief Records that a request has arrived. @param sharedPrefixId Zero without a shared prefix. */
    void recordRequest(std::uint64_t sharedPrefixId, Time now);
    /** @brief Records that a request is being sent to an engine. @param uncachedTokens See Placement. */
    void recordSent(std::uint32_t uncachedTokens, Time now);
    /** @param sharedTokens Length of the shared prefix. @param ownTokens Prompt tokens after it. */
    PrefixBelief belief(std::uint64_t sharedPrefixId, std::uint32_t sharedTokens, std::uint32_t ownTokens, const PrefixFleet &fleet,
                        Time now) const;
    /** @returns how many prefixes' demands are kept. */
    std::size_t demandCount() const
    {
        return this->demands.size();
    }

private:
    DecayingSum requests;
    DecayingSum sentTokens;
    std::unordered_map<std::uint64_t, DecayingSum, PartHash> demands; ///< By prefix.
};

}
