#pragma once

/** @file Mechanisms that an experiment can leave out, to compare with a baseline. */

namespace eelgrassnotch
{

/**
 * @brief Which mechanisms of the core are in use.
 * @remarks A daemon uses all of them. Scenarios switch single ones off to show what they are for.
 */
struct Policy {
    bool fairQueueing = true; ///< Otherwise one queue in order of arrival.
    bool takeoverInventory = true; ///< Otherwise a new dispatcher starts without the slots in use.
    bool splitShares = true; ///< Otherwise each side of a split uses all slots.
    bool promises = true; ///< Otherwise a router changes its dispatcher at once.
    bool digestCharges = true; ///< Otherwise service in other data centres is not charged.
    bool adaptiveLimit = true; ///< Otherwise each backend server has a fixed limit.
    bool claims = true; ///< Otherwise repeats under one idempotency key are not recognized.
    bool retryRules = true; ///< Otherwise every failed attempt is sent again.
    bool redirects = true; ///< Otherwise requests stay in their data centre.

    bool operator==(const Policy &) const = default;
};

}
