#pragma once

/** @file Admission to the backend servers of one service in one data centre. */

#include "connection/wire/generated/frame_generated.h"
#include "eelgrassnotch/policy.h"
#include "eelgrassnotch/types.h"
#include "process/adaptive_limit.h"
#include "process/fair_queue.h"
#include "version/configuration.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace eelgrassnotch::process
{

/** @brief A message for one router. */
template <class Message>
struct Addressed
{
    DaemonHandle router;
    Message message;
};

/** @brief What a dispatcher decided in one turn. */
struct DispatchDecisions
{
    std::vector<Addressed<connection::wire::Grant>> grants;
    std::vector<Addressed<connection::wire::Deny>> denies;
    std::vector<Addressed<connection::wire::Redirect>> redirects;

    bool empty() const
    {
        return this->grants.empty() && this->denies.empty() && this->redirects.empty();
    }
};

/** @brief Room at a dispatcher of another data centre, from its last digest. */
struct RemoteRoom
{
    DataCentreHandle dataCentre;
    DaemonHandle dispatcher;
    std::uint32_t freeSlots = 0;
    std::uint32_t linkCost = 1; ///< Lower is preferred.
};

/** @brief State of one pool for status pages and digests. */
struct PoolView
{
    std::size_t waiting = 0;
    std::size_t inFlight = 0;
    std::size_t slots = 0;
    std::size_t freeSlots = 0;
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
    /**
     * @brief Sets who counts for the shares of a split.
     * @param counted Members of the data centre, sorted.
     * @param yield Whether this side must stop granting.
     */
    void setMembers(std::vector<DaemonHandle> counted, bool yield);

    /** @brief Takes over a router, with all that it has in flight; it enqueues its waiting requests anew. */
    void adopt(DaemonHandle router, const connection::wire::InventoryT &inventory, Time now);
    /** @brief Extends the promise of a router. */
    void renewLease(DaemonHandle router, Time until);
    /** @brief Forgets a router; its slots stay occupied for config::lostRouterHold when @p hold is set. */
    void drop(DaemonHandle router, bool hold, Time now);
    /** @brief Stops serving a router until it is adopted anew. */
    void suspend(DaemonHandle router);

    void enqueue(DaemonHandle router, const connection::wire::Enqueue &message, Time now);
    void cancel(DaemonHandle router, const connection::wire::Cancel &message);
    void release(DaemonHandle router, const connection::wire::Release &message, Time now);
    /** @brief Charges service that a workspace got in other data centres. */
    void chargeElsewhere(WorkspaceHandle workspace, std::uint64_t cost);
    /** @brief Sets where waiting requests may go while this pool has no free slot. */
    void setRemoteRooms(std::vector<RemoteRoom> rooms);

    /** @brief Decides what can be decided now. */
    DispatchDecisions decide(Time now);

    ServiceHandle service() const
    {
        return this->pool;
    }
    bool hasRouter(DaemonHandle router) const
    {
        return this->routers.contains(router);
    }
    std::vector<DaemonHandle> routerHandles() const;
    std::vector<WorkspaceHandle> backlogged() const
    {
        return this->queue.backlogged();
    }
    PoolView view(Time now) const;
    /** @returns cost units served to each workspace since the last call, for digests. */
    std::map<WorkspaceHandle, std::uint64_t> takeServed();
    /** @returns limit of one backend server in requests, zero when it is unknown. */
    double limitOf(BackendServerHandle backend) const;
    std::size_t inFlightAt(BackendServerHandle backend) const;

private:
    struct InFlight
    {
        BackendServerHandle backend;
        WorkspaceHandle workspace;
        std::uint32_t charged = 0;
        Time since {0};
    };
    struct Router
    {
        std::uint32_t session = 0;
        bool adopted = false;
        Time leaseUntil {0};
        std::unordered_map<std::uint64_t, InFlight> inFlight;
    };
    struct Held
    {
        BackendServerHandle backend;
        Time until {0};
    };
    struct Backend
    {
        AdaptiveLimit limit;
        std::size_t inFlight = 0;
        std::size_t adoptedInFlight = 0; ///< Sum of the inventories at takeover.
        std::size_t observed = 0; ///< Occupancy that routers saw under the former dispatcher.
        Duration observedAge = Duration::max(); ///< Age of the observation of the limit.
        bool usable = false;
        std::vector<DaemonHandle> slotOwners; ///< Owner of each slot, filled while members are missing.
    };

    bool isServed(DaemonHandle router, Time now) const;
    bool isWhole(Time now) const;
    std::size_t allowedSlots(Backend &backend, BackendServerHandle handle, bool whole, Time now) const;
    std::size_t unaccounted(const Backend &backend, Time now) const;
    std::size_t heldAt(BackendServerHandle backend, Time now) const;
    BackendServerHandle chooseBackend(const WaitingRequest &request, bool whole, Time now);
    bool mayRetryAnywhere(Time now) const;
    void grant(const ChargedRequest &taken, BackendServerHandle backend, Time now, DispatchDecisions &decisions);
    void denyExpired(Time now);
    void redirectWaiting(DispatchDecisions &decisions);
    void deny(RequestKey key, connection::wire::DenyReason reason, Duration retryAfter);
    Duration expectedWait(WorkspaceHandle workspace) const;
    Duration expectedService(WorkspaceHandle workspace, std::uint32_t costHint) const;
    std::size_t usableSlots() const;
    void observe(const connection::wire::Observation &observation, Time now);
    void releaseSlot(BackendServerHandle backend);

    WorkspaceHandle flowOf(WorkspaceHandle workspace) const;

    ServiceHandle pool;
    Policy policy;
    DataCentreHandle home;
    Time startedAt;
    LatencyTarget target;
    FairQueue queue;
    std::map<BackendServerHandle, Backend> backends;
    std::map<DaemonHandle, Router> routers;
    std::vector<Held> held;
    std::vector<DaemonHandle> counted;
    bool yielding = false;
    std::vector<RemoteRoom> rooms;
    std::vector<Addressed<connection::wire::Deny>> pendingDenies;
    std::map<WorkspaceHandle, std::uint64_t> served;
    double meanServiceTime = 0.0; ///< Microseconds; zero without history.
    double meanTimePerCost = 0.0; ///< Microseconds per cost unit; zero without history.
};

}
