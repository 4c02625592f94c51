#pragma once

/** @file Requests of one daemon, from submission to the final answer. */

#include "connection/wire/generated/frame_generated.h"
#include "eelgrassnotch/policy.h"
#include "eelgrassnotch/types.h"
#include "eelgrassnotch/verdict.h"
#include "process/digest_exchange.h"
#include "process/dispatcher.h"
#include "request/attempt.h"
#include "request/retry_budget.h"

#include <array>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace eelgrassnotch::process
{

/** @brief Assignment of the dispatcher role of each service to the daemons of one data centre. */
struct DispatcherAssignment {
    std::vector<DaemonHandle> candidates; ///< Daemons that may hold roles.
    std::map<std::uint32_t, DaemonHandle> dispatchers; ///< By service id.

    /** @returns the daemon that should dispatch @p service; the invalid handle when there is none. */
    DaemonHandle dispatcherOf(ServiceHandle service) const
    {
        const auto found = this->dispatchers.find(service.id);
        return found == this->dispatchers.end() ? DaemonHandle {} : found->second;
    }
};

/** @brief Command to start an attempt of a request at a backend server. */
struct StartAttempt {
    std::uint64_t request = 0;
    ServiceHandle service;
    BackendServerHandle backend;
    std::uint32_t attempt = 0;
};

/** @brief Command to refuse a request and to abort its running attempt, if there is one. */
struct RefuseRequest {
    std::uint64_t request = 0;
    Refusal refusal;
};

/** @brief Numbers of requests inside one router, by phase. */
struct RequestCounts {
    std::size_t pending = 0; ///< Wait for their idempotency claim.
    std::size_t waiting = 0; ///< Enqueued at a dispatcher; wait for a slot.
    std::size_t running = 0;
    std::size_t aborting = 0; ///< Refused; the aborted attempt has not ended yet.

    bool operator==(const RequestCounts &) const = default;
};

/** @brief Counters of one router; refusals and retries by reason. */
struct RouterStats {
    std::uint64_t submitted = 0;
    std::uint64_t answered = 0;
    std::uint64_t staleGrants = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(RefusalReason::count)> refusals {};
    std::array<std::uint64_t, static_cast<std::size_t>(RetryReason::count)> retries {};

    bool operator==(const RouterStats &) const = default;
};

/**
 * @brief Router role of one daemon: enqueues its callers' requests at dispatchers and starts the attempts that they grant.
 *
 * For each pool, the router grants a lease to one dispatcher at a time. It
 * changes to another one only when the lease has expired, the dispatcher has
 * yielded, or the dispatcher's process has ended.
 *
 * @remarks Does no I/O and reads no clock. Not synchronized; one thread owns it.
 */
class Router
{
public:
    /** @param localDataCentre Data centre of this daemon. */
    Router(DataCentreHandle localDataCentre, const Policy &policy);

    /** @brief Adds the services of the configuration; requests for others must be refused before submit(). */
    void setServices(const std::set<ServiceHandle> &services);

    /** @returns id of the request; takeStarts() and takeRefusals() return the decisions on it. */
    std::uint64_t submit(request::RequestInfo info, Time now);
    /** @brief Enqueues a pending request at its dispatcher, once its claim is granted or when it needs none. */
    void requestSlot(std::uint64_t request);
    /** @brief Removes a request that was answered with a stored answer. */
    void remove(std::uint64_t request);
    /** @brief Refuses a request of which no attempt has started. */
    void refuse(std::uint64_t request, Refusal refusal);
    void onAttemptEnded(std::uint64_t request, const request::AttemptOutcome &outcome, Time now);
    void onCallerGone(std::uint64_t request);

    void onGrant(DaemonHandle dispatcher, const connection::wire::Grant &grant, Time now);
    void onDeny(DaemonHandle dispatcher, const connection::wire::Deny &denial);
    void onRedirect(DaemonHandle dispatcher, const connection::wire::Redirect &redirect, Time now);
    void onYield(DaemonHandle dispatcher, ServiceHandle service);
    void onInventoryRequested(DaemonHandle dispatcher, ServiceHandle service);
    /** @brief Handles a new connection to a dispatcher: frames may have been lost, so the router sends its inventories again. */
    void onLinkReset(DaemonHandle dispatcher);
    /** @brief Handles the end of a dispatcher's process, which ends its leases. */
    void onDispatcherGone(DaemonHandle dispatcher);

    /** @brief Handles a heartbeat of a daemon; @p leaseDuration is the lease that it asks for, counted from the heartbeat. */
    void onHeartbeat(DaemonHandle dispatcher, Duration leaseDuration, Time now);
    /**
     * @brief Extends the leases held by a dispatcher; each lasts for the lease duration in its last heartbeat, counted from that
     * heartbeat.
     * @returns ids of the leased services, for the next heartbeat to it.
     */
    std::vector<std::uint32_t> renewLeases(DaemonHandle dispatcher);
    /**
     * @brief Refuses requests whose deadline has passed, and changes dispatchers whose lease allows it.
     * @param assignment Of the dispatchers in the local data centre.
     */
    void advance(Time now, const DispatcherAssignment &assignment);

    /** @returns the messages gathered since the last call, by receiving dispatcher. */
    std::map<DaemonHandle, connection::wire::FrameT> takeFrames();
    std::vector<StartAttempt> takeStarts()
    {
        return std::exchange(this->starts, {});
    }
    std::vector<RefuseRequest> takeRefusals()
    {
        return std::exchange(this->refusals, {});
    }

    RequestCounts requestCounts() const;
    std::size_t size() const
    {
        return this->requests.size();
    }
    /** @returns dispatchers of other data centres that requests of this router were redirected to. */
    std::set<DaemonHandle> remoteDispatchers() const;
    DaemonHandle dispatcherOf(ServiceHandle service) const;
    const RouterStats &stats() const
    {
        return this->counters;
    }
    const request::RequestInfo *find(std::uint64_t request) const;

private:
    enum class Phase {
        Pending, ///< Not enqueued yet: waits for its idempotency claim.
        Waiting, ///< Enqueued at a dispatcher.
        Running,
        Aborting, ///< Refused; the aborted attempt still occupies its slot.
    };
    struct Request {
        request::RequestInfo info;
        Phase phase = Phase::Pending;
        PoolKey pool;
        BackendServerHandle backend;
        std::uint32_t attempt = 0;
        Time startedAt {0}; ///< Of the last attempt.
        Verdict worstVerdict = Verdict::NotRun; ///< Over all attempts.
    };
    /** Lease of one pool. */
    struct DispatcherLease {
        DaemonHandle dispatcher; ///< Invalid while nobody holds the lease.
        DaemonHandle formerDispatcher; ///< Until an inventory has named it to the next dispatcher.
        Time expiresAt {0};
        std::uint32_t session = 0; ///< Of the last inventory; the dispatcher's grants name it.
        double meanServiceTime = 0.0; ///< Moving average over ended attempts, in microseconds; zero without one.
    };
    struct LastHeartbeat {
        Time receivedAt {0};
        Duration leaseDuration {0};
    };
    /** State of a backend server, as last seen by this router; part of the inventory for a new dispatcher. */
    struct BackendObservation {
        Time observedAt {0};
        std::uint16_t occupancy = 0;
        std::uint16_t limit = 0;
        std::uint32_t generation = 0; ///< Of the backend server's process; zero when unknown.
        Duration minTimePerToken {0}; ///< Zero without a sample.
    };

    static void clearLease(DispatcherLease &lease);
    void switchDispatcher(const PoolKey &pool, DaemonHandle dispatcher);
    void sendInventory(const PoolKey &pool);
    void sendEnqueue(std::uint64_t id, const Request &request);
    void moveToWaiting(std::uint64_t id, Request &request, const PoolKey &pool);
    void refuseRequest(std::uint64_t id, Refusal refusal);
    void erase(std::uint64_t id);
    void refuseExpired();
    void retryOrRefuse(std::uint64_t id, Request &request, const request::AttemptOutcome &outcome);
    void sendRelease(std::uint64_t id, const Request &request, const request::AttemptOutcome &outcome);
    void recordOutcome(const Request &request, const request::AttemptOutcome &outcome);
    const PoolKey *poolOfSession(DaemonHandle dispatcher, std::uint32_t session) const;
    DispatcherLease *leaseOf(ServiceHandle service, DaemonHandle dispatcher);
    const PoolKey *poolDispatchedBy(ServiceHandle service, DaemonHandle dispatcher) const;
    void dropUnusedRemotePools();
    connection::wire::FrameT &frameFor(DaemonHandle daemon);

    DataCentreHandle localDataCentre;
    Policy policy;
    std::uint64_t nextRequest = 1;
    std::uint32_t nextSession = 1;
    Time now {0};
    Time nextRemotePoolCheck {0};
    std::unordered_map<std::uint64_t, Request> requests;
    std::set<std::pair<Time, std::uint64_t>> deadlines;
    std::map<PoolKey, DispatcherLease> leases;
    std::map<DaemonHandle, LastHeartbeat> lastHeartbeats;
    std::map<BackendServerHandle, BackendObservation> observations;
    std::map<DaemonHandle, connection::wire::FrameT> frames;
    std::vector<StartAttempt> starts;
    std::vector<RefuseRequest> refusals;
    request::RetryBudget retryBudget {config::retryBudgetRatio, config::retryBudgetBurst, config::retryBudgetBurst};
    RouterStats counters;
};

}
