/** @file Leases that a router grants to dispatchers, and the inventories that it sends to new leaseholders. */

#include "process/router.h"

#include "process/units.h"

#include <algorithm>

namespace eelgrassnotch::process
{

namespace
{

/** A core that was not advanced for longer than this was paused; the grants that it received may be void. */
constexpr Duration pauseDetectionThreshold = config::grantFreshFor;
/** Interval at which unused pools of other data centres are dropped. */
constexpr Duration remotePoolCheckInterval = std::chrono::milliseconds(200);

}

void Router::onYield(DaemonHandle dispatcher, ServiceHandle service)
{
    if (DispatcherLease *lease = this->leaseOf(service, dispatcher)) {
        clearLease(*lease);
    }
}

/** Ends a lease; its holder is kept as the former dispatcher, which the next inventory names. */
void Router::clearLease(DispatcherLease &lease)
{
    const DaemonHandle formerDispatcher = lease.dispatcher;
    const double meanServiceTime = lease.meanServiceTime;
    lease = DispatcherLease {};
    lease.formerDispatcher = formerDispatcher;
    lease.meanServiceTime = meanServiceTime;
}

void Router::onInventoryRequested(DaemonHandle dispatcher, ServiceHandle service)
{
    if (const PoolKey *pool = this->poolDispatchedBy(service, dispatcher)) {
        this->sendInventory(*pool);
    }
}

void Router::onLinkReset(DaemonHandle dispatcher)
{
    for (const auto &[pool, lease] : this->leases) {
        if (lease.dispatcher == dispatcher) {
            this->sendInventory(pool);
        }
    }
}

void Router::onDispatcherGone(DaemonHandle dispatcher)
{
    this->lastHeartbeats.erase(dispatcher);
    for (auto &[pool, lease] : this->leases) {
        if (lease.dispatcher == dispatcher) {
            clearLease(lease);
        }
    }
}

void Router::onHeartbeat(DaemonHandle dispatcher, Duration leaseDuration, Time receivedAt)
{
    this->lastHeartbeats[dispatcher] = {receivedAt, leaseDuration};
}

std::vector<std::uint32_t> Router::renewLeases(DaemonHandle dispatcher)
{
    std::vector<std::uint32_t> services;
    const auto heartbeat = this->lastHeartbeats.find(dispatcher);
    for (auto &[pool, lease] : this->leases) {
        if (lease.dispatcher != dispatcher) {
            continue;
        }
        services.push_back(pool.service.id);
        if (heartbeat != this->lastHeartbeats.end()) {
            lease.expiresAt = std::max(lease.expiresAt, heartbeat->second.receivedAt + heartbeat->second.leaseDuration);
        }
    }
    return services;
}

void Router::advance(Time advancedAt, const DispatcherAssignment &assignment)
{
    const bool wasPaused = this->now.count() != 0 && advancedAt - this->now > pauseDetectionThreshold;
    this->now = std::max(this->now, advancedAt);
    this->refuseExpired();
    for (auto &[pool, lease] : this->leases) {
        const DaemonHandle dispatcher = lease.dispatcher;
        const bool isLocal = pool.dataCentre == this->localDataCentre;
        if (!isLocal) {
            continue;
        }
        if (wasPaused && dispatcher.isValid()) {
            this->sendInventory(pool);
        }
        const DaemonHandle preferred = assignment.dispatcherOf(pool.service);
        const bool isEligible = dispatcher.isValid()
            && std::find(assignment.candidates.begin(), assignment.candidates.end(), dispatcher) != assignment.candidates.end();
        const bool isLeased = dispatcher.isValid() && lease.expiresAt > this->now;
        if (this->policy.promises && (isEligible || isLeased)) {
            continue;
        }
        if (preferred.isValid() && preferred != dispatcher) {
            this->switchDispatcher(pool, preferred);
        }
    }
    if (this->now >= this->nextRemotePoolCheck) {
        this->nextRemotePoolCheck = this->now + remotePoolCheckInterval;
        this->dropUnusedRemotePools();
    }
}

void Router::dropUnusedRemotePools()
{
    const auto isRemote = [this](const auto &entry) { return entry.first.dataCentre != this->localDataCentre; };
    if (std::none_of(this->leases.begin(), this->leases.end(), isRemote)) {
        return;
    }
    std::set<PoolKey> usedPools;
    for (const auto &[id, request] : this->requests) {
        usedPools.insert(request.pool);
    }
    std::vector<PoolKey> droppedPools;
    for (const auto &[pool, lease] : this->leases) {
        if (pool.dataCentre == this->localDataCentre) {
            continue;
        }
        const auto heartbeat = this->lastHeartbeats.find(lease.dispatcher);
        const Time lastSeen = heartbeat == this->lastHeartbeats.end() ? lease.expiresAt : heartbeat->second.receivedAt;
        const bool isSilent = this->now - lastSeen > config::guestQuietAfter;
        if (!usedPools.contains(pool) || isSilent) {
            droppedPools.push_back(pool);
        }
    }
    for (const PoolKey &pool : droppedPools) {
        this->leases.erase(pool);
        for (auto &[id, request] : this->requests) {
            if (request.pool == pool && request.phase == Phase::Waiting) {
                this->moveToWaiting(id, request, {pool.service, this->localDataCentre});
            }
        }
    }
}

void Router::switchDispatcher(const PoolKey &pool, DaemonHandle dispatcher)
{
    DispatcherLease &lease = this->leases[pool];
    lease.formerDispatcher = lease.dispatcher.isValid() ? lease.dispatcher : lease.formerDispatcher;
    lease.dispatcher = dispatcher;
    lease.expiresAt = this->now;
    this->sendInventory(pool);
}

void Router::sendInventory(const PoolKey &pool)
{
    DispatcherLease &lease = this->leases[pool];
    lease.session = this->nextSession++;
    connection::wire::FrameT &frame = this->frameFor(lease.dispatcher);
    auto inventory = std::make_unique<connection::wire::InventoryT>();
    inventory->service = pool.service.id;
    inventory->session = lease.session;
    inventory->former = std::exchange(lease.formerDispatcher, {}).id;
    inventory->service_ms = static_cast<std::uint32_t>(lease.meanServiceTime / 1000.0);
    std::erase_if(frame.inventories, [&pool](const auto &earlier) { return earlier->service == pool.service.id; });
    std::erase_if(frame.enqueues, [&pool](const auto &earlier) { return earlier.service() == pool.service.id; });
    std::erase_if(frame.releases, [&pool](const auto &earlier) { return earlier.service() == pool.service.id; });
    for (const auto &[id, request] : this->requests) {
        if (request.pool != pool) {
            continue;
        }
        const bool holdsSlot = request.phase == Phase::Running || request.phase == Phase::Aborting;
        if (holdsSlot && this->policy.takeoverInventory) {
            inventory->in_flight.emplace_back(id, request.backend.id, request.info.workspace.id, std::max(1u, request.info.costHint));
        } else if (request.phase == Phase::Waiting) {
            this->sendEnqueue(id, request);
        }
    }
    for (const auto &[backend, observation] : this->observations) {
        if (!this->policy.takeoverInventory) {
            break;
        }
        inventory->observations.emplace_back(backend.id, toMilliseconds(this->now - observation.observedAt), observation.generation,
                                             toMicroseconds(observation.minTimePerToken), observation.occupancy, observation.limit);
    }
    frame.inventories.push_back(std::move(inventory));
}

/** Session numbers are unique across pools, so a session identifies its pool. */
const PoolKey *Router::poolOfSession(DaemonHandle dispatcher, std::uint32_t session) const
{
    for (const auto &[pool, lease] : this->leases) {
        if (lease.session == session && lease.dispatcher == dispatcher) {
            return &pool;
        }
    }
    return nullptr;
}

Router::DispatcherLease *Router::leaseOf(ServiceHandle service, DaemonHandle dispatcher)
{
    const PoolKey *pool = this->poolDispatchedBy(service, dispatcher);
    return pool == nullptr ? nullptr : &this->leases[*pool];
}

const PoolKey *Router::poolDispatchedBy(ServiceHandle service, DaemonHandle dispatcher) const
{
    auto position = this->leases.lower_bound({service, DataCentreHandle {}});
    for (; position != this->leases.end() && position->first.service == service; ++position) {
        if (position->second.dispatcher == dispatcher) {
            return &position->first;
        }
    }
    return nullptr;
}

std::set<DaemonHandle> Router::remoteDispatchers() const
{
    std::set<DaemonHandle> remote;
    for (const auto &[pool, lease] : this->leases) {
        if (pool.dataCentre != this->localDataCentre && lease.dispatcher.isValid()) {
            remote.insert(lease.dispatcher);
        }
    }
    return remote;
}

DaemonHandle Router::dispatcherOf(ServiceHandle service) const
{
    const auto found = this->leases.find({service, this->localDataCentre});
    return found == this->leases.end() ? DaemonHandle {} : found->second.dispatcher;
}

}
