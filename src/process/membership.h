#pragma once

/** @file Which daemons exist, which of them live, and which count towards the shares of a split. */

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

/** @brief Where a daemon is reached, and which start of it is meant. */
struct DaemonIdentity {
    std::string name;
    std::string address; ///< IP number.
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
    std::optional<Time> lastSeen;
    Time learnedAt {0}; ///< When this daemon learned of the member.
    bool hasStarted = false; ///< Past its start-up pause; may hold roles.
    bool draining = false;
    bool isConnectionRefused = false; ///< Nothing listens at its address: the process is gone.
    bool wasListed = false; ///< Was once in the platform's list of VMs.
};

/** @brief What a turn of the membership found out. */
struct MembershipChange {
    std::vector<DaemonHandle> lost; ///< Gone for good or restarted: their routers' state is void.
};

/**
 * @brief Members of the fleet as one daemon sees them.
 *
 * A member of the own data centre is *live* while it is heard, and *counted*
 * until it is known to be gone. Slots of a split data centre are divided by
 * the counted members, so that both sides together stay within the limits.
 *
 * @remarks Not synchronized; one thread owns it.
 */
class Membership
{
public:
    explicit Membership(DaemonIdentity self);

    /** @brief Notes that a member spoke. @returns true when it is another incarnation than known before. */
    bool recordContact(const DaemonIdentity &identity, Time now);
    /** @brief Takes the state that a heartbeat tells. */
    void recordHeartbeat(DaemonHandle member, const connection::wire::Heartbeat &heartbeat);
    /** @brief Takes second-hand knowledge: seeds, gossip or the platform's list. */
    void mergeMember(const DaemonIdentity &identity, Time now);
    void mergeMember(const connection::wire::MemberT &member, Time now);
    /** @brief Takes the platform's list of live VMs; silent members that it lacks are gone. */
    void applyVmList(const std::vector<DaemonIdentity> &vms, Time now);
    /** @brief Nothing listens at the member's address. */
    void onConnectionRefused(DaemonHandle member);
    /** @brief The member ended by plan. */
    void onLeave(DaemonHandle member);
    /** @brief Applies timeouts. */
    MembershipChange advance(Time now);

    const DaemonIdentity &self() const
    {
        return this->selfIdentity;
    }
    /** @brief Sets whether this daemon may hold roles. */
    void setSelfState(bool started, bool draining);
    bool isSelfStarted() const
    {
        return this->selfStarted;
    }

    /** @returns members of the own data centre that may take roles, this daemon included. */
    std::vector<DaemonHandle> candidates(Time now) const;
    /** @returns counted members of the own data centre, this daemon included once settled. */
    std::vector<DaemonHandle> quorumMembers() const;
    /** @returns whether a minority must stop granting, since the rest may take over its share. */
    bool mustStopGranting(Time now) const;
    /** @returns whether a member was heard lately. */
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
    /** @returns a digest of the own data centre's members, to notice differing views. */
    std::uint32_t membersHash() const;
    std::vector<std::unique_ptr<connection::wire::MemberT>> toMessages(Time now, bool localOnly) const;

    /** @returns heartbeat period for the current number of members. */
    Duration heartbeatInterval() const;
    Duration suspectTimeout() const;
    Duration leaseDuration() const;

private:
    /** Counted members of the own data centre, this daemon included. */
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
    void reclaimSlotsOfSilentMembers(const Quorum &quorum, Time now);
    Time silentSince(const Member &member) const;
    void updateLocalPeerCount();

    DaemonIdentity selfIdentity;
    bool selfStarted = false;
    bool selfDraining = false;
    std::map<DaemonHandle, Member> members;
    std::ptrdiff_t localPeerCount = 0; ///< Others in the own data centre.
    std::set<DaemonHandle> departed; ///< Left by plan or dropped by the platform's list; only a direct word brings them back.
    std::set<DaemonHandle> reclaimedMembers; ///< Share taken over by the majority.
    std::set<DaemonHandle> listedVms;
    std::optional<Time> vmListConfirmedAt;
    std::optional<Time> minoritySince;
};

}
