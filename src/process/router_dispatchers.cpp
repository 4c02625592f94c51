/** @file Which dispatchers a router obeys, and what it tells a new one. */

#include "process/router.h"

#include "process/units.h"

#include <algorithm>

namespace eelgrassnotch::process
{

namespace
{

/** A core that was not advanced for this long was paused; grants that it holds may be void. */
constexpr Duration pauseTolerance = config::grantFreshFor;
/** Pools of other data centres that are no longer used are noticed within this time. */
constexpr Duration guestCheckPeriod = std::chrono::milliseconds(200);

}

void Router::onYield(DaemonHandle dispatcher, ServiceHandle service)
{
    if (Obedience *obedience = this->obeyed(service, dispatcher)) {
        setFree(*obedience);
    }
}

/** Ends a promise; the former dispatcher is remembered for the next inventory. */
void Router::setFree(Obedience &obedience)
{
    const DaemonHandle former = obedience.dispatcher;
    const double meanServiceTime = obedience.meanServiceTime;
    obedience = Obedience {};
    obedience.former = former;
    obedience.meanServiceTime = meanServiceTime;
}

void Router::onInventoryWanted(DaemonHandle dispatcher, ServiceHandle service)
{
    if (const PoolKey *pool = this->poolServedBy(service, dispatcher)) {
        this->sendInventory(*pool);
    }
}

void Router::linkReset(DaemonHandle dispatcher)
{
    for (const auto &[pool, obedience] : this->obediences) {
        if (obedience.dispatcher == dispatcher) {
            this->sendInventory(pool);
        }
    }
}

void Router::dispatcherGone(DaemonHandle dispatcher)
{
    this->heartbeats.erase(dispatcher);
    for (auto &[pool, obedience] : this->obediences) {
        if (obedience.dispatcher == dispatcher) {
            setFree(obedience);
        }
    }
}

void Router::heartbeatReceived(DaemonHandle dispatcher, Duration lease, Time receivedAt)
{
    this->heartbeats[dispatcher] = {receivedAt, lease};
}

std::vector<std::uint32_t> Router::promise(DaemonHandle dispatcher)
{
    std::vector<std::uint32_t> services;
    const auto heard = this->heartbeats.find(dispatcher);
    for (auto &[pool, obedience] : this->obediences) {
        if (obedience.dispatcher != dispatcher) {
            continue;
        }
        services.push_back(pool.service.id);
        if (heard != this->heartbeats.end()) {
            obedience.promisedUntil = std::max(obedience.promisedUntil, heard->second.at + heard->second.lease);
        }
    }
    return services;
}

void Router::advance(Time advancedAt, const Placement &placement)
{
    const bool paused = this->now.count() != 0 && advancedAt - this->now > pauseTolerance;
    this->now = std::max(this->now, advancedAt);
    this->expire();
    for (auto &[pool, obedience] : this->obediences) {
        const DaemonHandle current = obedience.dispatcher;
        const bool isHome = pool.dataCentre == this->home;
        if (!isHome) {
            continue;
        }
        if (paused && current.isValid()) {
            this->sendInventory(pool);
        }
        const DaemonHandle desired = placement.dispatcherOf(pool.service);
        const bool kept = current.isValid()
            && std::find(placement.candidates.begin(), placement.candidates.end(), current) != placement.candidates.end();
        const bool bound = current.isValid() && obedience.promisedUntil > this->now;
        if (this->policy.promises && (kept || bound)) {
            continue;
        }
        if (desired.isValid() && desired != current) {
            this->follow(pool, desired);
        }
    }
    if (this->now >= this->nextGuestCheck) {
        this->nextGuestCheck = this->now + guestCheckPeriod;
        this->dropUnusedGuestPools();
    }
}

void Router::dropUnusedGuestPools()
{
    const auto isGuest = [this](const auto &entry) { return entry.first.dataCentre != this->home; };
    if (std::none_of(this->obediences.begin(), this->obediences.end(), isGuest)) {
        return;
    }
    std::set<PoolKey> used;
    for (const auto &[id, request] : this->requests) {
        used.insert(request.pool);
    }
    std::vector<PoolKey> lapsed;
    for (const auto &[pool, obedience] : this->obediences) {
        if (pool.dataCentre == this->home) {
            continue;
        }
        const auto heard = this->heartbeats.find(obedience.dispatcher);
        const Time last = heard == this->heartbeats.end() ? obedience.promisedUntil : heard->second.at;
        const bool silent = this->now - last > config::guestQuietAfter;
        if (!used.contains(pool) || silent) {
            lapsed.push_back(pool);
        }
    }
    for (const PoolKey &pool : lapsed) {
        this->obediences.erase(pool);
        for (auto &[id, request] : this->requests) {
            if (request.pool == pool && request.phase == Phase::Waiting) {
                this->toWaiting(id, request, {pool.service, this->home});
            }
        }
    }
}

void Router::follow(const PoolKey &pool, DaemonHandle dispatcher)
{
    Obedience &obedience = this->obediences[pool];
    obedience.former = obedience.dispatcher.isValid() ? obedience.dispatcher : obedience.former;
    obedience.dispatcher = dispatcher;
    obedience.promisedUntil = this->now;
    this->sendInventory(pool);
}

void Router::sendInventory(const PoolKey &pool)
{
    Obedience &obedience = this->obediences[pool];
    obedience.session = this->nextSession++;
    connection::wire::FrameT &frame = this->frameFor(obedience.dispatcher);
    auto inventory = std::make_unique<connection::wire::InventoryT>();
    inventory->service = pool.service.id;
    inventory->session = obedience.session;
    inventory->former = std::exchange(obedience.former, {}).id;
    inventory->service_ms = static_cast<std::uint32_t>(obedience.meanServiceTime / 1000.0);
    std::erase_if(frame.inventories, [&pool](const auto &earlier) { return earlier->service == pool.service.id; });
    std::erase_if(frame.enqueues, [&pool](const auto &earlier) { return earlier.service() == pool.service.id; });
    std::erase_if(frame.releases, [&pool](const auto &earlier) { return earlier.service() == pool.service.id; });
    for (const auto &[id, request] : this->requests) {
        if (request.pool != pool) {
            continue;
        }
        const bool holdsSlot = request.phase == Phase::Running || request.phase == Phase::Ending;
        if (holdsSlot && this->policy.takeoverInventory) {
            inventory->in_flight.emplace_back(id, request.backend.id, request.info.workspace.id, std::max(1u, request.info.costHint));
        } else if (request.phase == Phase::Waiting) {
            this->enqueue(id, request);
        }
    }
    for (const auto &[backend, seen] : this->observed) {
        if (!this->policy.takeoverInventory) {
            break;
        }
        inventory->observations.emplace_back(backend.id, toMilliseconds(this->now - seen.at), seen.generation,
                                             toMicroseconds(seen.fastestToken), seen.occupancy, seen.limit);
    }
    frame.inventories.push_back(std::move(inventory));
}

/** Sessions are counted over all pools, so a session names its pool. */
const PoolKey *Router::poolOfSession(DaemonHandle dispatcher, std::uint32_t session) const
{
    for (const auto &[pool, obedience] : this->obediences) {
        if (obedience.session == session && obedience.dispatcher == dispatcher) {
            return &pool;
        }
    }
    return nullptr;
}

Router::Obedience *Router::obeyed(ServiceHandle service, DaemonHandle dispatcher)
{
    const PoolKey *pool = this->poolServedBy(service, dispatcher);
    return pool == nullptr ? nullptr : &this->obediences[*pool];
}

const PoolKey *Router::poolServedBy(ServiceHandle service, DaemonHandle dispatcher) const
{
    auto position = this->obediences.lower_bound({service, DataCentreHandle {}});
    for (; position != this->obediences.end() && position->first.service == service; ++position) {
        if (position->second.dispatcher == dispatcher) {
            return &position->first;
        }
    }
    return nullptr;
}

std::set<DaemonHandle> Router::remoteDispatchers() const
{
    std::set<DaemonHandle> remote;
    for (const auto &[pool, obedience] : this->obediences) {
        if (pool.dataCentre != this->home && obedience.dispatcher.isValid()) {
            remote.insert(obedience.dispatcher);
        }
    }
    return remote;
}

DaemonHandle Router::dispatcherOf(ServiceHandle service) const
{
    const auto found = this->obediences.find({service, this->home});
    return found == this->obediences.end() ? DaemonHandle {} : found->second.dispatcher;
}

}
