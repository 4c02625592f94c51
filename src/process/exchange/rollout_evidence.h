#pragma once

/** @file What daemons tell each other about rollouts of a service to another version. */

#include "eelgrassnotch/types.h"

#include <compare>
#include <cstdint>

namespace eelgrassnotch::process::exchange
{

/** @brief One route of a service with a rollout. */
struct RolloutKey {
    std::uint32_t order = 0; ///< Hash that names one order.
    std::uint32_t route = 0; ///< Hash of the route's name.

    auto operator<=>(const RolloutKey &) const = default;
};

/** @brief Recent answers of both versions; sums with exponential decay, so that they add up over daemons. */
struct RolloutCounts {
    RolloutKey key;
    double failureScore = 0; ///< Log-likelihood ratio that the target version fails more often; see rollout::VersionEvidence.
    double slownessScore = 0; ///< The same for slow answers.
    double targetAnswers = 0;
    double targetBad = 0; ///< Failed or slow.
    double oldAnswers = 0;
    double oldBad = 0;

    bool operator==(const RolloutCounts &) const = default;
};

/** @brief How far daemons are with an order. */
struct RolloutProgress {
    std::uint32_t order = 0; ///< As in RolloutKey.
    Duration age {0}; ///< Time since the first of the included daemons learnt of the order.
    Duration longest {0}; ///< Longest recent request to the old version.
    std::uint32_t oldInProgress = 0; ///< Requests in progress at backend servers of other versions than the target.
    std::uint32_t emptying = 0; ///< Daemons that send nothing to the old version any more.
    std::uint32_t badVerdicts = 0; ///< Daemons that know the target version as bad.

    bool operator==(const RolloutProgress &) const = default;
};

}
