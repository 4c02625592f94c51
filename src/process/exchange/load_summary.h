#pragma once

/** @file What daemons tell each other of their load. */

#include <cstdint>
#include <vector>

namespace eelgrassnotch::process::exchange
{

/** @brief What a workspace asks and gets, in cost units (tokens) a second. */
struct WorkspaceLoad {
    std::uint32_t workspace = 0; ///< Hash of its name.
    double demand = 0;
    double served = 0;

    bool operator==(const WorkspaceLoad &) const = default;
};

/** @brief What waits and runs at a backend server. */
struct BackendLoad {
    std::uint32_t backend = 0; ///< Hash of its id.
    double unreadTokens = 0; ///< Prompt tokens sent whose first event has not come.
    std::uint32_t inFlight = 0;

    bool operator==(const BackendLoad &) const = default;
};

/** @brief Load of one daemon, a data centre or the fleet; ids ascend. */
struct LoadSummary {
    std::vector<WorkspaceLoad> workspaces;
    std::vector<BackendLoad> backends;
    std::uint32_t daemons = 0; ///< How many daemons the sums hold.

    /** @returns the sum of both. */
    LoadSummary plus(const LoadSummary &other) const;
    bool operator==(const LoadSummary &) const = default;
};

}
