#include "process/slot_table.h"

#include "process/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace eelgrassnotch::process
{

namespace
{

/** Limit of each backend server in experiments without the adaptive one. */
constexpr double fixedLimit = 16.0;

/** Owner of one slot among the counted members; both sides of a split compute the same. */
DaemonHandle ownerOfSlot(BackendServerHandle backend, std::size_t slot, const std::vector<DaemonHandle> &countedMembers)
{
    constexpr std::uint32_t goldenRatio = 0x9e3779b9u;
    const std::uint32_t role = backend.id ^ (goldenRatio * static_cast<std::uint32_t>(slot + 1));
    return chooseDaemon(role, countedMembers);
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
        backend.usable = false;
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
        backend.usable = configuration.isUsable(declared);
        if (!this->policy.adaptiveLimit) {
            backend.limit.adopt(fixedLimit, 0);
        }
    }
}

void SlotTable::setCountedMembers(const std::vector<DaemonHandle> &members)
{
    if (this->countedMembers == members) {
        return;
    }
    this->countedMembers = members;
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
    Backend &target = this->backends[backend];
    ++target.inFlight;
    ++target.inFlightByRouter[router];
}

void SlotTable::addInherited(DaemonHandle router, BackendServerHandle backend, DaemonHandle former)
{
    this->add(router, backend);
    if (former.isValid()) {
        ++this->backends[backend].inheritedRequests[former].inventoried;
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

void SlotTable::addPresumed(BackendServerHandle backend, Time until)
{
    this->presumedRequests.push_back({backend, until});
}

void SlotTable::recordInactive(DaemonHandle router, Time mayRunUntil)
{
    this->inactiveMayRunUntil[router] = mayRunUntil;
}

void SlotTable::recordObservation(const connection::wire::Observation &observation, DaemonHandle former, Duration endsWithin, Time now)
{
    Backend &backend = this->backends[BackendServerHandle {observation.backend()}];
    const Duration age = std::chrono::milliseconds(observation.age_ms());
    const Time until = now - age + endsWithin;
    if (until > now && former.isValid()) {
        InheritedRequests &inherited = backend.inheritedRequests[former];
        inherited.observed = std::max<std::size_t>(inherited.observed, observation.occupancy());
        inherited.until = std::max(inherited.until, until);
    }
    const bool isRecentlyStarted = now - this->startedAt <= config::lostRouterHold;
    if (isRecentlyStarted && age < backend.observationAge) {
        backend.observationAge = age;
        backend.limit.adopt(observation.limit(), observation.generation());
    }
    backend.limit.updateMinTokenLatency(std::chrono::microseconds(observation.fastest_token_us()));
}

void SlotTable::setProbation(DaemonHandle router, Time until)
{
    this->probationUntil[router] = until;
}

bool SlotTable::isOnProbation(DaemonHandle router, Time now) const
{
    const auto found = this->probationUntil.find(router);
    return found != this->probationUntil.end() && now < found->second;
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
    std::erase_if(this->presumedRequests, [now](const PresumedRequest &slot) { return slot.until <= now; });
    BackendServerHandle best;
    double bestLoad = 0.0;
    for (auto &[handle, backend] : this->backends) {
        std::erase_if(backend.inheritedRequests, [now](const auto &entry) { return entry.second.until <= now; });
        const bool closed = !backend.usable || (constraints.isRetry && backend.limit.isRecentlyCold(now));
        if (closed || !this->hasFreeSlot(backend, handle, now)) {
            continue;
        }
        const double avoidance = handle == constraints.avoid ? 1.0 : 0.0;
        const double load = static_cast<double>(backend.inFlight + 1) / backend.limit.value() + avoidance;
        if (!best.isValid() || load < bestLoad) {
            best = handle;
            bestLoad = load;
        }
    }
    return best;
}

bool SlotTable::hasFreeSlot(Backend &backend, BackendServerHandle handle, Time now) const
{
    const std::size_t others = this->presumedInFlight(backend, handle, now);
    if (this->activeRouters.isComplete) {
        return backend.limit.admits(backend.inFlight + others, now);
    }
    const std::size_t own = this->inFlightOfActiveRouters(backend);
    return own < this->ownedSlots(backend, handle, now) && backend.limit.admits(own + others, now);
}

std::size_t SlotTable::ownedSlots(Backend &backend, BackendServerHandle handle, Time now) const
{
    const auto slots = static_cast<std::size_t>(std::floor(backend.limit.value()));
    while (backend.slotOwners.size() < slots) {
        backend.slotOwners.push_back(ownerOfSlot(handle, backend.slotOwners.size(), this->countedMembers));
    }
    const auto end = backend.slotOwners.begin() + static_cast<std::ptrdiff_t>(slots);
    const auto owned = std::count_if(backend.slotOwners.begin(), end, [this, now](DaemonHandle owner) {
        return this->activeRouters.contains(owner) && !this->isOnProbation(owner, now);
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

std::size_t SlotTable::presumedInFlight(const Backend &backend, BackendServerHandle handle, Time now) const
{
    std::size_t count = 0;
    for (const auto &[former, inherited] : backend.inheritedRequests) {
        const bool mayRun = now < inherited.until && inherited.observed > inherited.inventoried;
        count += mayRun ? inherited.observed - inherited.inventoried : 0;
    }
    for (const PresumedRequest &slot : this->presumedRequests) {
        count += slot.backend == handle ? 1 : 0;
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
    const auto accepts = [now](const auto &entry) { return entry.second.usable && !entry.second.limit.isRecentlyCold(now); };
    return std::any_of(this->backends.begin(), this->backends.end(), accepts);
}

std::size_t SlotTable::usableSlots() const
{
    double slots = 0.0;
    for (const auto &[handle, backend] : this->backends) {
        slots += backend.usable ? std::floor(backend.limit.value()) : 0.0;
    }
    return static_cast<std::size_t>(slots);
}

std::size_t SlotTable::freeSlots() const
{
    std::size_t slots = 0;
    for (const auto &[handle, backend] : this->backends) {
        const auto limit = static_cast<std::size_t>(std::floor(backend.limit.value()));
        slots += backend.usable && limit > backend.inFlight ? limit - backend.inFlight : 0;
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
