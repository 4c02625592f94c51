#include "process/dispatcher.h"

#include "process/units.h"

#include <algorithm>

namespace eelgrassnotch::process
{

using connection::wire::AttemptResult;
using connection::wire::DenyReason;

namespace
{

constexpr double serviceTimeGain = 0.1;
/** Expected times are stretched by this factor when they are held against a deadline. */
constexpr double deadlineMargin = 1.2;
/** Running requests have ended after this many mean service times. */
constexpr int serviceTimesUntilEnded = 2;
/** A new dispatcher has heard of the other data centres' room after this time. */
constexpr Duration firstDigestsWithin = 3 * config::digestPeriod;
/** Keeps a few redirected requests waiting until the next digest, so that no slot idles. */
constexpr double roomMargin = 2.0;
constexpr std::uint16_t maxWireCount = 0xffff;

std::uint16_t toWireCount(double count)
{
    return static_cast<std::uint16_t>(std::clamp(count, 0.0, static_cast<double>(maxWireCount)));
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

void Dispatcher::setMembers(const MemberView &view)
{
    this->changed = true;
    this->yielding = view.mustYield;
    this->quietAfter = view.quietAfter;
    this->counted = view.counted;
    this->slots.setCounted(view.counted);
}

void Dispatcher::adopt(DaemonHandle router, const connection::wire::InventoryT &inventory, Duration formerHold, Time now)
{
    this->drop(router, Duration {0}, now);
    Router &adopted = this->routers[router];
    adopted.session = inventory.session;
    adopted.adopted = true;
    adopted.heardAt = now;
    const DaemonHandle former {inventory.former};
    const Duration expected = this->expectedEnd(std::chrono::milliseconds(inventory.service_ms), formerHold);
    for (const connection::wire::InFlight &entry : inventory.in_flight) {
        const BackendServerHandle backend {entry.backend()};
        adopted.inFlight[entry.request()] = {backend, WorkspaceHandle {entry.workspace()}, entry.cost(), now, 0};
        this->slots.adopt(router, backend, former);
    }
    const auto isFresh = [expected](const auto &observation) { return std::chrono::milliseconds(observation.age_ms()) < expected; };
    const bool sawFormer = std::any_of(inventory.observations.begin(), inventory.observations.end(), isFresh);
    if (former.isValid() && !sawFormer) {
        this->slots.setProbation(router, now + expected);
    }
    for (const connection::wire::Observation &observation : inventory.observations) {
        this->slots.observe(observation, former, expected, now);
    }
}

void Dispatcher::renewLease(DaemonHandle router, Time until, Time now)
{
    this->changed = true;
    if (const auto found = this->routers.find(router); found != this->routers.end()) {
        found->second.heardAt = now;
        found->second.leaseUntil = std::max(found->second.leaseUntil, until);
    }
}

void Dispatcher::drop(DaemonHandle router, Duration hold, Time now)
{
    this->changed = true;
    this->queue.cancelRequestsOf(router);
    const auto found = this->routers.find(router);
    if (found == this->routers.end()) {
        return;
    }
    for (const auto &[request, entry] : found->second.inFlight) {
        this->slots.remove(router, entry.backend);
        if (hold.count() > 0) {
            this->slots.hold(entry.backend, now + hold);
        }
    }
    this->routers.erase(found);
}

void Dispatcher::suspend(DaemonHandle router)
{
    if (const auto found = this->routers.find(router); found != this->routers.end()) {
        found->second.adopted = false;
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
    this->routers[router].heardAt = now;
    const bool full
        = this->queue.waitingCountOf(workspace) >= config::maxWaitingPerWorkspace || this->queue.size() >= config::maxWaitingPerPool;
    if (full) {
        this->deny(key, DenyReason::QueueFull, this->expectedWait(workspace));
        return;
    }
    const bool hasNoOther = this->rooms.empty() && this->knowsOthers(now);
    if (message.attempt() > 0 && hasNoOther && !this->slots.acceptsRetries(now)) {
        this->deny(key, DenyReason::NoBackend, config::noRetryOntoCold);
        return;
    }
    const Duration remaining = std::chrono::milliseconds(message.deadline_ms());
    const bool servesHere = this->slots.usableSlots() > 0;
    const Duration wait = this->expectedWait(workspace);
    const Duration service = this->expectedService(workspace, message.cost());
    if (servesHere && wait + service > remaining) {
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
    this->changed = true;
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
    AttemptSample sample;
    sample.result = message.result();
    sample.firstToken = std::chrono::microseconds(message.first_token_us());
    sample.perToken = std::chrono::microseconds(message.per_token_us());
    sample.startedAt = ended.since;
    sample.inFlightAtStart = ended.load;
    sample.generation = message.generation();
    this->slots.record(ended.backend, sample, now);
    this->slots.remove(router, ended.backend);
    if (!mayHaveCost(message.result())) {
        this->queue.refund(ended.workspace, ended.charged);
        return;
    }
    const auto cost = std::min(message.cost(), config::maxCost);
    this->queue.correctCharge(ended.workspace, ended.charged, cost);
    this->served[ended.workspace] += cost;
    const auto duration = static_cast<double>((now - ended.since).count());
    moveMean(this->meanServiceTime, duration);
    if (message.result() == AttemptResult::Completed) {
        moveMean(this->meanTimePerCost, duration / std::max(1u, cost));
    }
}

void Dispatcher::chargeElsewhere(WorkspaceHandle workspace, std::uint64_t cost)
{
    this->queue.chargeRemoteService(workspace, cost);
}

void Dispatcher::offerRoom(const RemoteRoom &room)
{
    this->changed = true;
    this->withdrawRoom(room.dataCentre);
    const auto isDearer = [&room](const RemoteRoom &other) { return other.linkCost > room.linkCost; };
    this->rooms.insert(std::find_if(this->rooms.begin(), this->rooms.end(), isDearer), room);
}

void Dispatcher::withdrawRoom(DataCentreHandle dataCentre)
{
    std::erase_if(this->rooms, [dataCentre](const RemoteRoom &room) { return room.dataCentre == dataCentre; });
}

DispatchDecisions Dispatcher::decide(Time now)
{
    DispatchDecisions decisions;
    this->changed = false;
    this->denyExpired(now);
    std::erase_if(this->rooms, [now](const RemoteRoom &room) { return room.validUntil <= now; });
    this->suspendQuiet(now);
    this->dropIdleGuests(now);
    const ServedRouters served = this->computeServed(now);
    this->slots.setServed(served);
    while (!this->yielding && this->slots.choose({}, now).isValid()) {
        BackendServerHandle chosen;
        const auto canPlace = [&](const WaitingRequest &request) {
            const PlacementWish wish {request.avoid, request.attempt > 0};
            chosen = served.contains(request.key.router) ? this->slots.choose(wish, now) : BackendServerHandle {};
            return chosen.isValid();
        };
        const std::optional<ChargedRequest> taken = this->queue.popIf(canPlace);
        if (!taken) {
            break;
        }
        if (this->isHopeless(*taken, now)) {
            this->queue.refund(taken->request.workspace, taken->charged);
            this->deny(taken->request.key, DenyReason::DeadlineUnreachable, this->expectedWait(taken->request.workspace));
            continue;
        }
        this->grant(*taken, chosen, now, decisions);
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
    bool hasHomeRequests = this->queue.size() > 0;
    for (RemoteRoom &room : this->rooms) {
        while (hasHomeRequests && room.room > 0) {
            hasHomeRequests = this->redirectOne(room, decisions);
            room.room -= hasHomeRequests ? 1 : 0;
        }
    }
    const bool hasSlots = this->slots.usableSlots() > 0;
    RemoteRoom *shortest = hasSlots ? nullptr : this->shortestQueue();
    while (shortest != nullptr && this->redirectOne(*shortest, decisions)) {
        shortest = this->shortestQueue();
    }
    const bool hopeless = this->knowsOthers(now) && !hasSlots && this->rooms.empty() && this->queue.size() > 0;
    if (!hopeless) {
        return;
    }
    const auto any = [](const WaitingRequest &) { return true; };
    while (const std::optional<ChargedRequest> taken = this->queue.popIf(any)) {
        this->queue.refund(taken->request.workspace, taken->charged);
        this->deny(taken->request.key, DenyReason::NoBackend, config::digestPeriod);
    }
}

/** Whether the other data centres' digests had the time to arrive. */
bool Dispatcher::knowsOthers(Time now) const
{
    return now - this->startedAt > firstDigestsWithin;
}

bool Dispatcher::redirectOne(RemoteRoom &room, DispatchDecisions &decisions)
{
    const auto isHome = [this](const WaitingRequest &request) {
        return std::binary_search(this->counted.begin(), this->counted.end(), request.key.router);
    };
    const std::optional<ChargedRequest> taken = this->queue.popIf(isHome);
    if (!taken) {
        return false;
    }
    ++room.waiting;
    const WaitingRequest &request = taken->request;
    this->queue.refund(request.workspace, taken->charged);
    const connection::wire::Redirect redirect(request.key.request, this->pool.id, room.dataCentre.id, room.dispatcher.id);
    decisions.redirects.push_back({request.key.router, redirect});
    return true;
}

/** Where a pool without backend servers sends its requests: they compete there by their workspaces' shares. */
RemoteRoom *Dispatcher::shortestQueue()
{
    const auto load
        = [](const RemoteRoom &room) { return static_cast<double>(room.waiting + 1) * room.linkCost / std::max(1u, room.slots); };
    const auto isShorter = [&load](const RemoteRoom &left, const RemoteRoom &right) { return load(left) < load(right); };
    const auto found = std::min_element(this->rooms.begin(), this->rooms.end(), isShorter);
    return found == this->rooms.end() ? nullptr : &*found;
}

void Dispatcher::grant(const ChargedRequest &taken, BackendServerHandle handle, Time now, DispatchDecisions &decisions)
{
    const WaitingRequest &request = taken.request;
    Router &router = this->routers[request.key.router];
    this->slots.add(request.key.router, handle);
    router.inFlight[request.key.request] = {handle, request.workspace, taken.charged, now, this->slots.loadAt(handle)};
    this->slots.started(handle, now);
    const std::uint16_t occupancy = toWireCount(static_cast<double>(this->slots.inFlightAt(handle)));
    const std::uint16_t limit = toWireCount(this->slots.limitOf(handle));
    const connection::wire::Grant grant(request.key.request, handle.id, router.session, occupancy, limit);
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

/** A router that is quiet may be cut off: a grant that it does not get would block a slot, a waiting request its flow. */
void Dispatcher::suspendQuiet(Time now)
{
    for (auto &[handle, router] : this->routers) {
        const bool isMember = std::binary_search(this->counted.begin(), this->counted.end(), handle);
        const Duration quiet = isMember ? this->quietAfter : config::guestQuietAfter;
        if (router.adopted && now - router.heardAt > quiet) {
            this->suspend(handle);
        }
    }
}

/** Routers of other data centres stay only as long as they have requests here. */
void Dispatcher::dropIdleGuests(Time now)
{
    for (auto position = this->routers.begin(); position != this->routers.end();) {
        const auto &[handle, router] = *position;
        const bool isMember = std::binary_search(this->counted.begin(), this->counted.end(), handle);
        const bool idle = router.inFlight.empty() && !this->queue.hasWaiting(handle) && now - router.heardAt > config::digestPeriod;
        position = !isMember && idle ? this->routers.erase(position) : std::next(position);
    }
}

ServedRouters Dispatcher::computeServed(Time now)
{
    ServedRouters served;
    for (const auto &[handle, router] : this->routers) {
        if (this->isServed(handle, now)) {
            served.handles.push_back(handle);
        } else {
            this->slots.lapsed(handle, router.leaseUntil + this->remainingService());
        }
    }
    const auto isServed = [&served](DaemonHandle member) { return served.contains(member); };
    served.whole = !this->policy.splitShares || std::all_of(this->counted.begin(), this->counted.end(), isServed);
    return served;
}

/** Time in which running requests have most probably ended. */
Duration Dispatcher::expectedEnd(Duration meanService, Duration longest)
{
    return meanService.count() == 0 ? longest : std::min(meanService * serviceTimesUntilEnded, longest);
}

/** The same for the requests that this dispatcher granted. */
Duration Dispatcher::remainingService() const
{
    return this->expectedEnd(Duration(static_cast<std::int64_t>(this->meanServiceTime)), config::lostRouterHold);
}

bool Dispatcher::isHopeless(const ChargedRequest &taken, Time now) const
{
    const WaitingRequest &request = taken.request;
    return now + this->expectedService(request.workspace, request.costHint) > request.deadline;
}

Duration Dispatcher::expectedWait(WorkspaceHandle workspace) const
{
    const auto slots = static_cast<double>(std::max<std::size_t>(1, this->slots.usableSlots()));
    const double ahead = static_cast<double>(this->queue.waitingCountOf(workspace));
    const double perRequest = this->meanServiceTime / (slots * this->queue.fractionOf(workspace));
    return Duration(static_cast<std::int64_t>(deadlineMargin * ahead * perRequest));
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
    view.dataCentresKnown = this->rooms.size();
    if (this->yielding) {
        return view;
    }
    const auto period = static_cast<double>(config::digestPeriod.count());
    const double completions
        = this->meanServiceTime > 0.0 ? roomMargin * static_cast<double>(view.slots) * period / this->meanServiceTime : 0.0;
    const std::size_t capacity = view.freeSlots + static_cast<std::size_t>(completions);
    view.room = capacity > view.waiting ? capacity - view.waiting : 0;
    return view;
}

std::map<WorkspaceHandle, std::uint64_t> Dispatcher::takeServed()
{
    return std::exchange(this->served, {});
}

}
