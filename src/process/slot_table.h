#pragma once

/** @file Concurrency slots of the backend servers of one pool, and which of them a dispatcher may use. */

#include "connection/wire/generated/frame_generated.h"
#include "eelgrassnotch/policy.h"
#include "eelgrassnotch/types.h"
#include "process/adaptive_limit.h"
#include "version/configuration.h"

#include <map>
#include <optional>
#include <vector>

namespace eelgrassnotch::process
{

/** @brief Routers whose lease to the dispatcher is valid. */
struct ActiveRouters {
    std::vector<DaemonHandle> handles; ///< Sorted.
    bool isComplete = true; ///< Whether every quorum member is among them.

    bool contains(DaemonHandle router) const;
};

/** @brief Constraints on the choice of a backend server for one request. */
struct PlacementConstraints {
    BackendServerHandle avoid; ///< Chosen only when no other backend server has a free slot.
    bool isRetry = false; ///< A retry is not placed on a backend server that has just turned cold.
};

/**
 * @brief Limits and requests in flight of the backend servers of one pool.
 *
 * While quorum members are missing from the active routers, each slot belongs
 * to one quorum member, chosen by rendezvous hashing, and only the slots of
 * active members are used. Requests that may run without being tracked here
 * occupy slots until they have presumably ended.
 */
class SlotTable
{
public:
    SlotTable(ServiceHandle service, DataCentreHandle dataCentre, Time now, const Policy &policy);

    void configure(const version::Configuration &configuration);
    /** @param members Quorum members of the data centre, among which the slots are divided; sorted. */
    void setQuorumMembers(const std::vector<DaemonHandle> &members);

    /** @brief Sets the active routers. Unless they include all quorum members no limit grows, since part of the load is unknown. */
    void setActiveRouters(ActiveRouters routers);

    /** @brief Counts a request in flight. */
    void add(DaemonHandle router, BackendServerHandle backend);
    /** @brief Counts a request in flight that a former dispatcher granted. */
    void addInherited(DaemonHandle router, BackendServerHandle backend, DaemonHandle formerDispatcher);
    void remove(DaemonHandle router, BackendServerHandle backend);
    /** @brief Counts a request whose end no router will report, until it has presumably ended. */
    void addOrphaned(BackendServerHandle backend, Time until);
    /** @brief Sets until when requests of a router that is no longer active may still run. */
    void recordInactive(DaemonHandle router, Time mayRunUntil);

    /**
     * @brief Applies what a router observed at a backend server under a former dispatcher.
     * @param endsWithin Time after the observation by which the observed requests have presumably ended.
     */
    void recordObservation(const connection::wire::Observation &observation, DaemonHandle formerDispatcher, Duration endsWithin, Time now);
    /**
     * @brief Leaves the slots of a router unused until the given time, while quorum members are missing.
     * @remarks For a router that doesn't know what its former dispatcher granted to other routers on these slots.
     */
    void withholdSlots(DaemonHandle router, Time until);
    void recordAttempt(BackendServerHandle backend, const AttemptSample &sample, Time now);

    /** @returns the backend server with a free slot and the lowest load relative to its limit, or the invalid handle. */
    BackendServerHandle chooseBackend(const PlacementConstraints &constraints, Time now);
    void recordStart(BackendServerHandle backend, Time now);
    /** @returns whether any backend server accepts retries, now or once it has a free slot. */
    bool acceptsRetries(Time now) const;

    std::size_t usableSlots() const;
    std::size_t freeSlots() const;
    std::size_t inFlight() const;
    std::size_t inFlightAt(BackendServerHandle backend) const;
    /** @returns requests in flight at a backend server, or zero while those of some quorum members are unknown. */
    std::size_t loadAt(BackendServerHandle backend) const;
    /** @returns concurrency limit of one backend server in requests, zero when it is unknown. */
    double limitOf(BackendServerHandle backend) const;
    const LatencyTarget &latencyTarget() const
    {
        return this->target;
    }

private:
    /** Requests at one backend server that a former dispatcher granted. */
    struct InheritedRequests {
        std::size_t inventoried = 0; ///< Listed in the inventories of routers.
        std::size_t observed = 0; ///< Largest number in flight that a router observed.
        Time mayRunUntil {0}; ///< Time by which the observed requests have presumably ended.
    };
    struct Backend {
        AdaptiveLimit limit;
        std::size_t inFlight = 0;
        std::map<DaemonHandle, std::size_t> inFlightByRouter;
        std::map<DaemonHandle, InheritedRequests> inheritedRequests; ///< Keyed by former dispatcher.
        Duration observationAge = Duration::max(); ///< Age of the observation from which the limit was adopted.
        bool isUsable = false;
        std::vector<DaemonHandle> slotOwners; ///< Owner of each slot; filled only while quorum members are missing.
    };
    /** A request whose end no router will report. */
    struct OrphanedRequest {
        BackendServerHandle backend;
        Time mayRunUntil {0};
    };

    std::size_t ownedSlots(Backend &backend, BackendServerHandle handle, Time now) const;
    bool areSlotsWithheld(DaemonHandle router, Time now) const;
    std::size_t inFlightOfActiveRouters(const Backend &backend) const;
    std::size_t possiblyInFlight(const Backend &backend, BackendServerHandle handle, Time now) const;
    bool hasFreeSlot(Backend &backend, BackendServerHandle handle, Time now) const;

    ServiceHandle service;
    DataCentreHandle localDataCentre;
    Time startedAt;
    Policy policy;
    LatencyTarget target;
    std::map<BackendServerHandle, Backend> backends;
    std::map<DaemonHandle, Time> inactiveMayRunUntil;
    std::map<DaemonHandle, Time> slotsWithheldUntil;
    std::vector<OrphanedRequest> orphanedRequests;
    std::vector<DaemonHandle> quorumMembers;
    ActiveRouters activeRouters;
};

}
