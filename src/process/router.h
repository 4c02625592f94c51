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
struct Placement {
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
struct RouterView {
    std::size_t held = 0; ///< Wait for their claim.
    std::size_t waiting = 0; ///< Wait for a slot.
    std::size_t running = 0;
    std::size_t ending = 0; ///< Answered; the attempt has not ended yet.

    bool operator==(const RouterView &) const = default;
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
    Router(DataCentreHandle home, const Policy &policy);

    /** @brief Services that have a pool; others are refused before submit(). */
    void setServices(const std::set<ServiceHandle> &services);

    /** @returns id of the request; its decision comes out of takeStarts() or takeFinished(). */
    std::uint64_t submit(request::RequestInfo info, Time now);
    /** @brief Releases a request that was held back by hold(). */
    void proceed(std::uint64_t request);
    /** @brief Drops a request that got its answer from elsewhere. */
    void forget(std::uint64_t request);
    /** @brief Refuses a request that has not been sent. */
    void refuse(std::uint64_t request, Refusal refusal);
    void attemptEnded(std::uint64_t request, const request::AttemptOutcome &outcome, Time now);
    void callerGone(std::uint64_t request);

    void onGrant(DaemonHandle dispatcher, const connection::wire::Grant &grant, Time now);
    void onDeny(DaemonHandle dispatcher, const connection::wire::Deny &denial);
    void onRedirect(DaemonHandle dispatcher, const connection::wire::Redirect &redirect, Time now);
    void onYield(DaemonHandle dispatcher, ServiceHandle service);
    void onInventoryWanted(DaemonHandle dispatcher, ServiceHandle service);
    /** @brief The link to a daemon was set up anew: frames may have been lost. */
    void linkReset(DaemonHandle dispatcher);
    /** @brief The process of a dispatcher has ended, so its promises are void. */
    void dispatcherGone(DaemonHandle dispatcher);

    /** @brief Heartbeat of a daemon arrived; @p lease is the time that it counts on. */
    void heartbeatReceived(DaemonHandle dispatcher, Duration lease, Time now);
    /** @returns services for which the router promises obedience in a heartbeat to a daemon. */
    std::vector<std::uint32_t> promise(DaemonHandle dispatcher);
    /**
     * @brief Applies timeouts and picks dispatchers.
     * @param placement Daemon of the own data centre that each service's dispatcher belongs on.
     */
    void advance(Time now, const Placement &placement);

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

    RouterView view() const;
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
        Held, ///< Waits for its claim.
        Waiting,
        Running,
        Ending, ///< Answered; the aborted attempt still holds its slot.
    };
    struct Request {
        request::RequestInfo info;
        Phase phase = Phase::Held;
        PoolKey pool;
        BackendServerHandle backend;
        std::uint32_t attempt = 0;
        Time startedAt {0}; ///< Of the last attempt.
        Verdict worst = Verdict::NotRun;
    };
    struct Obedience {
        DaemonHandle dispatcher;
        DaemonHandle former; ///< Dispatcher before this one, until an inventory has named it.
        Time promisedUntil {0};
        std::uint32_t session = 0;
        double meanServiceTime = 0.0; ///< Of finished attempts, in microseconds; zero without one.
    };
    struct LastHeartbeat {
        Time at {0};
        Duration lease {0};
    };
    struct Observed {
        Time at {0};
        std::uint16_t occupancy = 0;
        std::uint16_t limit = 0;
        std::uint32_t generation = 0;
        Duration fastestToken {0}; ///< Zero without a sample.
    };

    static void setFree(Obedience &obedience);
    void follow(const PoolKey &pool, DaemonHandle dispatcher);
    void sendInventory(const PoolKey &pool);
    void enqueue(std::uint64_t id, const Request &request);
    void toWaiting(std::uint64_t id, Request &request, const PoolKey &pool);
    void finish(std::uint64_t id, Refusal refusal);
    void erase(std::uint64_t id);
    void expire();
    void retryOrFinish(std::uint64_t id, Request &request, const request::AttemptOutcome &outcome);
    void release(std::uint64_t id, const Request &request, const request::AttemptOutcome &outcome);
    void observeOutcome(const Request &request, const request::AttemptOutcome &outcome);
    const PoolKey *poolOfSession(DaemonHandle dispatcher, std::uint32_t session) const;
    Obedience *obeyed(ServiceHandle service, DaemonHandle dispatcher);
    const PoolKey *poolServedBy(ServiceHandle service, DaemonHandle dispatcher) const;
    void dropUnusedGuestPools();
    connection::wire::FrameT &frameFor(DaemonHandle daemon);

    DataCentreHandle home;
    Policy policy;
    std::uint64_t nextRequest = 1;
    std::uint32_t nextSession = 1;
    Time now {0};
    Time nextGuestCheck {0};
    std::unordered_map<std::uint64_t, Request> requests;
    std::set<std::pair<Time, std::uint64_t>> deadlines;
    std::map<PoolKey, Obedience> obediences;
    std::map<DaemonHandle, LastHeartbeat> heartbeats;
    std::map<BackendServerHandle, Observed> observed;
    std::map<DaemonHandle, connection::wire::FrameT> frames;
    std::vector<StartAttempt> starts;
    std::vector<FinishRequest> finished;
    request::RetryBudget budget;
    RouterStats counters;
};

}
