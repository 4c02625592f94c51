#include "process/dispatcher.h"

#include "process/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace eelgrassnotch::process
{

using connection::wire::AttemptResult;
using connection::wire::DenyReason;

namespace
{

constexpr double serviceTimeGain = 0.1;
/** Limit of each backend server in experiments without the adaptive one. */
constexpr double baselineLimit = 16.0;
constexpr std::uint16_t maxWireCount = 0xffff;

std::uint32_t toMilliseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

std::uint16_t toWireCount(double count)
{
    return static_cast<std::uint16_t>(std::clamp(count, 0.0, static_cast<double>(maxWireCount)));
}

/** Owner of one slot among the counted members; both sides of a split compute the same. */
DaemonHandle ownerOfSlot(BackendServerHandle backend, std::size_t slot, const std::vector<DaemonHandle> &counted)
{
    constexpr std::uint32_t goldenRatio = 0x9e3779b9u;
    const std::uint32_t role = backend.id ^ (goldenRatio * static_cast<std::uint32_t>(slot + 1));
    return chooseDaemon(role, counted);
}

void moveMean(double &mean, double sample)
{
    mean += mean == 0.0 ? sample : serviceTimeGain * (sample - mean);
}

bool mayHaveCost(AttemptResult result)
{
    return result != AttemptResult::NeverStarted && result != AttemptResult::ConnectFailed && result != AttemptResult::BackendRefused;
}

}

Dispatcher::Dispatcher(ServiceHandle service, DataCentreHandle dataCentre, Time now, const Policy &policy)
    : pool(service)
    , policy(policy)
    , home(dataCentre)
    , startedAt(now)
{
}

void Dispatcher::configure(const version::Configuration &configuration)
{
    for (auto &[handle, backend] : this->backends) {
        backend.usable = false;
    }
    for (const auto &[handle, workspace] : configuration.workspaces) {
        this->queue.setShare(handle, workspace.share);
    }
    const auto found = configuration.services.find(this->pool);
    if (found == configuration.services.end()) {
        return;
    }
    this->target = found->second.target;
    for (const auto &[handle, declared] : found->second.backendServers) {
        if (declared.dataCentre != this->home) {
            continue;
        }
        Backend &backend = this->backends[handle];
        backend.limit.setCeiling(declared.maxConcurrency);
        backend.usable = configuration.isUsable(declared);
        if (!this->policy.adaptiveLimit) {
            backend.limit.adopt(baselineLimit, 0);
        }
    }
}

void Dispatcher::setMembers(std::vector<DaemonHandle> members, bool yield)
{
    this->yielding = yield;
    if (this->counted == members) {
        return;
    }
    this->counted = std::move(members);
    for (auto &[handle, backend] : this->backends) {
        backend.slotOwners.clear();
    }
}

void Dispatcher::adopt(DaemonHandle router, const connection::wire::InventoryT &inventory, Time now)
{
    this->drop(router, false, now);
    Router &adopted = this->routers[router];
    adopted.session = inventory.session;
    adopted.adopted = true;
    for (const connection::wire::InFlight &entry : inventory.in_flight) {
        const BackendServerHandle backend {entry.backend()};
        adopted.inFlight[entry.request()] = {backend, WorkspaceHandle {entry.workspace()}, entry.cost(), now};
        ++this->backends[backend].inFlight;
        ++this->backends[backend].adoptedInFlight;
    }
    for (const connection::wire::Observation &observation : inventory.observations) {
        this->observe(observation, now);
    }
}

void Dispatcher::observe(const connection::wire::Observation &observation, Time now)
{
    if (now - this->startedAt > config::lostRouterHold) {
        return;
    }
    Backend &backend = this->backends[BackendServerHandle {observation.backend()}];
    const Duration age = std::chrono::milliseconds(observation.age_ms());
    if (age < config::lostRouterHold) {
        backend.observed = std::max<std::size_t>(backend.observed, observation.occupancy());
    }
    if (age < backend.observedAge) {
        backend.observedAge = age;
        backend.limit.adopt(observation.limit(), observation.generation());
    }
}

void Dispatcher::renewLease(DaemonHandle router, Time until)
{
    if (const auto found = this->routers.find(router); found != this->routers.end()) {
        found->second.leaseUntil = std::max(found->second.leaseUntil, until);
    }
}

void Dispatcher::drop(DaemonHandle router, bool hold, Time now)
{
    this->queue.cancelRouter(router);
    const auto found = this->routers.find(router);
    if (found == this->routers.end()) {
        return;
    }
    for (const auto &[request, entry] : found->second.inFlight) {
        this->releaseSlot(entry.backend);
        if (hold) {
            this->held.push_back({entry.backend, now + config::lostRouterHold});
        }
    }
    this->routers.erase(found);
}

void Dispatcher::suspend(DaemonHandle router)
{
    if (const auto found = this->routers.find(router); found != this->routers.end()) {
        found->second.adopted = false;
        this->queue.cancelRouter(router);
    }
}

void Dispatcher::enqueue(DaemonHandle router, const connection::wire::Enqueue &message, Time now)
{
    const RequestKey key {router, message.request()};
    const WorkspaceHandle workspace = this->flowOf(WorkspaceHandle {message.workspace()});
    if (!this->routers.contains(router)) {
        this->deny(key, DenyReason::NotDispatcher, Duration {0});
        return;
    }
    const bool full = this->queue.waitingOf(workspace) >= config::maxWaitingPerWorkspace || this->queue.size() >= config::maxWaitingPerPool;
    if (full) {
        this->deny(key, DenyReason::QueueFull, this->expectedWait(workspace));
        return;
    }
    if (message.attempt() > 0 && !this->mayRetryAnywhere(now)) {
        this->deny(key, DenyReason::NoBackend, config::noRetryOntoCold);
        return;
    }
    const Duration remaining = std::chrono::milliseconds(message.deadline_ms());
    const bool hasRoom = this->usableSlots() > 0 || !this->rooms.empty();
    const Duration wait = this->expectedWait(workspace);
    const Duration service = this->expectedService(workspace, message.cost());
    if (hasRoom && wait + service > remaining) {
        this->deny(key, DenyReason::DeadlineUnreachable, wait);
        return;
    }
    const Time deadline = now + remaining;
    const BackendServerHandle avoid {message.avoid()};
    this->queue.push({key, workspace, message.cost(), deadline, avoid, message.attempt()});
}

/** Without fair queueing all requests share one flow. */
WorkspaceHandle Dispatcher::flowOf(WorkspaceHandle workspace) const
{
    return this->policy.fairQueueing ? workspace : WorkspaceHandle {1};
}

void Dispatcher::cancel(DaemonHandle router, const connection::wire::Cancel &message)
{
    const RequestKey key {router, message.request()};
    for (const WorkspaceHandle workspace : this->queue.backlogged()) {
        if (this->queue.cancel(workspace, key)) {
            return;
        }
    }
}

void Dispatcher::release(DaemonHandle router, const connection::wire::Release &message, Time now)
{
    const auto found = this->routers.find(router);
    if (found == this->routers.end()) {
        return;
    }
    const auto entry = found->second.inFlight.find(message.request());
    if (entry == found->second.inFlight.end()) {
        return;
    }
    const InFlight ended = entry->second;
    found->second.inFlight.erase(entry);
    Backend &backend = this->backends[ended.backend];
    AttemptSample sample;
    sample.result = message.result();
    sample.firstToken = std::chrono::microseconds(message.first_token_us());
    sample.perToken = std::chrono::microseconds(message.per_token_us());
    sample.startedAt = ended.since;
    sample.generation = message.generation();
    if (this->policy.adaptiveLimit) {
        backend.limit.record(sample, backend.inFlight, this->target, now);
    }
    this->releaseSlot(ended.backend);
    if (!mayHaveCost(message.result())) {
        this->queue.refund(ended.workspace, ended.charged);
        return;
    }
    const auto cost = std::min(message.cost(), config::maxCost);
    this->queue.settle(ended.workspace, ended.charged, cost);
    this->served[ended.workspace] += cost;
    const auto duration = static_cast<double>((now - ended.since).count());
    moveMean(this->meanServiceTime, duration);
    if (message.result() == AttemptResult::Completed) {
        moveMean(this->meanTimePerCost, duration / std::max(1u, cost));
    }
}

void Dispatcher::chargeElsewhere(WorkspaceHandle workspace, std::uint64_t cost)
{
    this->queue.chargeElsewhere(workspace, cost);
}

void Dispatcher::setRemoteRooms(std::vector<RemoteRoom> remoteRooms)
{
    this->rooms = std::move(remoteRooms);
    const auto byCost = [](const RemoteRoom &left, const RemoteRoom &right) { return left.linkCost < right.linkCost; };
    std::stable_sort(this->rooms.begin(), this->rooms.end(), byCost);
}

DispatchDecisions Dispatcher::decide(Time now)
{
    DispatchDecisions decisions;
    this->denyExpired(now);
    std::erase_if(this->held, [now](const Held &slot) { return slot.until <= now; });
    const bool whole = this->isWhole(now);
    while (!this->yielding) {
        BackendServerHandle chosen;
        const auto canPlace = [&](const WaitingRequest &request) {
            chosen = this->isServed(request.key.router, now) ? this->chooseBackend(request, whole, now) : BackendServerHandle {};
            return chosen.isValid();
        };
        std::optional<ChargedRequest> taken = this->queue.popIf(canPlace);
        if (!taken) {
            break;
        }
        if (now + this->expectedService(taken->request.workspace, taken->request.costHint) > taken->request.deadline) {
            this->queue.refund(taken->request.workspace, taken->charged);
            this->deny(taken->request.key, DenyReason::DeadlineUnreachable, this->expectedWait(taken->request.workspace));
            continue;
        }
        this->grant(*taken, chosen, now, decisions);
    }
    this->redirectWaiting(decisions);
    std::move(this->pendingDenies.begin(), this->pendingDenies.end(), std::back_inserter(decisions.denies));
    this->pendingDenies.clear();
    return decisions;
}

void Dispatcher::denyExpired(Time now)
{
    for (const WaitingRequest &expired : this->queue.expire(now)) {
        this->deny(expired.key, DenyReason::DeadlineExpired, this->expectedWait(expired.workspace));
    }
}

void Dispatcher::redirectWaiting(DispatchDecisions &decisions)
{
    for (RemoteRoom &room : this->rooms) {
        while (room.freeSlots > 0) {
            const auto isHome = [this](const WaitingRequest &request) {
                return std::binary_search(this->counted.begin(), this->counted.end(), request.key.router);
            };
            std::optional<ChargedRequest> taken = this->queue.popIf(isHome);
            if (!taken) {
                return;
            }
            --room.freeSlots;
            const WaitingRequest &request = taken->request;
            this->queue.refund(request.workspace, taken->charged);
            const connection::wire::Redirect redirect(request.key.request, this->pool.id, room.dataCentre.id, room.dispatcher.id, 0);
            decisions.redirects.push_back({request.key.router, redirect});
        }
    }
    const bool hopeless = this->usableSlots() == 0 && this->rooms.empty() && this->queue.size() > 0;
    if (!hopeless) {
        return;
    }
    const auto any = [](const WaitingRequest &) { return true; };
    while (const std::optional<ChargedRequest> taken = this->queue.popIf(any)) {
        this->queue.refund(taken->request.workspace, taken->charged);
        this->deny(taken->request.key, DenyReason::NoBackend, config::digestPeriod);
    }
}

void Dispatcher::grant(const ChargedRequest &taken, BackendServerHandle handle, Time now, DispatchDecisions &decisions)
{
    const WaitingRequest &request = taken.request;
    Backend &backend = this->backends[handle];
    Router &router = this->routers[request.key.router];
    router.inFlight[request.key.request] = {handle, request.workspace, taken.charged, now};
    ++backend.inFlight;
    backend.limit.started(now);
    const std::uint16_t occupancy = toWireCount(static_cast<double>(backend.inFlight));
    const std::uint16_t limit = toWireCount(backend.limit.value());
    const connection::wire::Grant grant(request.key.request, this->pool.id, handle.id, router.session, occupancy, limit);
    decisions.grants.push_back({request.key.router, grant});
}

void Dispatcher::deny(RequestKey key, DenyReason reason, Duration retryAfter)
{
    const Duration bounded = std::clamp(retryAfter, config::minRetryAfter, config::maxRetryAfter);
    const connection::wire::Deny denial(key.request, this->pool.id, toMilliseconds(bounded), reason);
    this->pendingDenies.push_back({key.router, denial});
}

bool Dispatcher::isServed(DaemonHandle router, Time now) const
{
    const auto found = this->routers.find(router);
    return found != this->routers.end() && found->second.adopted && found->second.leaseUntil > now;
}

bool Dispatcher::isWhole(Time now) const
{
    if (!this->policy.splitShares) {
        return true;
    }
    return std::all_of(this->counted.begin(), this->counted.end(),
                       [this, now](DaemonHandle member) { return this->isServed(member, now); });
}

std::size_t Dispatcher::allowedSlots(Backend &backend, BackendServerHandle handle, bool whole, Time now) const
{
    const auto slots = static_cast<std::size_t>(std::floor(backend.limit.value()));
    if (whole) {
        return slots;
    }
    while (backend.slotOwners.size() < slots) {
        backend.slotOwners.push_back(ownerOfSlot(handle, backend.slotOwners.size(), this->counted));
    }
    const auto end = backend.slotOwners.begin() + static_cast<std::ptrdiff_t>(slots);
    const auto owned
        = std::count_if(backend.slotOwners.begin(), end, [this, now](DaemonHandle owner) { return this->isServed(owner, now); });
    return static_cast<std::size_t>(owned);
}

std::size_t Dispatcher::unaccounted(const Backend &backend, Time now) const
{
    const bool holding = now - this->startedAt < config::lostRouterHold;
    return holding && backend.observed > backend.adoptedInFlight ? backend.observed - backend.adoptedInFlight : 0;
}

std::size_t Dispatcher::heldAt(BackendServerHandle backend, Time now) const
{
    const auto isHeld = [backend, now](const Held &slot) { return slot.backend == backend && slot.until > now; };
    return static_cast<std::size_t>(std::count_if(this->held.begin(), this->held.end(), isHeld));
}

BackendServerHandle Dispatcher::chooseBackend(const WaitingRequest &request, bool whole, Time now)
{
    BackendServerHandle best;
    double bestLoad = 0.0;
    for (auto &[handle, backend] : this->backends) {
        const bool closedToRetry = request.attempt > 0 && backend.limit.isRecentlyCold(now);
        if (!backend.usable || closedToRetry) {
            continue;
        }
        const std::size_t allowed = this->allowedSlots(backend, handle, whole, now);
        const std::size_t busy = backend.inFlight + this->unaccounted(backend, now) + this->heldAt(handle, now);
        if (busy >= allowed || !backend.limit.admits(busy, now)) {
            continue;
        }
        const double avoidance = handle == request.avoid ? 1.0 : 0.0;
        const double load = static_cast<double>(busy + 1) / backend.limit.value() + avoidance;
        if (!best.isValid() || load < bestLoad) {
            best = handle;
            bestLoad = load;
        }
    }
    return best;
}

bool Dispatcher::mayRetryAnywhere(Time now) const
{
    const auto isOpen = [now](const auto &entry) { return entry.second.usable && !entry.second.limit.isRecentlyCold(now); };
    return !this->rooms.empty() || std::any_of(this->backends.begin(), this->backends.end(), isOpen);
}

Duration Dispatcher::expectedWait(WorkspaceHandle workspace) const
{
    const auto slots = static_cast<double>(std::max<std::size_t>(1, this->usableSlots()));
    const double ahead = static_cast<double>(this->queue.waitingOf(workspace));
    const double perRequest = this->meanServiceTime / (slots * this->queue.fractionOf(workspace));
    return Duration(static_cast<std::int64_t>(ahead * perRequest));
}

Duration Dispatcher::expectedService(WorkspaceHandle workspace, std::uint32_t costHint) const
{
    const double cost = this->queue.cautiousCost(workspace, costHint);
    return Duration(static_cast<std::int64_t>(cost * this->meanTimePerCost));
}

std::size_t Dispatcher::usableSlots() const
{
    double slots = 0.0;
    for (const auto &[handle, backend] : this->backends) {
        slots += backend.usable ? std::floor(backend.limit.value()) : 0.0;
    }
    return static_cast<std::size_t>(slots);
}

void Dispatcher::releaseSlot(BackendServerHandle backend)
{
    if (const auto found = this->backends.find(backend); found != this->backends.end() && found->second.inFlight > 0) {
        --found->second.inFlight;
    }
}

std::vector<DaemonHandle> Dispatcher::routerHandles() const
{
    std::vector<DaemonHandle> handles;
    for (const auto &[handle, router] : this->routers) {
        handles.push_back(handle);
    }
    return handles;
}

PoolView Dispatcher::view(Time) const
{
    PoolView view;
    view.waiting = this->queue.size();
    view.slots = this->usableSlots();
    for (const auto &[handle, backend] : this->backends) {
        view.inFlight += backend.inFlight;
        const auto limit = static_cast<std::size_t>(std::floor(backend.limit.value()));
        view.freeSlots += backend.usable && limit > backend.inFlight ? limit - backend.inFlight : 0;
    }
    if (view.waiting > 0 || this->yielding) {
        view.freeSlots = 0;
    }
    return view;
}

std::map<WorkspaceHandle, std::uint64_t> Dispatcher::takeServed()
{
    return std::exchange(this->served, {});
}

double Dispatcher::limitOf(BackendServerHandle backend) const
{
    const auto found = this->backends.find(backend);
    return found == this->backends.end() ? 0.0 : found->second.limit.value();
}

std::size_t Dispatcher::inFlightAt(BackendServerHandle backend) const
{
    const auto found = this->backends.find(backend);
    return found == this->backends.end() ? 0 : found->second.inFlight;
}

}
