#pragma once

/** @file Load that daemons report to each other. */

#include "eelgrassnotch/types.h"
#include "process/exchange/rollout_evidence.h"

#include <cstdint>
#include <vector>

namespace eelgrassnotch::process::exchange
{

/** @brief Demand and service of a workspace, in cost units (tokens) per second. */
struct WorkspaceLoad {
    std::uint32_t workspace = 0; ///< Hash of its name.
    double demand = 0;
    double served = 0;
    double offered = 0; ///< Recent demand that reached admission control; averaged over a shorter time than the other rates.

    bool operator==(const WorkspaceLoad &) const = default;
};

/** @brief Requests that one backend server is processing. */
struct BackendLoad {
    std::uint32_t backend = 0; ///< Hash of its id.
    double pendingPrefillTokens = 0; ///< Prompt tokens of requests whose first event has not arrived.
    std::uint32_t inFlight = 0;
    double committedTokens = 0; ///< Prompt and expected output of these requests; zero from daemons that don't report it.

    bool operator==(const BackendLoad &) const = default;
};

/** @brief Demand behind a rate limit that a backend server announces. */
struct LimitDemand {
    std::uint32_t incarnation = 0; ///< See LimitStatement.
    double demand = 0; ///< Requests per second for its service, at the daemons that hold a part of the limit.

    bool operator==(const LimitDemand &) const = default;
};

/** @brief Load of one daemon, a data centre or the fleet; lists are sorted by id. */
struct LoadSummary {
    std::vector<WorkspaceLoad> workspaces;
    std::vector<BackendLoad> backends;
    std::uint32_t daemons = 0; ///< Number of daemons included.
    Duration age {0}; ///< Time since the oldest included load was measured, without time on the network.
    std::vector<LimitDemand> limitDemands {};
    std::vector<RolloutProgress> rollouts {};
    std::vector<RolloutCounts> rolloutCounts {};

    /** @returns the sum of both. */
    LoadSummary plus(const LoadSummary &other) const;
    bool operator==(const LoadSummary &) const = default;
};

}
