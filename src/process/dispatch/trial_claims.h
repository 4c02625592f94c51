#pragma once

/** @file Claims that keep the trials of quarantined parts apart, one at a time in the fleet. */

#include "process/dispatch/part_table.h"
#include "process/dispatch/quarantine_ruling.h"
#include "process/exchange/part_evidence.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace eelgrassnotch::process::dispatch
{

/** Retry-After of a request that waits for a trial to end. */
constexpr Duration trialRetryAfter = std::chrono::seconds(1);

/**
 * @brief Decides which daemon sends the next request with a quarantined part, to find out whether the part ends backend servers.
 *
 * A daemon claims a trial, tells all others, and uses the claim when they have had time to tell of an earlier one.
 *
 * @remarks Load pattern: a sound part that came only beside a bad one, in requests that reach all daemons at the same time.
 */
class TrialClaims
{
public:
    /** @param ownDaemon The daemon that claims trials. @param mostParts Bound on the parts with a claim. */
    TrialClaims(DaemonHandle ownDaemon, std::size_t mostParts);

    /** @brief Decides on a request that would show whether the part ends backend servers. */
    QuarantineRuling rule(std::uint64_t part, Time now);
    /** @brief Records that a trial ended before it was sent: the next request with the part may be one. */
    void returnTrial(std::uint64_t part);

    /** @brief Drops claims that have ended. */
    void update(Time now);
    /** @returns claims to tell other daemons, in turn. */
    std::vector<exchange::TrialClaim> evidence(Time now);
    /** @brief Adds claims that another daemon knows. */
    void merge(std::span<const exchange::TrialClaim> told, Time now);

    /** @returns entries that were changed or looked at in a row, for tests of the work that is done. */
    std::uint64_t stepCount() const
    {
        return this->claims.stepCount();
    }

private:
    struct Claim {
        std::uint64_t part = 0;
        Time dueAt {0}; ///< When it ends.
        DaemonHandle daemon;
        Time since {0};
        bool isUsed = false; ///< By this daemon.
    };

    static bool isBefore(const Claim &claim, const Claim &other);
    void setUsed(const Claim &claim, bool isUsed);

    DaemonHandle self;
    PartTable<Claim> claims; ///< The one that is first, for each part.
};

}
