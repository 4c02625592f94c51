#pragma once

/** @file Which daemons may be sending requests, from lists that are late and incomplete. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace eelgrassnotch::process::dispatch
{

/** @brief How far lists of daemons lag behind. */
struct DaemonListTimings {
    Duration retention {0}; ///< A daemon counts for this long after lists stopped naming it: it may still be draining.
    Duration propagationDelay {0}; ///< Time after which all other daemons have seen a new entry.

    bool operator==(const DaemonListTimings &) const = default;
};

/**
 * @brief Counts the daemons that share a bound, rather too many than too few.
 * @remarks Load pattern: backend servers come back cold while daemons are restarted and the store tells old lists.
 * A daemon that the others do not count yet takes no part of the bound.
 */
class ActiveDaemons
{
public:
    ActiveDaemons(DaemonHandle ownHandle, DaemonListTimings listTimings);

    /** @brief Takes a list that the store has told. */
    void recordDaemonList(std::span<const DaemonHandle> listed, Time now);
    /** @brief Notes that the store holds this daemon's entry from now on. */
    void recordOwnEntry(Time now);
    /** @brief Notes how many daemons tell of their load, this one included. */
    void recordReportingDaemons(std::uint32_t daemons, Time now);

    /** @returns this daemon and all that may be sending. */
    const std::vector<DaemonHandle> &handles() const
    {
        return this->active;
    }
    /** @returns how many daemons may be sending; can exceed the members, whose names the lists must tell. */
    std::uint32_t count() const;
    /** @returns whether the others count this daemon. */
    bool isKnownToOthers(Time now) const;
    /** @returns whether lists lack this daemon's entry though they should have it: a late removal took it. */
    bool isOwnEntryMissing(Time now) const;
    /**
     * @brief This daemon's part of a bound that all daemons together must keep.
     * @param salt Different for each thing that is bounded, so that remainders fall on different daemons.
     */
    std::uint32_t quota(std::uint32_t limit, std::uint32_t seed, Time now) const;

private:
    DaemonHandle self;
    DaemonListTimings timings;
    std::map<DaemonHandle, Time> lastListed;
    std::vector<DaemonHandle> active;
    std::optional<Time> ownEntrySince;
    bool isListed = false; ///< By the newest list.
    std::uint32_t reportingDaemons = 0; ///< Highest of the last while.
    Time reportingDaemonsAt {0};
};

}
