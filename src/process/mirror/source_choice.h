#pragma once

/** @file Whether a daemon asks the store itself, or which relay it follows. */

#include "eelgrassnotch/types.h"

#include <map>
#include <optional>
#include <vector>

namespace eelgrassnotch::process::mirror
{

/** @brief Why a relay was left. */
enum class RelayFailure {
    Refused, ///< It does not know enough itself; this can change soon.
    Silent,
};

/**
 * @brief A few relays of a region watch the store, and the other daemons follow one of them.
 * @remarks Load pattern: store calls of hundreds of daemons that all watch the same few objects.
 * Each region ranks its daemons, those with the most cores first. The first ones are relays, and
 * a few substitutes take over in their order: a substitute that finds no relay watches the store,
 * and can be followed then. In a small region everybody watches the store.
 */
class SourceChoice
{
public:
    SourceChoice(DaemonHandle ownHandle, double ownCores);

    /** @param region Id of this daemon's region. @param coresOf Cores of the daemons in it; this one need not be among them. */
    void setRegion(std::uint32_t region, std::map<DaemonHandle, double> coresOf);
    /** @brief Notes that a relay did not answer, or does not know enough. */
    void noteFailure(DaemonHandle relay, RelayFailure failure, Time now);

    /** @returns whether this daemon always watches the store. */
    bool isRelay() const
    {
        return this->relay;
    }
    /** @returns whether others may follow this daemon while it watches the store. */
    bool isCandidate() const
    {
        return this->candidate;
    }
    /** @returns the relay to follow; nothing to ask the store. @param followed Relay that works, kept while it may be one; or invalid. */
    std::optional<DaemonHandle> relayToFollow(DaemonHandle followed, Time now) const;

private:
    DaemonHandle self;
    double cores;
    std::vector<DaemonHandle> relays; ///< In the order in which this daemon tries them; empty when it is one itself.
    std::map<DaemonHandle, Time> retryAt; ///< Of relays that failed.
    bool relay = false;
    bool candidate = false;
};

}
