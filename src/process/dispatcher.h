#pragma once

/** @file Admission to the backend servers of one service in one data centre. */

#include "connection/wire/generated/frame_generated.h"
#include "eelgrassnotch/policy.h"
#include "eelgrassnotch/types.h"
#include "process/fair_queue.h"
#include "process/slot_table.h"
#include "version/configuration.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace eelgrassnotch::process
{

/** @brief A message for one router. */
template <class Message>
struct Addressed {
    DaemonHandle router;
    Message message;
};

/** @brief What a dispatcher decided in one turn. */
struct DispatchDecisions {
    std::vector<Addressed<connection::wire::Grant>> grants;
    std::vector<Addressed<connection::wire::Deny>> denies;
    std::vector<Addressed<connection::wire::Redirect>> redirects;

    bool empty() const
    {
        return this->grants.empty() && this->denies.empty() && this->redirects.empty();
    }
};

/** @brief Room at a dispatcher of another data centre, from its last digest. */
struct RemoteCapacity {
    DataCentreHandle dataCentre;
    DaemonHandle dispatcher;
    std::uint32_t spareCapacity = 0; ///< Requests that may be redirected until the next digest.
    std::uint32_t linkCost = 1; ///< Lower is preferred.
    std::uint32_t slots = 0;
    std::uint32_t waiting = 0; ///< At the last digest, and redirected since.
    Time validUntil {0};
};

/** @brief What a dispatcher needs to know of the membership. */
struct MembershipView {
    std::vector<DaemonHandle> countedMembers; ///< Members of the data centre that the slots are divided by, sorted.
    bool mustYield = false; ///< This side of a split must stop granting.
    Duration silenceTimeout = config::suspectAfter; ///< A router not heard for this long gets no grant.
};

/** @brief State of one pool for status pages and digests. */
struct PoolView {
    std::size_t waiting = 0;
    std::size_t inFlight = 0;
    std::size_t slots = 0;
    std::size_t freeSlots = 0;
    std::size_t spareCapacity = 0; ///< Requests of other data centres that it can take until the next digest.
    std::size_t dataCentresKnown = 0; ///< Other data centres with backend servers and a fresh digest.
};

/**
 * @brief Dispatcher of one pool: the backend servers of one service in one data centre.
 *
 * Routers enqueue short records and are granted slots on named backend
 * servers. The dispatcher serves only routers that promised to obey it, and
 * uses only the slots that those routers' members own while others are
 * missing, so that two dispatchers in a split stay within one limit.
 *
 * @remarks Does no I/O and reads no clock. Not synchronized; one thread owns it.
 */
class Dispatcher
{
public:
    Dispatcher(ServiceHandle service, DataCentreHandle dataCentre, Time now, const Policy &policy);

    /** @brief Applies a version of the configuration. */
    void configure(const version::Configuration &configuration);
    void setMembers(const MembershipView &view);

    /**
     * @brief Takes over a router, with all that it has in flight; it enqueues its waiting requests anew.
     * @param maxRemainingTime Longest time for which requests that the former dispatcher granted, and nobody names, may run.
     */
    void adoptRouter(DaemonHandle router, const connection::wire::InventoryT &inventory, Duration maxRemainingTime, Time now);
    /** @brief Extends the promise of a router. */
    void renewLease(DaemonHandle router, Time until, Time now);
    /** @brief Forgets a router; its slots stay occupied for a while. */
    void removeRouter(DaemonHandle router, Duration holdDuration, Time now);
    /** @brief Stops serving a router until it is adopted anew. */
    void suspendRouter(DaemonHandle router);

    void enqueue(DaemonHandle router, const connection::wire::Enqueue &message, Time now);
    void cancel(DaemonHandle router, const connection::wire::Cancel &message);
    void release(DaemonHandle router, const connection::wire::Release &message, Time now);
    /** @brief Charges service that a workspace got in other data centres. */
    void chargeElsewhere(WorkspaceHandle workspace, std::uint64_t cost);
    /** @brief Sets where waiting requests may go while this pool has no free slot; replaces the data centre's former room. */
    void setRemoteCapacity(const RemoteCapacity &remote);
    /** @brief Forgets the room in a data centre. */
    void removeRemoteCapacity(DataCentreHandle dataCentre);

    /** @returns whether anything has changed since the last decision; setMembers() counts, so that time passes for it. */
    bool needsDecision() const
    {
        return this->changed;
    }
    /** @brief Decides what can be decided now. */
    DispatchDecisions decide(Time now);

    ServiceHandle service() const
    {
        return this->serviceHandle;
    }
    bool hasRouter(DaemonHandle router) const
    {
        return this->routers.contains(router);
    }
    /** @returns whether the router's inventory is known and up to date. */
    bool hasAdopted(DaemonHandle router) const
    {
        const auto found = this->routers.find(router);
        return found != this->routers.end() && found->second.adopted;
    }
    bool hasRouters() const
    {
        return !this->routers.empty();
    }
    std::vector<DaemonHandle> routerHandles() const;
    std::vector<WorkspaceHandle> backlogged() const
    {
        return this->queue.backlogged();
    }
    PoolView view() const;
    /** @returns cost units served to each workspace since the last call, for digests. */
    std::map<WorkspaceHandle, std::uint64_t> takeServedCost();
    /** @returns limit of one backend server in requests, zero when it is unknown. */
    double limitOf(BackendServerHandle backend) const
    {
        return this->slots.limitOf(backend);
    }
    std::size_t inFlightAt(BackendServerHandle backend) const
    {
        return this->slots.inFlightAt(backend);
    }

private:
    struct GrantedRequest {
        BackendServerHandle backend;
        WorkspaceHandle workspace;
        std::uint32_t chargedCost = 0;
        Time grantedAt {0};
        std::size_t loadAtGrant = 0; ///< Requests at the backend server when it was granted, itself included.
    };
    struct RouterState {
        std::uint32_t session = 0;
        bool adopted = false;
        Time leaseUntil {0};
        Time lastSeen {0};
        std::unordered_map<std::uint64_t, GrantedRequest> inFlight;
    };
    bool isActive(DaemonHandle router, Time now) const;
    ActiveRouters findActiveRouters(Time now);
    void suspendSilentRouters(Time now);
    void removeIdleRemoteRouters(Time now);
    static Duration completionBound(Duration meanService, Duration maxDuration);
    Duration remainingServiceBound() const;
    bool cannotMeetDeadline(const ChargedRequest &taken, Time now) const;
    void grant(const ChargedRequest &taken, BackendServerHandle backend, Time now, DispatchDecisions &decisions);
    void denyExpired(Time now);
    void redirectWaiting(Time now, DispatchDecisions &decisions);
    bool knowsRemoteCapacity(Time now) const;
    bool redirectOne(RemoteCapacity &remote, DispatchDecisions &decisions);
    RemoteCapacity *leastLoadedRemote();
    void deny(RequestKey key, connection::wire::DenyReason reason, Duration retryAfter);
    Duration expectedWait(WorkspaceHandle workspace) const;
    Duration expectedService(WorkspaceHandle workspace, std::uint32_t costHint) const;
    WorkspaceHandle flowOf(WorkspaceHandle workspace) const;

    ServiceHandle serviceHandle;
    Policy policy;
    Time startedAt;
    FairQueue queue;
    SlotTable slots;
    std::map<DaemonHandle, RouterState> routers;
    std::vector<DaemonHandle> countedMembers;
    bool changed = true;
    bool isYielding = false;
    Duration silenceTimeout = config::suspectAfter;
    std::vector<RemoteCapacity> remoteCapacities;
    std::vector<Addressed<connection::wire::Deny>> pendingDenies;
    std::map<WorkspaceHandle, std::uint64_t> servedCost;
    double meanServiceTime = 0.0; ///< Microseconds; zero without history.
    double meanTimePerCost = 0.0; ///< Microseconds per cost unit; zero without history.
};

}
