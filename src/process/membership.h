#pragma once

/** @file Members of the fleet: which are live, and which count for the quorum and the division of slots. */

#include "connection/wire/generated/frame_generated.h"
#include "eelgrassnotch/types.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassnotch::process
{

/** @brief Address of a daemon, and the incarnation of its process. */
struct DaemonIdentity {
    std::string name;
    std::string address; ///< IP address.
    std::uint16_t port = 0;
    DataCentreHandle dataCentre;
    std::uint64_t incarnation = 0; ///< Grows with every start; zero when unknown.

    DaemonHandle handle() const
    {
        return handleOf<DaemonHandle>(this->name);
    }
    bool operator==(const DaemonIdentity &) const = default;
};

/** @brief State of one other daemon. */
struct Member {
    DaemonIdentity identity;
    std::optional<Time> lastSeen; ///< When its last frame arrived; empty before the first one.
    Time learnedAt {0}; ///< When this daemon first learned of the member.
    bool hasStarted = false; ///< Past its start-up pause; may hold roles.
    bool draining = false;
    bool isConnectionRefused = false; ///< Its address refused a connection: the process has ended.
    bool wasListed = false; ///< Has been in the platform's VM list.
};

/** @brief Result of Membership::advance(). */
struct MembershipChange {
    std::vector<DaemonHandle> lost; ///< Removed because the platform no longer lists their VMs. Their requests may still run.
};

/**
 * @brief Members of the fleet as one daemon sees them.
 *
 * A member of the local data centre is *live* while its frames arrive, and a
 * *quorum member* until it is known to be gone. The slots of backend servers
 * are divided among the quorum members, so that both sides of a network
 * partition together stay within the limits.
 *
 * @remarks Not synchronized; one thread owns it.
 */
class Membership
{
public:
    explicit Membership(DaemonIdentity self);

    /** @brief Records that a frame of a member arrived. @returns whether the member has restarted since the last one. */
    bool recordContact(const DaemonIdentity &identity, Time now);
    /** @brief Applies the state of a member from its heartbeat. */
    void recordHeartbeat(DaemonHandle member, const connection::wire::Heartbeat &heartbeat);
    /**
     * @brief Adds a member or updates its address from an indirect source: seeds, gossip or the platform's VM list.
     * @remarks Members that have left are not added again, and a live member keeps its address.
     */
    void mergeMember(const DaemonIdentity &identity, Time now);
    void mergeMember(const connection::wire::MemberT &member, Time now);
    /** @brief Applies the platform's list of live VMs; the next advance() removes silent members that it lacks. */
    void applyVmList(const std::vector<DaemonIdentity> &vms, Time now);
    /** @brief Handles a refused connection to the member's address: its process has ended. */
    void onConnectionRefused(DaemonHandle member);
    /** @brief Removes a member that announced its planned stop. */
    void onLeave(DaemonHandle member);
    /** @brief Applies timeouts: a majority excludes silent members from the quorum, and members that the platform dropped are removed. */
    MembershipChange advance(Time now);

    const DaemonIdentity &self() const
    {
        return this->selfIdentity;
    }
    /** @brief Sets whether this daemon is past its start-up pause, and whether it is stopping. */
    void setSelfState(bool started, bool draining);
    bool isSelfStarted() const
    {
        return this->selfStarted;
    }

    /** @returns members of the local data centre that may hold roles, this daemon included. */
    std::vector<DaemonHandle> candidates(Time now) const;
    /** @returns quorum members of the local data centre, sorted; this daemon included once it has started. */
    std::vector<DaemonHandle> quorumMembers() const;
    /** @returns whether this side of a network partition has been a minority for so long that it must stop granting, before the majority
     * uses its slots. */
    bool mustStopGranting(Time now) const;
    /** @returns whether a frame of the member arrived within suspectTimeout(). */
    bool isLive(DaemonHandle member, Time now) const;
    /** @returns daemons of another data centre, unreachable ones last. */
    std::vector<DaemonHandle> daemonsOf(DataCentreHandle dataCentre, Time now) const;
    std::set<DataCentreHandle> dataCentres() const;

    const Member *find(DaemonHandle member) const;
    const std::map<DaemonHandle, Member> &all() const
    {
        return this->members;
    }
    std::vector<DaemonHandle> localPeers() const;
    /** @returns a hash of the local data centre's started members, by which daemons detect that their views differ. */
    std::uint32_t membersHash() const;
    /** @returns the other members as messages; @p localOnly leaves out those of other data centres. */
    std::vector<std::unique_ptr<connection::wire::MemberT>> toMessages(Time now, bool localOnly) const;

    /** @returns heartbeat interval for the current number of local members. */
    Duration heartbeatInterval() const;
    /** @returns time without a frame after which a member is no longer live. */
    Duration suspectTimeout() const;
    /** @returns duration of the leases that routers grant to dispatchers in the local data centre. */
    Duration leaseDuration() const;

private:
    /** Numbers of quorum members in the local data centre, this daemon included. */
    struct Quorum {
        std::size_t total = 0;
        std::size_t live = 0;

        bool hasHalf() const
        {
            return this->live * 2 >= this->total;
        }
        bool hasMajority() const
        {
            return this->live * 2 > this->total;
        }
    };

    bool isLocal(const Member &member) const;
    bool countsForQuorum(const Member &member) const;
    bool isDroppedFromVmList(const Member &member, Time now) const;
    Quorum countQuorum(Time now) const;
    void excludeSilentMembers(const Quorum &quorum, Time now);
    Time silentSince(const Member &member) const;
    void updateLocalPeerCount();

    DaemonIdentity selfIdentity;
    bool selfStarted = false;
    bool selfDraining = false;
    std::map<DaemonHandle, Member> members;
    std::ptrdiff_t localPeerCount = 0; ///< Other members of the local data centre.
    std::set<DaemonHandle> departed; ///< Left by plan or dropped from the VM list; only a frame of their own adds them again.
    std::set<DaemonHandle> excludedMembers; ///< Silent for so long that they no longer count for the quorum.
    std::set<DaemonHandle> listedVms;
    std::optional<Time> vmListConfirmedAt;
    std::optional<Time> minoritySince;
};

}
