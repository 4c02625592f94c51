#pragma once

/** @file What daemons tell each other about prompt parts that end backend servers. */

#include "eelgrassnotch/types.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace eelgrassnotch::process::exchange
{

/** What ends is told for this much shorter than it is kept: delays of messages make it look younger, and it would be told for ever. */
constexpr Duration toldMargin = std::chrono::seconds(1);

/** @brief A backend server's connection was lost before it began to answer a request with this part. */
struct Suspicion {
    std::uint64_t part = 0;
    std::uint32_t incarnation = 0; ///< The one that was lost; see directory::BackendServer::recordLoss().
    Duration age {0}; ///< Time since then.

    bool operator==(const Suspicion &) const = default;
};

/** @brief A daemon's claim to send a request with a quarantined part, to find out whether the part ends backend servers. */
struct TrialClaim {
    std::uint64_t part = 0;
    DaemonHandle daemon;
    Duration age {0}; ///< Time since it was made.

    bool operator==(const TrialClaim &) const = default;
};

/** @brief A part, and the time since something happened to it. */
struct PartAge {
    std::uint64_t part = 0;
    Duration age {0};

    bool operator==(const PartAge &) const = default;
};

/**
 * @brief All that a daemon knows of suspected parts, its own observations and those of others.
 * @remarks Merging is idempotent, so that evidence may arrive more than once and by several ways.
 */
struct PartEvidence {
    std::vector<Suspicion> suspicions;
    std::vector<PartAge> sound; ///< Suspected parts with which an answer was written, and when.
    std::vector<PartAge> quarantined;
    std::vector<TrialClaim> trials {};

    bool operator==(const PartEvidence &) const = default;
};

}
