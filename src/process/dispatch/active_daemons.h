#pragma once

/** @file The daemons that may be sending requests, from delayed and incomplete lists. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace eelgrassnotch::process::dispatch
{

/** @brief Delays to allow for when daemons are counted from the store's lists. */
struct DaemonListTimings {
    Duration retention {0}; ///< A daemon stays counted for this long after it was last listed, since it may still be draining.
    Duration propagationDelay {0}; ///< Time until all other daemons have seen a new entry.

    bool operator==(const DaemonListTimings &) const = default;
};

/**
 * @brief Counts the daemons that share a limit; when in doubt, the count is too high rather than too low.
 *
 * A daemon that the others do not count yet has a quota of zero.
 *
 * @remarks Load pattern: cold backend servers return while daemons are restarted and the store delivers outdated lists.
 */
class ActiveDaemons
{
public:
    ActiveDaemons(DaemonHandle ownHandle, DaemonListTimings listTimings);

    /** @brief Updates the active daemons from a list that was read from the store. */
    void recordDaemonList(std::span<const DaemonHandle> listed, Time now);
    /** @brief Records that the store has accepted this daemon's entry. */
    void recordOwnEntry(Time now);
    /** @brief Records how many daemons currently report their load, this one included. */
    void recordReportingDaemons(std::uint32_t daemons, Time now);

    /** @returns this daemon and all others that may be sending requests. */
    const std::vector<DaemonHandle> &handles() const
    {
        return this->active;
    }
    /** @returns a number that changes with the handles. */
    std::uint64_t revision() const
    {
        return this->changes;
    }
    /** @returns the daemons whose load is known, this one included, as a fraction of those that may be sending requests; at most 1. */
    double reportingFraction(std::uint32_t reporting) const;
    /** @returns how many daemons may be sending requests; can exceed the handles, which are known only from lists. */
    std::uint32_t count() const;
    /** @returns whether all other daemons have seen this daemon's entry, and this daemon has seen a list of them. */
    bool isKnownToOthers(Time now) const;
    /** @returns whether the newest list lacks this daemon's entry although it has propagated: a late removal has deleted it. */
    bool isOwnEntryMissing(Time now) const;
    /**
     * @brief Computes this daemon's quota of a limit on all daemons together.
     * @param seed Selects the daemons that get the remainder of the division; differs for each limited resource.
     */
    std::uint32_t quota(std::uint32_t limit, std::uint32_t seed, Time now) const;
    /** @returns the same part of a limit for each daemon; zero before the first list. */
    double equalPart(double limit) const;
    /**
     * @brief Computes this daemon's part of a limit that needn't be divided in whole numbers.
     *
     * It is zero before the first list, and at most one until all other daemons
     * have seen this daemon's entry. Where the limit is below one for each daemon,
     * whole parts are assigned as by quota(), since a fraction of a request can't be sent.
     *
     * @param seed As for quota().
     */
    double part(double limit, std::uint32_t seed, Time now) const;

private:
    DaemonHandle self;
    DaemonListTimings timings;
    std::map<DaemonHandle, Time> lastListed;
    std::vector<DaemonHandle> active;
    std::uint64_t changes = 0;
    std::optional<Time> ownEntrySince;
    bool hasList = false;
    bool isListed = false; ///< In the newest list.
    std::uint32_t reportingDaemons = 0; ///< Maximum within the retention time, this daemon included.
    Time reportingDaemonsAt {0};
};

}
