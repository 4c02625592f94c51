#pragma once

/** @file Slots on the backend servers of one pool, and which of them a dispatcher may use. */

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

/** @brief Routers whose promise holds, and whether that is all counted members. */
struct ActiveRouters {
    std::vector<DaemonHandle> handles; ///< Sorted.
    bool isComplete = true; ///< Every counted member is among them.

    bool contains(DaemonHandle router) const;
};

/** @brief What a placement must respect. */
struct PlacementConstraints {
    BackendServerHandle avoid; ///< Taken only when nothing else is free.
    bool isRetry = false; ///< Never onto a backend server that has just turned cold.
};

/**
 * @brief Limits and requests in flight of the backend servers of one pool.
 *
 * While counted members are missing, each slot belongs to one member by
 * rendezvous hashing, and only slots of served members are used. Requests that
 * others may still run count against the limit until they must have ended.
 */
class SlotTable
{
public:
    SlotTable(ServiceHandle service, DataCentreHandle dataCentre, Time now, const Policy &policy);

    void configure(const version::Configuration &configuration);
    /** @param members Sorted members that the slots belong to. */
    void setCountedMembers(const std::vector<DaemonHandle> &members);

    /** @brief Sets who is served now; without all counted members no limit grows, since their load is not seen. */
    void setActiveRouters(ActiveRouters routers);

    void add(DaemonHandle router, BackendServerHandle backend);
    /** @brief The same for a request that was in flight under the former dispatcher. */
    void addInherited(DaemonHandle router, BackendServerHandle backend, DaemonHandle former);
    void remove(DaemonHandle router, BackendServerHandle backend);
    /** @brief Counts one more request, which nobody reports on, until a time. */
    void addPresumed(BackendServerHandle backend, Time until);
    /** @brief Notes until when the requests of a router that is no longer served may still run. */
    void recordInactive(DaemonHandle router, Time mayRunUntil);

    /**
     * @brief Takes what a router saw under a former dispatcher.
     * @param endsWithin The observed requests have ended after this time.
     */
    void recordObservation(const connection::wire::Observation &observation, DaemonHandle former, Duration endsWithin, Time now);
    /**
     * @brief Keeps a router's slots unused, while members are missing, until a time.
     * @remarks For a router that can't tell what its former dispatcher granted on them to others.
     */
    void setProbation(DaemonHandle router, Time until);
    void recordAttempt(BackendServerHandle backend, const AttemptSample &sample, Time now);

    /** @returns the backend server with the most room, or the invalid handle. */
    BackendServerHandle chooseBackend(const PlacementConstraints &constraints, Time now);
    void recordStart(BackendServerHandle backend, Time now);
    /** @returns whether a retry may be placed anywhere, now or once slots are free. */
    bool acceptsRetries(Time now) const;

    std::size_t usableSlots() const;
    std::size_t freeSlots() const;
    std::size_t inFlight() const;
    std::size_t inFlightAt(BackendServerHandle backend) const;
    /** @returns requests at a backend server, or zero while not all routers' requests are seen. */
    std::size_t loadAt(BackendServerHandle backend) const;
    /** @returns limit of one backend server in requests, zero when it is unknown. */
    double limitOf(BackendServerHandle backend) const;
    const LatencyTarget &latencyTarget() const
    {
        return this->target;
    }

private:
    /** What is known of the requests that a former dispatcher granted. */
    struct InheritedRequests {
        std::size_t inventoried = 0; ///< Named by inventories.
        std::size_t observed = 0; ///< Largest occupancy that routers saw.
        Time until {0}; ///< The observed requests have ended by then.
    };
    struct Backend {
        AdaptiveLimit limit;
        std::size_t inFlight = 0;
        std::map<DaemonHandle, std::size_t> inFlightByRouter;
        std::map<DaemonHandle, InheritedRequests> inheritedRequests; ///< By former dispatcher.
        Duration observationAge = Duration::max(); ///< Of the observation that gave the limit.
        bool usable = false;
        std::vector<DaemonHandle> slotOwners; ///< Owner of each slot, filled while members are missing.
    };
    struct PresumedRequest {
        BackendServerHandle backend;
        Time until {0};
    };

    std::size_t ownedSlots(Backend &backend, BackendServerHandle handle, Time now) const;
    bool isOnProbation(DaemonHandle router, Time now) const;
    std::size_t inFlightOfActiveRouters(const Backend &backend) const;
    std::size_t presumedInFlight(const Backend &backend, BackendServerHandle handle, Time now) const;
    bool hasFreeSlot(Backend &backend, BackendServerHandle handle, Time now) const;

    ServiceHandle service;
    DataCentreHandle localDataCentre;
    Time startedAt;
    Policy policy;
    LatencyTarget target;
    std::map<BackendServerHandle, Backend> backends;
    std::map<DaemonHandle, Time> inactiveMayRunUntil;
    std::map<DaemonHandle, Time> probationUntil;
    std::vector<PresumedRequest> presumedRequests;
    std::vector<DaemonHandle> countedMembers;
    ActiveRouters activeRouters;
};

}
