#pragma once

/** @file Selection of the backend server for a request. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <vector>

namespace eelgrassnotch::process::dispatch
{

/** @brief Prefill throughput of a model engine whose speed is unknown, in tokens per millisecond. */
constexpr double prefillTokensPerMs = 91.8;
/** @brief Time until the first event in an idle engine whose speed is unknown, beyond queueing and prefill. */
constexpr Duration firstEventOverhead = std::chrono::milliseconds(55);

/** @brief State of one backend server at the time of the selection. */
struct Candidate {
    std::uint32_t backend = 0; ///< Hash of its id.
    bool isUsable = true; ///< It is ready, its data centre is in use, and its limits leave capacity for the request.
    bool isEligible
        = true; ///< It may get the request, apart from its limits; another backend server may also fetch cached prompt parts from it.
    bool isInDataCentre = true; ///< In this daemon's data centre.
    bool isInRegion = true; ///< In this daemon's region.
    Duration queueDelay {0}; ///< Predicted wait until prefill starts, from this daemon's own observations.
    Duration ownPrefillDelay {0}; ///< Part of queueDelay: prefill time of this daemon's prompts whose first event has not arrived yet.
    Duration queueDelayFromOthers {0}; ///< Predicted wait from the other daemons' reported load, plus the own prefill delay.
    Duration roundTrip {0}; ///< Network round-trip time.
    std::uint32_t cachedTokens = 0; ///< Leading prompt tokens that its prefix cache probably holds.
    double failureRate = 0; ///< Fraction of its recent answers that failed, 0 to 1.
    double prefillTokensPerMs = dispatch::prefillTokensPerMs; ///< Its prefill throughput; positive.
    Duration firstEventOverhead = dispatch::firstEventOverhead; ///< Its time until the first event, beyond queueing and prefill.
    double freeMemoryTokens
        = std::numeric_limits<double>::infinity(); ///< Tokens that fit beside the requests in progress there; infinite where unknown.

    bool operator==(const Candidate &) const = default;
};

/** @brief Homes of a shared prefix, at most; also where its demand is unknown. */
constexpr std::uint32_t defaultHomeCount = 4;

/** @brief Properties of a request that decide on its placement. */
struct PlacementRequest {
    std::uint32_t promptTokens = 0; ///< Zero for a service without model engines.
    std::uint32_t sharedTokens = 0; ///< Leading prompt tokens that other requests share.
    std::uint64_t sharedPrefixId = 0; ///< Id of the last shared prompt part; zero without one.
    std::size_t bodyBytes = 0;
    std::uint64_t sampleSeed = 0; ///< Uniform random number; selects the sample of candidates for this request.
    std::uint32_t expectedOutputTokens = 0; ///< Output that it probably generates; zero where unknown.
    std::uint32_t homeCount = defaultHomeCount; ///< Homes of the shared prefix, at most defaultHomeCount.

    bool operator==(const PlacementRequest &) const = default;
};

/** @brief Selected backend server, with the predictions for the request. */
struct Placement {
    std::size_t index = 0; ///< In the candidates.
    Duration queueDelay {0}; ///< Predicted wait until prefill starts.
    Duration ownPrefillDelay {0}; ///< Part of queueDelay, see Candidate.
    Duration firstEventDelay {0}; ///< Predicted time until the first event.
    std::uint32_t uncachedTokens = 0; ///< Prompt tokens that prefill probably has to process.
    bool isHome = false; ///< The backend server is the prefix's first home, see place().
    std::optional<std::size_t> fetchSource; ///< Candidate to fetch the shared prefix from instead of prefilling it.

    bool operator==(const Placement &) const = default;
};

/** @returns the time that an engine takes to prefill this many tokens. @param tokensPerMs Its prefill throughput; positive. */
Duration prefillTime(double tokens, double tokensPerMs = prefillTokensPerMs);

/**
 * @brief Selects the backend server with the lowest predicted cost.
 *
 * A prefix's homes are the few backend servers that should keep the shared
 * prefix in cache. They are ranked by rendezvous hashing, so that all daemons
 * make the same choice without communication. Requests with a long shared
 * prefix have their homes anywhere in the fleet, others in each region.
 * Overflow of the first home mostly goes to the next one, which limits the
 * number of cached copies and keeps the hit rate of each high. Cached tokens
 * are weighed against queueing, network latency and bytes moved between
 * regions. A request that doesn't fit in an engine's free memory is probably
 * preempted there, which costs another prefill. Apart from the homes, only a sample that differs for each request
 * is considered: otherwise, daemons with the same outdated load reports would
 * all choose the same backend server.
 *
 * The placement names a source from which the backend server may fetch a long
 * prefix that it lacks. The predicted cost does not assume this fetch: if
 * requests left the homes because fetching is cheap, the homes would soon have
 * nothing cached to fetch.
 *
 * @remarks Load pattern: prefixes that are too popular for one engine, at a load at which the engines can't prefill them repeatedly.
 *
 * @param candidates All backend servers of the service, usable or not, so that short failures don't move homes.
 * @returns nothing when no candidate is usable.
 */
std::optional<Placement> place(const PlacementRequest &request, std::span<const Candidate> candidates);

}
