#pragma once

/** @file Which backend server gets a request. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace eelgrassnotch::process::dispatch
{

/** @brief What is known of one backend server when a request is placed. */
struct Candidate {
    std::uint32_t backend = 0; ///< Hash of its id.
    bool isUsable = true; ///< It is ready, its data centre is in use, and its bounds leave room.
    bool isFetchSource = true; ///< Another backend server may copy prompt parts from it.
    bool isInDataCentre = true; ///< In this daemon's data centre.
    bool isInRegion = true;
    Duration queueDelay {0}; ///< Predicted wait before it begins with the prompt, from what this daemon saw.
    Duration ownPrefillDelay {0}; ///< Part of queueDelay: prompts of this daemon whose first event is not here yet.
    Duration queueDelayFromOthers {0}; ///< Wait caused by the other daemons' requests, as of a moment ago.
    Duration roundTrip {0}; ///< Network time to it and back.
    std::uint32_t cachedTokens = 0; ///< Leading tokens of the prompt that it is known to keep.
    double failureRate = 0; ///< Part of its recent answers that failed.

    bool operator==(const Candidate &) const = default;
};

/** @brief What is known of the request. */
struct PlacementRequest {
    std::uint32_t promptTokens = 0; ///< Zero for a plain service.
    std::uint32_t sharedTokens = 0;
    std::uint64_t session = 0; ///< Last shared part; zero without one.
    std::size_t bodyBytes = 0;
    std::uint64_t sampleSeed = 0; ///< Uniform number of the request.

    bool operator==(const PlacementRequest &) const = default;
};

/** @brief Where a request goes. */
struct Placement {
    std::size_t index = 0; ///< Into the candidates.
    Duration queueDelay {0}; ///< Predicted wait before the prompt is read.
    Duration ownPrefillDelay {0}; ///< Part of it, see Candidate.
    Duration firstEventDelay {0}; ///< Predicted time to the first event.
    std::uint32_t uncachedTokens = 0; ///< Tokens that it will probably have to read.
    bool isHome = false; ///< It is the session's first home.
    std::optional<std::size_t> fetchSource; ///< Where it should copy the shared prefix from, instead of reading it.

    bool operator==(const Placement &) const = default;
};

/** @brief Tokens that a model engine reads in a millisecond. Source: the deployments' data sheets. */
constexpr double prefillTokensPerMs = 91.8;
/** @brief Time to a first event beyond queue and prompt, in an idle engine. Source: the deployments' data sheets. */
constexpr Duration firstEventOverhead = std::chrono::milliseconds(55);

/** @returns the time in which an engine reads this many tokens. */
Duration prefillTime(double tokens);

/**
 * @brief Picks the backend server with the lowest predicted cost.
 *
 * Sessions with a long shared prefix have a few homes in the fleet, ranked by
 * rendezvous hashing, so that all daemons come to the same choice without
 * asking; short ones have homes in each region. What does not fit at the first
 * home mostly goes to the next, so that few copies of the prefix are made and
 * each is found again. Queue, network and bytes moved between regions are
 * weighed against the tokens that need not be read. Apart from the homes, only
 * a sample that differs from request to request is considered: daemons with
 * the same old loads would otherwise all meet at the same backend server.
 *
 * The backend server is told where to copy a long prefix from, should it lack
 * it. The choice counts on no copy: requests that left the homes because
 * copies are cheap would leave nothing there to copy.
 *
 * @remarks Load pattern: prefixes hotter than what one engine can serve, under more load than the engines can read again and again.
 *
 * @param candidates All backend servers of the service, usable or not: homes don't move with short troubles.
 * @returns nothing when no candidate is usable.
 */
std::optional<Placement> place(const PlacementRequest &request, std::span<const Candidate> candidates);

}
