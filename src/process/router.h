#pragma once

/** @file Requests inside one daemon: from the caller's submit to the final answer. */

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

/** @brief Which daemons may hold roles, and which one each service's dispatcher belongs on. */
struct DispatcherPlacement {
    std::vector<DaemonHandle> candidates;
    std::map<std::uint32_t, DaemonHandle> dispatchers; ///< By service id.

    /** @returns the invalid handle without candidates. */
    DaemonHandle dispatcherOf(ServiceHandle service) const
    {
        const auto found = this->dispatchers.find(service.id);
        return found == this->dispatchers.end() ? DaemonHandle {} : found->second;
    }
};

/** @brief Order to send a request to a backend server. */
struct StartAttempt {
    std::uint64_t request = 0;
    ServiceHandle service;
    BackendServerHandle backend;
    std::uint32_t attempt = 0;
};

/** @brief Final answer for a request; a running attempt must be aborted. */
struct FinishRequest {
    std::uint64_t request = 0;
    Refusal refusal;
};

/** @brief Requests inside one router, by phase. */
struct RequestCounts {
    std::size_t pending = 0; ///< Wait for their claim.
    std::size_t waiting = 0; ///< Wait for a slot.
    std::size_t running = 0;
    std::size_t aborting = 0; ///< Answered; the attempt has not ended yet.

    bool operator==(const RequestCounts &) const = default;
};

/** @brief Counters of one router, by reason. */
struct RouterStats {
    std::uint64_t submitted = 0;
    std::uint64_t answered = 0;
    std::uint64_t staleGrants = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(RefusalReason::count)> refusals {};
    std::array<std::uint64_t, static_cast<std::size_t>(RetryReason::count)> retries {};

    bool operator==(const RouterStats &) const = default;
};

/**
 * @brief Router role of one daemon.
 *
 * Obeys one dispatcher at a time for each pool. Changing the dispatcher takes
 * a lapsed promise, a yield, or the end of the former dispatcher's process.
 *
 * @remarks Does no I/O and reads no clock. Not synchronized; one thread owns it.
 */
class Router
{
public:
    /** @param home Data centre of this daemon. */
    Router(DataCentreHandle localDataCentre, const Policy &policy);

    /** @brief Services that have a pool; others are refused before submit(). */
    void setServices(const std::set<ServiceHandle> &services);

    /** @returns id of the request; its decision comes out of takeStarts() or takeFinished(). */
    std::uint64_t submit(request::RequestInfo info, Time now);
    /** @brief Releases a request that was held back by hold(). */
    void requestSlot(std::uint64_t request);
    /** @brief Drops a request that got its answer from elsewhere. */
    void remove(std::uint64_t request);
    /** @brief Refuses a request that has not been sent. */
    void refuse(std::uint64_t request, Refusal refusal);
    void onAttemptEnded(std::uint64_t request, const request::AttemptOutcome &outcome, Time now);
    void onCallerGone(std::uint64_t request);

    void onGrant(DaemonHandle dispatcher, const connection::wire::Grant &grant, Time now);
    void onDeny(DaemonHandle dispatcher, const connection::wire::Deny &denial);
    void onRedirect(DaemonHandle dispatcher, const connection::wire::Redirect &redirect, Time now);
    void onYield(DaemonHandle dispatcher, ServiceHandle service);
    void onInventoryRequested(DaemonHandle dispatcher, ServiceHandle service);
    /** @brief The link to a daemon was set up anew: frames may have been lost. */
    void onLinkReset(DaemonHandle dispatcher);
    /** @brief The process of a dispatcher has ended, so its promises are void. */
    void onDispatcherGone(DaemonHandle dispatcher);

    /** @brief Heartbeat of a daemon arrived; @p leaseDuration is the time that it counts on. */
    void onHeartbeat(DaemonHandle dispatcher, Duration leaseDuration, Time now);
    /** @returns services for which the router promises obedience in a heartbeat to a daemon. */
    std::vector<std::uint32_t> grantLeases(DaemonHandle dispatcher);
    /**
     * @brief Applies timeouts and picks dispatchers.
     * @param placement Daemon of the own data centre that each service's dispatcher belongs on.
     */
    void advance(Time now, const DispatcherPlacement &placement);

    /** @brief Moves messages for a dispatcher into a frame. @returns daemons with messages. */
    std::map<DaemonHandle, connection::wire::FrameT> takeFrames();
    std::vector<StartAttempt> takeStarts()
    {
        return std::exchange(this->starts, {});
    }
    std::vector<FinishRequest> takeFinished()
    {
        return std::exchange(this->finished, {});
    }

    RequestCounts requestCounts() const;
    std::size_t size() const
    {
        return this->requests.size();
    }
    /** @returns dispatchers of other data centres that hold requests of this router. */
    std::set<DaemonHandle> remoteDispatchers() const;
    DaemonHandle dispatcherOf(ServiceHandle service) const;
    const RouterStats &stats() const
    {
        return this->counters;
    }
    const request::RequestInfo *find(std::uint64_t request) const;

private:
    enum class Phase {
        Pending, ///< Waits for its claim.
        Waiting,
        Running,
        Aborting, ///< Answered; the aborted attempt still holds its slot.
    };
    struct Request {
        request::RequestInfo info;
        Phase phase = Phase::Pending;
        PoolKey pool;
        BackendServerHandle backend;
        std::uint32_t attempt = 0;
        Time startedAt {0}; ///< Of the last attempt.
        Verdict worstVerdict = Verdict::NotRun;
    };
    struct DispatcherLease {
        DaemonHandle dispatcher;
        DaemonHandle previousDispatcher; ///< Dispatcher before this one, until an inventory has named it.
        Time expiresAt {0};
        std::uint32_t session = 0;
        double meanServiceTime = 0.0; ///< Of finished attempts, in microseconds; zero without one.
    };
    struct LastHeartbeat {
        Time receivedAt {0};
        Duration leaseDuration {0};
    };
    struct BackendObservation {
        Time observedAt {0};
        std::uint16_t occupancy = 0;
        std::uint16_t limit = 0;
        std::uint32_t generation = 0;
        Duration minTimePerToken {0}; ///< Zero without a sample.
    };

    static void clearLease(DispatcherLease &lease);
    void switchDispatcher(const PoolKey &pool, DaemonHandle dispatcher);
    void sendInventory(const PoolKey &pool);
    void sendEnqueue(std::uint64_t id, const Request &request);
    void moveToWaiting(std::uint64_t id, Request &request, const PoolKey &pool);
    void finish(std::uint64_t id, Refusal refusal);
    void erase(std::uint64_t id);
    void refuseExpired();
    void retryOrFinish(std::uint64_t id, Request &request, const request::AttemptOutcome &outcome);
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
    std::vector<FinishRequest> finished;
    request::RetryBudget retryBudget;
    RouterStats counters;
};

}
