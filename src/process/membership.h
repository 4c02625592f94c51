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
    std::optional<Time> lastHeard;
    Time known {0}; ///< When this daemon learned of the member.
    bool settled = false; ///< Past its start-up pause; may hold roles.
    bool draining = false;
    bool refused = false; ///< Nothing listens at its address: the process is gone.
    bool listed = false; ///< Was once in the platform's list of VMs.
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
    bool heard(const DaemonIdentity &identity, Time now);
    /** @brief Takes the state that a heartbeat tells. */
    void recordHeartbeat(DaemonHandle member, const connection::wire::Heartbeat &heartbeat);
    /** @brief Takes second-hand knowledge: seeds, gossip or the platform's list. */
    void learn(const DaemonIdentity &identity, Time now);
    void learn(const connection::wire::MemberT &member, Time now);
    /** @brief Takes the platform's list of live VMs; silent members that it lacks are gone. */
    void vmListArrived(const std::vector<DaemonIdentity> &listed, Time now);
    /** @brief Nothing listens at the member's address. */
    void connectionRefused(DaemonHandle member);
    /** @brief The member ended by plan. */
    void left(DaemonHandle member);
    /** @brief Applies timeouts. */
    MembershipChange advance(Time now);

    const DaemonIdentity &self() const
    {
        return this->me;
    }
    /** @brief Sets whether this daemon may hold roles. */
    void setSelfState(bool settled, bool draining);
    bool isSelfSettled() const
    {
        return this->selfSettled;
    }

    /** @returns members of the own data centre that may take roles, this daemon included. */
    std::vector<DaemonHandle> candidates(Time now) const;
    /** @returns counted members of the own data centre, this daemon included once settled. */
    std::vector<DaemonHandle> counted() const;
    /** @returns whether a minority must stop granting, since the rest may take over its share. */
    bool mustYield(Time now) const;
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
    std::vector<DaemonHandle> ownPeers() const;
    /** @returns a digest of the own data centre's members, to notice differing views. */
    std::uint32_t hash() const;
    std::vector<std::unique_ptr<connection::wire::MemberT>> describe(Time now, bool ownDataCentreOnly) const;

    /** @returns heartbeat period for the current number of members. */
    Duration heartbeatPeriod() const;
    Duration suspectAfter() const;
    Duration lease() const;

private:
    /** Counted members of the own data centre, this daemon included. */
    struct Quorum {
        std::size_t counted = 0;
        std::size_t heard = 0;

        bool isHalf() const
        {
            return this->heard * 2 >= this->counted;
        }
        bool isMajority() const
        {
            return this->heard * 2 > this->counted;
        }
    };

    bool isOwn(const Member &member) const;
    bool isCounted(const Member &member) const;
    bool isDroppedByPlatform(const Member &member, Time now) const;
    Quorum countQuorum(Time now) const;
    void reclaimSilent(const Quorum &quorum, Time now);
    Time silentSince(const Member &member) const;
    void countOwn();

    DaemonIdentity me;
    bool selfSettled = false;
    bool selfDraining = false;
    std::map<DaemonHandle, Member> members;
    std::ptrdiff_t ownMembers = 0; ///< Others in the own data centre.
    std::set<DaemonHandle> departed; ///< Left by plan or dropped by the platform's list; only a direct word brings them back.
    std::set<DaemonHandle> reclaimed; ///< Share taken over by the majority.
    std::set<DaemonHandle> platformListed;
    std::optional<Time> vmListAt;
    std::optional<Time> minoritySince;
};

}
