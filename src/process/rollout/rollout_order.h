#pragma once

/** @file An operator's order to move a service's traffic to backend servers of another version. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <string>

namespace eelgrassnotch::process::rollout
{

/** @brief State of an order, as its object in the store tells it. */
enum class RolloutState {
    Active,
    Completed, ///< The old version's backend servers stop at once.
    RolledBack, ///< The target version's backend servers drain some seconds later.
};

/** @returns the name in logs. */
constexpr const char *nameOf(RolloutState state)
{
    return state == RolloutState::Active ? "active" : (state == RolloutState::Completed ? "completed" : "rolled_back");
}

/** @brief One order; there is at most one for each service. */
struct RolloutOrder {
    std::string name; ///< Of the object.
    std::string service;
    std::string target; ///< Version.
    Duration duration {0}; ///< From the order to its deadline.
    std::uint64_t revision = 0; ///< Of the object; the status is written under it.
    RolloutState state = RolloutState::Active;

    /** @returns a hash that names this order. Revisions don't count, as they also change when a status is written. */
    std::uint32_t id() const
    {
        return hashName(this->service + '\n' + this->target + '\n' + std::to_string(this->duration.count()));
    }
    bool operator==(const RolloutOrder &) const = default;
};

/** @brief Bounds that the platform's operators set on a bad version. */
struct RolloutBounds {
    double exposureShare = 0; ///< Fraction of the service's requests between order and deadline that it may get, over all daemons.
    double exposureSlack = 0; ///< Requests beyond that.
    Duration rollback {0}; ///< It gets nothing later than this after its 50th bad answer across the fleet.

    bool operator==(const RolloutBounds &) const = default;
};

}
