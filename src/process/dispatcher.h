#pragma once

/** @file Scheduling of requests onto the backend servers of one service in one data centre. */

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

/** @brief Message and the router that it is sent to. */
template <class Message>
struct Addressed {
    DaemonHandle router;
    Message message;
};

/** @brief Messages that result from one call of Dispatcher::decide(). */
struct DispatchDecisions {
    std::vector<Addressed<connection::wire::Grant>> grants;
    std::vector<Addressed<connection::wire::Deny>> denies;
    std::vector<Addressed<connection::wire::Redirect>> redirects;

    bool empty() const
    {
        return this->grants.empty() && this->denies.empty() && this->redirects.empty();
    }
};

/** @brief Spare capacity of a service's pool in another data centre, as of its last digest. */
struct RemoteCapacity {
    DataCentreHandle dataCentre;
    DaemonHandle dispatcher;
    std::uint32_t spareCapacity = 0; ///< Requests that may be redirected there before the next digest.
    std::uint32_t linkCost = 1; ///< Lower is preferred.
    std::uint32_t slots = 0;
    std::uint32_t waiting = 0; ///< Requests waiting at the last digest, plus those redirected since.
    Time validUntil {0};
};

/** @brief Excerpt of the membership that a dispatcher works with. */
struct MembershipView {
    std::vector<DaemonHandle> quorumMembers; ///< Members of the data centre among which the slots are divided; sorted.
    bool mustStopGranting = false; ///< This side of a network partition must stop granting.
    Duration silenceTimeout = config::suspectAfter; ///< A router that sent nothing for longer than this gets no grants.
};

/** @brief State of one pool for status pages and digests. */
struct PoolView {
    std::size_t waiting = 0;
    std::size_t inFlight = 0;
    std::size_t slots = 0;
    std::size_t freeSlots = 0;
    std::size_t spareCapacity = 0; ///< Requests from other data centres that the pool can accept before the next digest.
    std::size_t dataCentresKnown = 0; ///< Other data centres that have backend servers and whose digest is still valid.
};

/**
 * @brief Dispatcher of one pool: the backend servers of one service in one data centre.
 *
 * Routers enqueue a short record for each request and are granted slots on
 * specific backend servers. The dispatcher grants slots only to routers whose
 * lease to it is valid. While the leases of some quorum members are missing, it
 * uses only the slots that belong to the other members, so that the dispatchers
 * on both sides of a network partition together stay within the limits.
 *
 * @remarks Does no I/O and reads no clock. Not synchronized; one thread owns it.
 */
class Dispatcher
{
public:
    Dispatcher(ServiceHandle service, DataCentreHandle dataCentre, Time now, const Policy &policy);

    void configure(const version::Configuration &configuration);
    void setMembers(const MembershipView &view);

    /**
     * @brief Registers a router with the requests that it has in flight; the router enqueues its waiting requests again.
     * @param maxRemainingTime Longest time that requests of the former dispatcher may still run when no inventory lists them.
     */
    void registerRouter(DaemonHandle router, const connection::wire::InventoryT &inventory, Duration maxRemainingTime, Time now);
    /** @brief Extends the lease that a router granted to this dispatcher. */
    void renewLease(DaemonHandle router, Time until, Time now);
    /** @brief Removes a router; the slots of its requests stay occupied for @p holdDuration, since the requests may still run. */
    void removeRouter(DaemonHandle router, Duration holdDuration, Time now);
    /** @brief Stops granting to a router until registerRouter() is called again; its waiting requests are removed. */
    void suspendRouter(DaemonHandle router);

    void enqueue(DaemonHandle router, const connection::wire::Enqueue &message, Time now);
    void cancel(DaemonHandle router, const connection::wire::Cancel &message);
    void release(DaemonHandle router, const connection::wire::Release &message, Time now);
    /** @brief Charges a workspace for cost served to it in other data centres. */
    void chargeRemoteService(WorkspaceHandle workspace, std::uint64_t cost);
    /** @brief Sets the spare capacity of one data centre, to which waiting requests are redirected while this pool has no free slot. */
    void setRemoteCapacity(const RemoteCapacity &remote);
    /** @brief Stops redirecting requests to a data centre. */
    void removeRemoteCapacity(DataCentreHandle dataCentre);

    /** @returns whether anything changed since the last decide(). setMembers() always counts, so that timeouts are applied regularly. */
    bool needsDecision() const
    {
        return this->changed;
    }
    /** @brief Grants, denies or redirects every waiting request for which this is possible now. */
    DispatchDecisions decide(Time now);

    ServiceHandle service() const
    {
        return this->serviceHandle;
    }
    bool hasRouter(DaemonHandle router) const
    {
        return this->routers.contains(router);
    }
    /** @returns whether the router is registered and has not been suspended since its last inventory. */
    bool isRegistered(DaemonHandle router) const
    {
        const auto found = this->routers.find(router);
        return found != this->routers.end() && found->second.registered;
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
    /** @returns cost units served to each workspace since the last call; sent in digests. */
    std::map<WorkspaceHandle, std::uint64_t> takeServedCost();
    /** @returns concurrency limit of one backend server in requests, zero when it is unknown. */
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
        std::size_t loadAtGrant = 0; ///< Requests in flight at the backend server at that time, this one included.
    };
    struct RouterState {
        std::uint32_t session = 0;
        bool registered = false;
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
    bool cannotMeetDeadline(const ChargedRequest &dequeued, Time now) const;
    void grant(const ChargedRequest &dequeued, BackendServerHandle backend, Time now, DispatchDecisions &decisions);
    void denyExpired(Time now);
    void redirectWaiting(Time now, DispatchDecisions &decisions);
    bool hasAwaitedFirstDigests(Time now) const;
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
    std::vector<DaemonHandle> quorumMembers;
    bool changed = true;
    bool mustStopGranting = false;
    Duration silenceTimeout = config::suspectAfter;
    std::vector<RemoteCapacity> remoteCapacities;
    std::vector<Addressed<connection::wire::Deny>> pendingDenies;
    std::map<WorkspaceHandle, std::uint64_t> servedCost;
    double meanServiceTime = 0.0; ///< In microseconds; zero without samples.
    double meanTimePerCost = 0.0; ///< In microseconds per cost unit; zero without samples.
};

}
