#include "process/dispatcher.h"

#include "process/units.h"

#include <algorithm>

namespace eelgrassnotch::process
{

using connection::wire::AttemptResult;
using connection::wire::DenyReason;

namespace
{

/** Gain of the exponential moving averages of the service time and of the time per cost unit. */
constexpr double serviceTimeGain = 0.1;
/** Safety factor on expected times that are compared with a deadline. */
constexpr double deadlineMargin = 1.2;
/** In-flight requests are presumed to have ended after this many mean service times. */
constexpr int completionBoundFactor = 2;
/** After this time a new dispatcher has received the first digests of the other data centres. */
constexpr Duration initialDigestDelay = 3 * config::digestPeriod;
/**
 * Spare capacity counts this many times the completions expected in a digest period, so that no slot is idle before the next
 * digest. Above 1, a few redirected requests wait for a slot.
 */
constexpr double redirectCapacityFactor = 2.0;
constexpr std::uint16_t maxWireCount = 0xffff;

std::uint16_t toWireCount(double count)
{
    return static_cast<std::uint16_t>(std::clamp(count, 0.0, static_cast<double>(maxWireCount)));
}

void updateMean(double &mean, double sample)
{
    mean += mean == 0.0 ? sample : serviceTimeGain * (sample - mean);
}

bool mayHaveRun(AttemptResult result)
{
    return result != AttemptResult::NeverStarted && result != AttemptResult::ConnectFailed && result != AttemptResult::BackendRefused;
}

}

Dispatcher::Dispatcher(ServiceHandle service, DataCentreHandle dataCentre, Time now, const Policy &policy)
    : serviceHandle(service)
    , policy(policy)
    , startedAt(now)
    , slots(service, dataCentre, now, policy)
{
}

void Dispatcher::configure(const version::Configuration &configuration)
{
    this->changed = true;
    for (const auto &[handle, workspace] : configuration.workspaces) {
        this->queue.setWeight(handle, workspace.share);
    }
    this->slots.configure(configuration);
}

void Dispatcher::setMembers(const MembershipView &view)
{
    this->changed = true;
    this->mustStopGranting = view.mustStopGranting;
    this->silenceTimeout = view.silenceTimeout;
    this->quorumMembers = view.quorumMembers;
    this->slots.setQuorumMembers(view.quorumMembers);
}

void Dispatcher::registerRouter(DaemonHandle router, const connection::wire::InventoryT &inventory, Duration maxRemainingTime, Time now)
{
    this->removeRouter(router, Duration {0}, now);
    RouterState &state = this->routers[router];
    state.session = inventory.session;
    state.registered = true;
    state.lastSeen = now;
    const DaemonHandle formerDispatcher {inventory.former};
    const Duration runTimeBound = this->completionBound(std::chrono::milliseconds(inventory.service_ms), maxRemainingTime);
    for (const connection::wire::InFlight &entry : inventory.in_flight) {
        const BackendServerHandle backend {entry.backend()};
        state.inFlight[entry.request()] = {backend, WorkspaceHandle {entry.workspace()}, entry.cost(), now, 0};
        this->slots.addInherited(router, backend, formerDispatcher);
    }
    const auto isFresh = [runTimeBound](const auto &observation) { return std::chrono::milliseconds(observation.age_ms()) < runTimeBound; };
    const bool hasFreshObservation = std::any_of(inventory.observations.begin(), inventory.observations.end(), isFresh);
    if (formerDispatcher.isValid() && !hasFreshObservation) {
        this->slots.withholdSlots(router, now + runTimeBound);
    }
    for (const connection::wire::Observation &observation : inventory.observations) {
        this->slots.recordObservation(observation, formerDispatcher, runTimeBound, now);
    }
}

void Dispatcher::renewLease(DaemonHandle router, Time until, Time now)
{
    this->changed = true;
    if (const auto found = this->routers.find(router); found != this->routers.end()) {
        found->second.lastSeen = now;
        found->second.leaseUntil = std::max(found->second.leaseUntil, until);
    }
}

void Dispatcher::removeRouter(DaemonHandle router, Duration holdDuration, Time now)
{
    this->changed = true;
    this->queue.cancelRequestsOf(router);
    const auto found = this->routers.find(router);
    if (found == this->routers.end()) {
        return;
    }
    for (const auto &[request, entry] : found->second.inFlight) {
        this->slots.remove(router, entry.backend);
        if (holdDuration.count() > 0) {
            this->slots.addOrphaned(entry.backend, now + holdDuration);
        }
    }
    this->routers.erase(found);
}

void Dispatcher::suspendRouter(DaemonHandle router)
{
    if (const auto found = this->routers.find(router); found != this->routers.end()) {
        found->second.registered = false;
        this->queue.cancelRequestsOf(router);
    }
}

void Dispatcher::enqueue(DaemonHandle router, const connection::wire::Enqueue &message, Time now)
{
    this->changed = true;
    const RequestKey key {router, message.request()};
    const WorkspaceHandle workspace = this->flowOf(WorkspaceHandle {message.workspace()});
    if (!this->routers.contains(router)) {
        this->deny(key, DenyReason::NotDispatcher, Duration {0});
        return;
    }
    this->routers[router].lastSeen = now;
    const bool isQueueFull
        = this->queue.waitingCountOf(workspace) >= config::maxWaitingPerWorkspace || this->queue.size() >= config::maxWaitingPerPool;
    if (isQueueFull) {
        this->deny(key, DenyReason::QueueFull, this->expectedWait(workspace));
        return;
    }
    const bool lacksRemoteCapacity = this->remoteCapacities.empty() && this->hasAwaitedFirstDigests(now);
    if (message.attempt() > 0 && lacksRemoteCapacity && !this->slots.acceptsRetries(now)) {
        this->deny(key, DenyReason::NoBackend, config::noRetryOntoCold);
        return;
    }
    const Duration remaining = std::chrono::milliseconds(message.deadline_ms());
    const bool hasLocalSlots = this->slots.usableSlots() > 0;
    const Duration wait = this->expectedWait(workspace);
    const Duration service = this->expectedService(workspace, message.cost());
    if (hasLocalSlots && wait + service > remaining) {
        this->deny(key, DenyReason::DeadlineUnreachable, wait);
        return;
    }
    const Time deadline = now + remaining;
    const BackendServerHandle avoid {message.avoid()};
    this->queue.push({key, workspace, message.cost(), deadline, avoid, message.attempt()});
}

/** Maps a workspace to its flow in the fair queue; without fair queueing there is a single flow. */
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
    this->changed = true;
    const auto found = this->routers.find(router);
    if (found == this->routers.end()) {
        return;
    }
    const auto entry = found->second.inFlight.find(message.request());
    if (entry == found->second.inFlight.end()) {
        return;
    }
    const GrantedRequest ended = entry->second;
    found->second.inFlight.erase(entry);
    AttemptSample sample;
    sample.result = message.result();
    sample.firstToken = std::chrono::microseconds(message.first_token_us());
    sample.perToken = std::chrono::microseconds(message.per_token_us());
    sample.startedAt = ended.grantedAt;
    sample.inFlightAtStart = ended.loadAtGrant;
    sample.generation = message.generation();
    this->slots.recordAttempt(ended.backend, sample, now);
    this->slots.remove(router, ended.backend);
    if (!mayHaveRun(message.result())) {
        this->queue.refund(ended.workspace, ended.chargedCost);
        return;
    }
    const auto cost = std::min(message.cost(), config::maxCost);
    this->queue.correctCharge(ended.workspace, ended.chargedCost, cost);
    this->servedCost[ended.workspace] += cost;
    const auto duration = static_cast<double>((now - ended.grantedAt).count());
    updateMean(this->meanServiceTime, duration);
    if (message.result() == AttemptResult::Completed) {
        updateMean(this->meanTimePerCost, duration / std::max(1u, cost));
    }
}

void Dispatcher::chargeRemoteService(WorkspaceHandle workspace, std::uint64_t cost)
{
    this->queue.chargeRemoteService(workspace, cost);
}

void Dispatcher::setRemoteCapacity(const RemoteCapacity &remote)
{
    this->changed = true;
    this->removeRemoteCapacity(remote.dataCentre);
    const auto costsMore = [&remote](const RemoteCapacity &other) { return other.linkCost > remote.linkCost; };
    this->remoteCapacities.insert(std::find_if(this->remoteCapacities.begin(), this->remoteCapacities.end(), costsMore), remote);
}

void Dispatcher::removeRemoteCapacity(DataCentreHandle dataCentre)
{
    std::erase_if(this->remoteCapacities, [dataCentre](const RemoteCapacity &remote) { return remote.dataCentre == dataCentre; });
}

DispatchDecisions Dispatcher::decide(Time now)
{
    DispatchDecisions decisions;
    this->changed = false;
    this->denyExpired(now);
    std::erase_if(this->remoteCapacities, [now](const RemoteCapacity &remote) { return remote.validUntil <= now; });
    this->suspendSilentRouters(now);
    this->removeIdleRemoteRouters(now);
    const ActiveRouters active = this->findActiveRouters(now);
    this->slots.setActiveRouters(active);
    while (!this->mustStopGranting && this->slots.chooseBackend({}, now).isValid()) {
        BackendServerHandle chosen;
        const auto canPlace = [&](const WaitingRequest &request) {
            const PlacementConstraints constraints {request.avoid, request.attempt > 0};
            chosen = active.contains(request.key.router) ? this->slots.chooseBackend(constraints, now) : BackendServerHandle {};
            return chosen.isValid();
        };
        const std::optional<ChargedRequest> dequeued = this->queue.popIf(canPlace);
        if (!dequeued) {
            break;
        }
        if (this->cannotMeetDeadline(*dequeued, now)) {
            this->queue.refund(dequeued->request.workspace, dequeued->charged);
            this->deny(dequeued->request.key, DenyReason::DeadlineUnreachable, this->expectedWait(dequeued->request.workspace));
            continue;
        }
        this->grant(*dequeued, chosen, now, decisions);
    }
    this->redirectWaiting(now, decisions);
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

void Dispatcher::redirectWaiting(Time now, DispatchDecisions &decisions)
{
    bool hasLocalRequests = this->queue.size() > 0;
    for (RemoteCapacity &remote : this->remoteCapacities) {
        while (hasLocalRequests && remote.spareCapacity > 0) {
            hasLocalRequests = this->redirectOne(remote, decisions);
            remote.spareCapacity -= hasLocalRequests ? 1 : 0;
        }
    }
    const bool hasSlots = this->slots.usableSlots() > 0;
    RemoteCapacity *leastLoaded = hasSlots ? nullptr : this->leastLoadedRemote();
    while (leastLoaded != nullptr && this->redirectOne(*leastLoaded, decisions)) {
        leastLoaded = this->leastLoadedRemote();
    }
    const bool isUnservable = this->hasAwaitedFirstDigests(now) && !hasSlots && this->remoteCapacities.empty() && this->queue.size() > 0;
    if (!isUnservable) {
        return;
    }
    const auto anyRequest = [](const WaitingRequest &) { return true; };
    while (const std::optional<ChargedRequest> dequeued = this->queue.popIf(anyRequest)) {
        this->queue.refund(dequeued->request.workspace, dequeued->charged);
        this->deny(dequeued->request.key, DenyReason::NoBackend, config::digestPeriod);
    }
}

/** Returns whether the other data centres' first digests have had time to arrive. */
bool Dispatcher::hasAwaitedFirstDigests(Time now) const
{
    return now - this->startedAt > initialDigestDelay;
}

bool Dispatcher::redirectOne(RemoteCapacity &remote, DispatchDecisions &decisions)
{
    const auto isLocal = [this](const WaitingRequest &request) {
        return std::binary_search(this->quorumMembers.begin(), this->quorumMembers.end(), request.key.router);
    };
    const std::optional<ChargedRequest> dequeued = this->queue.popIf(isLocal);
    if (!dequeued) {
        return false;
    }
    ++remote.waiting;
    const WaitingRequest &request = dequeued->request;
    this->queue.refund(request.workspace, dequeued->charged);
    const connection::wire::Redirect redirect(request.key.request, this->serviceHandle.id, remote.dataCentre.id, remote.dispatcher.id);
    decisions.redirects.push_back({request.key.router, redirect});
    return true;
}

/**
 * Chooses the data centre to which a pool without backend servers redirects its requests, even without spare capacity: they
 * compete in the fair queue there by their workspaces' shares.
 */
RemoteCapacity *Dispatcher::leastLoadedRemote()
{
    const auto load = [](const RemoteCapacity &remote) {
        return static_cast<double>(remote.waiting + 1) * remote.linkCost / std::max(1u, remote.slots);
    };
    const auto isLessLoaded = [&load](const RemoteCapacity &left, const RemoteCapacity &right) { return load(left) < load(right); };
    const auto found = std::min_element(this->remoteCapacities.begin(), this->remoteCapacities.end(), isLessLoaded);
    return found == this->remoteCapacities.end() ? nullptr : &*found;
}

void Dispatcher::grant(const ChargedRequest &dequeued, BackendServerHandle handle, Time now, DispatchDecisions &decisions)
{
    const WaitingRequest &request = dequeued.request;
    RouterState &router = this->routers[request.key.router];
    this->slots.add(request.key.router, handle);
    router.inFlight[request.key.request] = {handle, request.workspace, dequeued.charged, now, this->slots.loadAt(handle)};
    this->slots.recordStart(handle, now);
    const std::uint16_t occupancy = toWireCount(static_cast<double>(this->slots.inFlightAt(handle)));
    const std::uint16_t limit = toWireCount(this->slots.limitOf(handle));
    const connection::wire::Grant grant(request.key.request, handle.id, router.session, occupancy, limit);
    decisions.grants.push_back({request.key.router, grant});
}

void Dispatcher::deny(RequestKey key, DenyReason reason, Duration retryAfter)
{
    const Duration bounded = std::clamp(retryAfter, config::minRetryAfter, config::maxRetryAfter);
    const connection::wire::Deny denial(key.request, this->serviceHandle.id, toMilliseconds(bounded), reason);
    this->pendingDenies.push_back({key.router, denial});
}

bool Dispatcher::isActive(DaemonHandle router, Time now) const
{
    const auto found = this->routers.find(router);
    return found != this->routers.end() && found->second.registered && found->second.leaseUntil > now;
}

/**
 * Suspends routers that sent nothing for the timeout. They may be unreachable: a lost grant would block its slot, and a waiting
 * request that can't be granted would block its workspace's flow.
 */
void Dispatcher::suspendSilentRouters(Time now)
{
    for (auto &[handle, router] : this->routers) {
        const bool isMember = std::binary_search(this->quorumMembers.begin(), this->quorumMembers.end(), handle);
        const Duration timeout = isMember ? this->silenceTimeout : config::guestQuietAfter;
        if (router.registered && now - router.lastSeen > timeout) {
            this->suspendRouter(handle);
        }
    }
}

/** Removes routers of other data centres that have no requests here. */
void Dispatcher::removeIdleRemoteRouters(Time now)
{
    for (auto position = this->routers.begin(); position != this->routers.end();) {
        const auto &[handle, router] = *position;
        const bool isMember = std::binary_search(this->quorumMembers.begin(), this->quorumMembers.end(), handle);
        const bool isIdle = router.inFlight.empty() && !this->queue.hasWaiting(handle) && now - router.lastSeen > config::digestPeriod;
        position = !isMember && isIdle ? this->routers.erase(position) : std::next(position);
    }
}

ActiveRouters Dispatcher::findActiveRouters(Time now)
{
    ActiveRouters active;
    for (const auto &[handle, router] : this->routers) {
        if (this->isActive(handle, now)) {
            active.handles.push_back(handle);
        } else {
            this->slots.recordInactive(handle, router.leaseUntil + this->remainingServiceBound());
        }
    }
    const auto isActiveMember = [&active](DaemonHandle member) { return active.contains(member); };
    active.isComplete = !this->policy.splitShares || std::all_of(this->quorumMembers.begin(), this->quorumMembers.end(), isActiveMember);
    return active;
}

/** Returns the time after which requests in flight have most probably ended. */
Duration Dispatcher::completionBound(Duration meanService, Duration maxDuration)
{
    return meanService.count() == 0 ? maxDuration : std::min(meanService * completionBoundFactor, maxDuration);
}

/** Returns completionBound() for the requests that this dispatcher granted. */
Duration Dispatcher::remainingServiceBound() const
{
    return this->completionBound(Duration(static_cast<std::int64_t>(this->meanServiceTime)), config::lostRouterHold);
}

bool Dispatcher::cannotMeetDeadline(const ChargedRequest &dequeued, Time now) const
{
    const WaitingRequest &request = dequeued.request;
    return now + this->expectedService(request.workspace, request.costHint) > request.deadline;
}

Duration Dispatcher::expectedWait(WorkspaceHandle workspace) const
{
    const auto slots = static_cast<double>(std::max<std::size_t>(1, this->slots.usableSlots()));
    const double requestsAhead = static_cast<double>(this->queue.waitingCountOf(workspace));
    const double timePerRequest = this->meanServiceTime / (slots * this->queue.fractionOf(workspace));
    return Duration(static_cast<std::int64_t>(deadlineMargin * requestsAhead * timePerRequest));
}

Duration Dispatcher::expectedService(WorkspaceHandle workspace, std::uint32_t costHint) const
{
    const double cost = this->queue.conservativeCost(workspace, costHint);
    return Duration(static_cast<std::int64_t>(deadlineMargin * cost * this->meanTimePerCost));
}

std::vector<DaemonHandle> Dispatcher::routerHandles() const
{
    std::vector<DaemonHandle> handles;
    for (const auto &[handle, router] : this->routers) {
        handles.push_back(handle);
    }
    return handles;
}

PoolView Dispatcher::view() const
{
    PoolView view;
    view.waiting = this->queue.size();
    view.slots = this->slots.usableSlots();
    view.inFlight = this->slots.inFlight();
    view.freeSlots = this->slots.freeSlots();
    view.dataCentresKnown = this->remoteCapacities.size();
    if (this->mustStopGranting) {
        return view;
    }
    const auto period = static_cast<double>(config::digestPeriod.count());
    const double completions
        = this->meanServiceTime > 0.0 ? redirectCapacityFactor * static_cast<double>(view.slots) * period / this->meanServiceTime : 0.0;
    const std::size_t capacity = view.freeSlots + static_cast<std::size_t>(completions);
    view.spareCapacity = capacity > view.waiting ? capacity - view.waiting : 0;
    return view;
}

std::map<WorkspaceHandle, std::uint64_t> Dispatcher::takeServedCost()
{
    return std::exchange(this->servedCost, {});
}

}
