#include "process/slot_table.h"

#include "process/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace eelgrassnotch::process
{

namespace
{

/** Concurrency limit of each backend server when Policy::adaptiveLimit is off. */
constexpr double fixedLimit = 16.0;

/** Returns the quorum member that owns a slot; both sides of a network partition compute the same owner. */
DaemonHandle ownerOfSlot(BackendServerHandle backend, std::size_t slot, const std::vector<DaemonHandle> &quorumMembers)
{
    constexpr std::uint32_t goldenRatio = 0x9e3779b9u;
    const std::uint32_t role = backend.id ^ (goldenRatio * static_cast<std::uint32_t>(slot + 1));
    return chooseDaemon(role, quorumMembers);
}

}

bool ActiveRouters::contains(DaemonHandle router) const
{
    return std::binary_search(this->handles.begin(), this->handles.end(), router);
}

SlotTable::SlotTable(ServiceHandle service, DataCentreHandle dataCentre, Time now, const Policy &policy)
    : service(service)
    , localDataCentre(dataCentre)
    , startedAt(now)
    , policy(policy)
{
}

void SlotTable::configure(const version::Configuration &configuration)
{
    for (auto &[handle, backend] : this->backends) {
        backend.isUsable = false;
    }
    const auto found = configuration.services.find(this->service);
    if (found == configuration.services.end()) {
        return;
    }
    this->target = found->second.target;
    for (const auto &[handle, declared] : found->second.backendServers) {
        if (declared.dataCentre != this->localDataCentre) {
            continue;
        }
        Backend &backend = this->backends[handle];
        backend.limit.setCeiling(declared.maxConcurrency);
        backend.isUsable = configuration.isUsable(declared);
        if (!this->policy.adaptiveLimit) {
            backend.limit.adopt(fixedLimit, 0);
        }
    }
}

void SlotTable::setQuorumMembers(const std::vector<DaemonHandle> &members)
{
    if (this->quorumMembers == members) {
        return;
    }
    this->quorumMembers = members;
    for (auto &[handle, backend] : this->backends) {
        backend.slotOwners.clear();
    }
}

void SlotTable::setActiveRouters(ActiveRouters routers)
{
    this->activeRouters = std::move(routers);
}

void SlotTable::add(DaemonHandle router, BackendServerHandle backend)
{
    Backend &entry = this->backends[backend];
    ++entry.inFlight;
    ++entry.inFlightByRouter[router];
}

void SlotTable::addInherited(DaemonHandle router, BackendServerHandle backend, DaemonHandle formerDispatcher)
{
    this->add(router, backend);
    if (formerDispatcher.isValid()) {
        ++this->backends[backend].inheritedRequests[formerDispatcher].inventoried;
    }
}

void SlotTable::remove(DaemonHandle router, BackendServerHandle backend)
{
    const auto found = this->backends.find(backend);
    if (found == this->backends.end()) {
        return;
    }
    const auto entry = found->second.inFlightByRouter.find(router);
    if (entry == found->second.inFlightByRouter.end()) {
        return;
    }
    --found->second.inFlight;
    if (--entry->second == 0) {
        found->second.inFlightByRouter.erase(entry);
    }
}

void SlotTable::addOrphaned(BackendServerHandle backend, Time until)
{
    this->orphanedRequests.push_back({backend, until});
}

void SlotTable::recordInactive(DaemonHandle router, Time mayRunUntil)
{
    this->inactiveMayRunUntil[router] = mayRunUntil;
}

void SlotTable::recordObservation(const connection::wire::Observation &observation, DaemonHandle formerDispatcher, Duration endsWithin,
                                  Time now)
{
    Backend &backend = this->backends[BackendServerHandle {observation.backend()}];
    const Duration age = std::chrono::milliseconds(observation.age_ms());
    const Time until = now - age + endsWithin;
    if (until > now && formerDispatcher.isValid()) {
        InheritedRequests &inherited = backend.inheritedRequests[formerDispatcher];
        inherited.observed = std::max<std::size_t>(inherited.observed, observation.occupancy());
        inherited.mayRunUntil = std::max(inherited.mayRunUntil, until);
    }
    const bool isRecentlyStarted = now - this->startedAt <= config::lostRouterHold;
    if (isRecentlyStarted && age < backend.observationAge) {
        backend.observationAge = age;
        backend.limit.adopt(observation.limit(), observation.generation());
    }
    backend.limit.updateMinTokenLatency(std::chrono::microseconds(observation.fastest_token_us()));
}

void SlotTable::withholdSlots(DaemonHandle router, Time until)
{
    this->slotsWithheldUntil[router] = until;
}

bool SlotTable::areSlotsWithheld(DaemonHandle router, Time now) const
{
    const auto found = this->slotsWithheldUntil.find(router);
    return found != this->slotsWithheldUntil.end() && now < found->second;
}

void SlotTable::recordAttempt(BackendServerHandle handle, const AttemptSample &sample, Time now)
{
    if (!this->policy.adaptiveLimit) {
        return;
    }
    Backend &backend = this->backends[handle];
    backend.limit.record(sample, this->loadAt(handle), this->target, now);
}

BackendServerHandle SlotTable::chooseBackend(const PlacementConstraints &constraints, Time now)
{
    std::erase_if(this->orphanedRequests, [now](const OrphanedRequest &request) { return request.mayRunUntil <= now; });
    BackendServerHandle best;
    double bestLoad = 0.0;
    for (auto &[handle, backend] : this->backends) {
        std::erase_if(backend.inheritedRequests, [now](const auto &entry) { return entry.second.mayRunUntil <= now; });
        const bool isExcluded = !backend.isUsable || (constraints.isRetry && backend.limit.isRecentlyCold(now));
        if (isExcluded || !this->hasFreeSlot(backend, handle, now)) {
            continue;
        }
        const double avoidPenalty = handle == constraints.avoid ? 1.0 : 0.0;
        const double load = static_cast<double>(backend.inFlight + 1) / backend.limit.value() + avoidPenalty;
        if (!best.isValid() || load < bestLoad) {
            best = handle;
            bestLoad = load;
        }
    }
    return best;
}

bool SlotTable::hasFreeSlot(Backend &backend, BackendServerHandle handle, Time now) const
{
    const std::size_t presumed = this->possiblyInFlight(backend, handle, now);
    if (this->activeRouters.isComplete) {
        return backend.limit.admits(backend.inFlight + presumed, now);
    }
    const std::size_t active = this->inFlightOfActiveRouters(backend);
    return active < this->ownedSlots(backend, handle, now) && backend.limit.admits(active + presumed, now);
}

std::size_t SlotTable::ownedSlots(Backend &backend, BackendServerHandle handle, Time now) const
{
    const auto slots = static_cast<std::size_t>(std::floor(backend.limit.value()));
    while (backend.slotOwners.size() < slots) {
        backend.slotOwners.push_back(ownerOfSlot(handle, backend.slotOwners.size(), this->quorumMembers));
    }
    const auto end = backend.slotOwners.begin() + static_cast<std::ptrdiff_t>(slots);
    const auto owned = std::count_if(backend.slotOwners.begin(), end, [this, now](DaemonHandle owner) {
        return this->activeRouters.contains(owner) && !this->areSlotsWithheld(owner, now);
    });
    return static_cast<std::size_t>(owned);
}

std::size_t SlotTable::inFlightOfActiveRouters(const Backend &backend) const
{
    std::size_t count = 0;
    for (const auto &[router, requests] : backend.inFlightByRouter) {
        count += this->activeRouters.contains(router) ? requests : 0;
    }
    return count;
}

/** Counts requests that may still run, but whose end no active router reports. */
std::size_t SlotTable::possiblyInFlight(const Backend &backend, BackendServerHandle handle, Time now) const
{
    std::size_t count = 0;
    for (const auto &[formerDispatcher, inherited] : backend.inheritedRequests) {
        const bool mayRun = now < inherited.mayRunUntil && inherited.observed > inherited.inventoried;
        count += mayRun ? inherited.observed - inherited.inventoried : 0;
    }
    for (const OrphanedRequest &request : this->orphanedRequests) {
        count += request.backend == handle ? 1 : 0;
    }
    if (this->activeRouters.isComplete) {
        return count;
    }
    for (const auto &[router, requests] : backend.inFlightByRouter) {
        const auto until = this->inactiveMayRunUntil.find(router);
        const bool mayRun = until == this->inactiveMayRunUntil.end() || now < until->second;
        count += !this->activeRouters.contains(router) && mayRun ? requests : 0;
    }
    return count;
}

void SlotTable::recordStart(BackendServerHandle backend, Time now)
{
    this->backends[backend].limit.recordStart(now);
}

bool SlotTable::acceptsRetries(Time now) const
{
    const auto accepts = [now](const auto &entry) { return entry.second.isUsable && !entry.second.limit.isRecentlyCold(now); };
    return std::any_of(this->backends.begin(), this->backends.end(), accepts);
}

std::size_t SlotTable::usableSlots() const
{
    double slots = 0.0;
    for (const auto &[handle, backend] : this->backends) {
        slots += backend.isUsable ? std::floor(backend.limit.value()) : 0.0;
    }
    return static_cast<std::size_t>(slots);
}

std::size_t SlotTable::freeSlots() const
{
    std::size_t slots = 0;
    for (const auto &[handle, backend] : this->backends) {
        const auto limit = static_cast<std::size_t>(std::floor(backend.limit.value()));
        slots += backend.isUsable && limit > backend.inFlight ? limit - backend.inFlight : 0;
    }
    return slots;
}

std::size_t SlotTable::inFlight() const
{
    std::size_t requests = 0;
    for (const auto &[handle, backend] : this->backends) {
        requests += backend.inFlight;
    }
    return requests;
}

std::size_t SlotTable::inFlightAt(BackendServerHandle backend) const
{
    const auto found = this->backends.find(backend);
    return found == this->backends.end() ? 0 : found->second.inFlight;
}

std::size_t SlotTable::loadAt(BackendServerHandle backend) const
{
    return this->activeRouters.isComplete ? this->inFlightAt(backend) : 0;
}

double SlotTable::limitOf(BackendServerHandle backend) const
{
    const auto found = this->backends.find(backend);
    return found == this->backends.end() ? 0.0 : found->second.limit.value();
}

}
