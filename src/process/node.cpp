#include "process/node.h"

#include "process/rendezvous.h"
#include "process/units.h"
#include "version/vm_list.h"

#include <algorithm>

namespace eelgrassnotch::process
{

using connection::wire::FrameT;

namespace
{

constexpr Duration membershipUpdateInterval = std::chrono::milliseconds(100);
constexpr Duration watchCheckInterval = std::chrono::milliseconds(500);

TimerService::Period every(Duration period)
{
    return [period] { return period; };
}

}

Node::Node(const DaemonIdentity &self, const std::vector<DaemonIdentity> &seeds, NodeHooks nodeHooks, Time startTime)
    : hooks(std::move(nodeHooks))
    , members(self)
    , localRouter(self.dataCentre, this->hooks.policy)
    , idempotencyClaims(*this->hooks.store, self.name + "/" + std::to_string(self.incarnation))
    , digests(this->members, this->hooks.policy)
    , watcher(*this->hooks.store, this->watchedObjects())
    , startedAt(startTime)
    , now(startTime)
{
    for (const DaemonIdentity &seed : seeds) {
        this->members.mergeMember(seed, startTime);
    }
    this->subscribeTimers();
}

Node::~Node() = default;

void Node::subscribeTimers()
{
    const auto heartbeat = [this](Time due) { this->sendHeartbeats(due); };
    const auto membership = [this](Time due) { this->updateMembership(due); };
    const auto digest = [this](Time due) { this->sendDigests(due); };
    const auto watch = [this](Time due) { this->watcher.advance(this->configurationState.version() == 0 || this->isPlatformWatcher(due)); };
    this->subscriptions.push_back(this->timers.subscribe(every(membershipUpdateInterval), membership));
    this->subscriptions.push_back(this->timers.subscribe([this] { return this->members.heartbeatInterval(); }, heartbeat));
    this->subscriptions.push_back(this->timers.subscribe(every(config::digestPeriod), digest));
    this->subscriptions.push_back(this->timers.subscribe(every(watchCheckInterval), watch));
}

std::uint64_t Node::submit(request::RequestInfo info, Time submittedAt)
{
    this->now = submittedAt;
    const request::RequestInfo copy = info;
    const std::uint64_t id = this->localRouter.submit(std::move(info), submittedAt);
    if (this->stopping) {
        this->localRouter.refuse(id, {RefusalReason::Stopping, Verdict::NotRun, config::minRetryAfter, "this daemon stops"});
        return id;
    }
    if (copy.claimName.empty() || !this->hooks.policy.claims) {
        this->localRouter.requestSlot(id);
        return id;
    }
    this->idempotencyClaims.claim(id, copy, submittedAt, [this, id](const ClaimDecision &decision) {
        const bool hasEnded = this->localRouter.find(id) == nullptr;
        if (decision.granted && hasEnded) {
            this->idempotencyClaims.recordOutcome(id, Verdict::NotRun, 0, "");
        } else if (decision.granted) {
            this->localRouter.requestSlot(id);
        } else if (decision.replay) {
            this->replays.push_back({id, *decision.replay});
            this->localRouter.remove(id);
        } else if (decision.refusal) {
            this->localRouter.refuse(id, *decision.refusal);
        }
    });
    return id;
}

void Node::onAttemptEnded(std::uint64_t id, const request::AttemptOutcome &outcome, Time endedAt)
{
    this->now = endedAt;
    const bool isAnswered = outcome.result == request::AttemptResult::Completed || outcome.result == request::AttemptResult::BackendError;
    this->localRouter.onAttemptEnded(id, outcome, endedAt);
    if (isAnswered) {
        this->idempotencyClaims.recordOutcome(id, Verdict::Ran, outcome.status, outcome.answer);
    }
}

void Node::onCallerGone(std::uint64_t id, Time goneAt)
{
    this->now = goneAt;
    this->localRouter.onCallerGone(id);
}

void Node::receive(const DaemonIdentity &from, const FrameT &frame, Time receivedAt)
{
    this->now = receivedAt;
    ++this->counters.framesReceived;
    const DaemonHandle sender = from.handle();
    if (this->members.recordContact(from, receivedAt)) {
        this->dropPeer(sender, config::lostRouterHold, receivedAt);
    }
    if (frame.leaving) {
        this->members.onLeave(sender);
        this->assignDispatchers(receivedAt);
        this->dropPeer(sender, Duration {0}, receivedAt);
        this->log("member_left", {{"member", from.name}});
        return;
    }
    this->receiveSharedState(sender, frame, receivedAt);
    this->receiveDispatcherMessages(sender, frame, receivedAt);
    this->receiveRouterMessages(sender, frame, receivedAt);
    if (frame.heartbeat) {
        this->onHeartbeat(sender, *frame.heartbeat, frame.obeys, receivedAt);
    }
    if (!frame.inventories.empty()) {
        this->sendHeartbeat(sender, receivedAt);
    }
}

void Node::receiveDispatcherMessages(DaemonHandle from, const FrameT &frame, Time receivedAt)
{
    for (const auto &inventory : frame.inventories) {
        const Member *formerDispatcher = this->members.find(DaemonHandle {inventory->former});
        const bool hasFormerEnded = formerDispatcher != nullptr && formerDispatcher->isConnectionRefused;
        const Duration formerHold = hasFormerEnded ? config::closedRouterHold : config::lostRouterHold;
        this->takeOver(ServiceHandle {inventory->service}, receivedAt).registerRouter(from, *inventory, formerHold, receivedAt);
    }
    for (const connection::wire::Release &message : frame.releases) {
        this->dispatcherFor(ServiceHandle {message.service()}, receivedAt).release(from, message, receivedAt);
    }
    for (const connection::wire::Enqueue &message : frame.enqueues) {
        this->dispatcherFor(ServiceHandle {message.service()}, receivedAt).enqueue(from, message, receivedAt);
    }
    for (const connection::wire::Cancel &message : frame.cancels) {
        this->dispatcherFor(ServiceHandle {message.service()}, receivedAt).cancel(from, message);
    }
}

void Node::receiveRouterMessages(DaemonHandle from, const FrameT &frame, Time receivedAt)
{
    for (const std::uint32_t service : frame.yields) {
        this->localRouter.onYield(from, ServiceHandle {service});
    }
    for (const std::uint32_t service : frame.inventories_wanted) {
        this->localRouter.onInventoryRequested(from, ServiceHandle {service});
    }
    for (const connection::wire::Grant &grant : frame.grants) {
        this->localRouter.onGrant(from, grant, receivedAt);
    }
    for (const connection::wire::Deny &denial : frame.denies) {
        this->localRouter.onDeny(from, denial);
    }
    for (const connection::wire::Redirect &redirect : frame.redirects) {
        this->localRouter.onRedirect(from, redirect, receivedAt);
    }
}

void Node::onLinkUp(DaemonHandle peer, Time upAt)
{
    this->now = upAt;
    this->localRouter.onLinkReset(peer);
    for (auto &[service, dispatcher] : this->localDispatchers) {
        if (dispatcher->hasRouter(peer)) {
            dispatcher->suspendRouter(peer);
            this->frameFor(peer).inventories_wanted.push_back(service.id);
        }
    }
    this->sendHeartbeat(peer, upAt);
}

void Node::onConnectionRefused(DaemonHandle peer, Time refusedAt)
{
    this->now = refusedAt;
    const Member *member = this->members.find(peer);
    if (member == nullptr || member->isConnectionRefused) {
        return;
    }
    this->members.onConnectionRefused(peer);
    this->assignDispatchers(refusedAt);
    this->dropPeer(peer, config::closedRouterHold, refusedAt);
    this->log("member_refused", {{"member", member->identity.name}});
}

void Node::dropPeer(DaemonHandle peer, Duration slotHold, Time goneAt)
{
    this->localRouter.onDispatcherGone(peer);
    this->peers.erase(peer);
    for (auto &[service, dispatcher] : this->localDispatchers) {
        dispatcher->removeRouter(peer, slotHold, goneAt);
    }
}

void Node::advance(Time advancedAt)
{
    this->now = advancedAt;
    this->timers.advance(advancedAt);
    this->localRouter.advance(advancedAt, this->assignment);
    this->idempotencyClaims.advance(advancedAt);
}

void Node::updateMembership(Time updatedAt)
{
    const bool hasStarted = updatedAt - this->startedAt >= config::obedienceLease;
    this->members.setSelfState(hasStarted, this->stopping);
    const MembershipChange change = this->members.advance(updatedAt);
    for (const DaemonHandle lost : change.lost) {
        this->dropPeer(lost, config::lostRouterHold, updatedAt);
        this->log("member_lost", {{"member", std::to_string(lost.id)}});
    }
    this->assignDispatchers(updatedAt);
    const MembershipView view = this->membershipView(updatedAt);
    for (auto &[service, dispatcher] : this->localDispatchers) {
        dispatcher->setMembers(view);
    }
    this->yieldReassignedDispatchers(updatedAt);
}

void Node::assignDispatchers(Time assignedAt)
{
    this->assignment.candidates = this->members.candidates(assignedAt);
    std::vector<std::uint32_t> roles;
    if (this->configurationState.get()) {
        for (const auto &[service, declared] : this->configurationState.get()->services) {
            roles.push_back(service.id);
        }
    }
    this->assignment.dispatchers = assignRoles(roles, this->assignment.candidates);
}

MembershipView Node::membershipView(Time at) const
{
    return {this->members.quorumMembers(), this->members.mustStopGranting(at), this->members.heartbeatInterval() * 3 / 2};
}

void Node::yieldReassignedDispatchers(Time yieldedAt)
{
    const DaemonHandle self = this->members.self().handle();
    for (auto &[service, dispatcher] : this->localDispatchers) {
        const DaemonHandle preferred = this->assignment.dispatcherOf(service);
        const bool isReassigned = preferred.isValid() && preferred != self && dispatcher->hasRouters();
        if (!isReassigned) {
            this->reassignedSince.erase(service);
            continue;
        }
        const auto [since, isNew] = this->reassignedSince.try_emplace(service, yieldedAt);
        if (yieldedAt - since->second < this->members.heartbeatInterval()) {
            continue;
        }
        this->reassignedSince.erase(since);
        for (const DaemonHandle router : dispatcher->routerHandles()) {
            this->frameFor(router).yields.push_back(service.id);
            dispatcher->removeRouter(router, Duration {0}, yieldedAt);
        }
        this->log("pool_yielded", {{"service", std::to_string(service.id)}});
    }
}

Dispatcher &Node::dispatcherFor(ServiceHandle service, Time at)
{
    std::unique_ptr<Dispatcher> &dispatcher = this->localDispatchers[service];
    if (!dispatcher) {
        dispatcher = this->makeDispatcher(service, at);
    }
    return *dispatcher;
}

/** A dispatcher without routers has yielded or never served; its state of the backend servers is stale, so it starts afresh. */
Dispatcher &Node::takeOver(ServiceHandle service, Time at)
{
    std::unique_ptr<Dispatcher> &dispatcher = this->localDispatchers[service];
    if (!dispatcher || !dispatcher->hasRouters()) {
        dispatcher = this->makeDispatcher(service, at);
        ++this->counters.dispatcherTakeovers;
    }
    return *dispatcher;
}

std::unique_ptr<Dispatcher> Node::makeDispatcher(ServiceHandle service, Time at) const
{
    auto dispatcher = std::make_unique<Dispatcher>(service, this->members.self().dataCentre, at, this->hooks.policy);
    dispatcher->setMembers(this->membershipView(at));
    if (this->configurationState.get()) {
        dispatcher->configure(*this->configurationState.get());
    }
    return dispatcher;
}

void Node::beginStop(Time stoppedAt)
{
    this->stopping = true;
    this->updateMembership(stoppedAt);
    this->sendHeartbeats(stoppedAt);
    this->log("stop_begun", {{"requests", std::to_string(this->localRouter.size())}});
}

bool Node::isDrained() const
{
    const auto hasNoRouters = [](const auto &entry) { return !entry.second->hasRouters(); };
    const bool isWithoutRoles = std::all_of(this->localDispatchers.begin(), this->localDispatchers.end(), hasNoRouters)
        || this->members.candidates(this->now).empty();
    return this->stopping && this->localRouter.size() == 0 && isWithoutRoles;
}

void Node::announceLeave()
{
    for (const DaemonHandle peer : this->heartbeatPeers(this->now)) {
        this->frameFor(peer).leaving = true;
    }
}

void Node::runDispatchers(Time decidedAt)
{
    for (auto &[service, dispatcher] : this->localDispatchers) {
        if (!dispatcher->needsDecision()) {
            continue;
        }
        DispatchDecisions decisions = dispatcher->decide(decidedAt);
        this->counters.grants += decisions.grants.size();
        this->counters.denies += decisions.denies.size();
        this->counters.redirects += decisions.redirects.size();
        for (const auto &grant : decisions.grants) {
            this->frameFor(grant.router).grants.push_back(grant.message);
        }
        for (const auto &denial : decisions.denies) {
            this->frameFor(denial.router).denies.push_back(denial.message);
        }
        for (const auto &redirect : decisions.redirects) {
            this->frameFor(redirect.router).redirects.push_back(redirect.message);
        }
    }
}

void Node::collectRouterFrames(Time collectedAt)
{
    for (auto &[peer, frame] : this->localRouter.takeFrames()) {
        FrameT &target = this->frameFor(peer);
        const bool hasInventory = !frame.inventories.empty();
        std::move(frame.inventories.begin(), frame.inventories.end(), std::back_inserter(target.inventories));
        target.enqueues.insert(target.enqueues.end(), frame.enqueues.begin(), frame.enqueues.end());
        target.releases.insert(target.releases.end(), frame.releases.begin(), frame.releases.end());
        target.cancels.insert(target.cancels.end(), frame.cancels.begin(), frame.cancels.end());
        if (hasInventory && peer != this->members.self().handle()) {
            this->sendHeartbeat(peer, collectedAt);
        }
    }
}

Outbox Node::takeOutbox(Time takenAt)
{
    constexpr int maxLocalRounds = 4;
    const DaemonHandle self = this->members.self().handle();
    for (int round = 0; round < maxLocalRounds; ++round) {
        this->collectRouterFrames(takenAt);
        this->runDispatchers(takenAt);
        auto local = this->frames.extract(self);
        if (local.empty()) {
            break;
        }
        this->receiveDispatcherMessages(self, local.mapped(), takenAt);
        this->receiveRouterMessages(self, local.mapped(), takenAt);
        if (!local.mapped().inventories.empty()) {
            this->sendHeartbeats(takenAt);
        }
    }
    Outbox outbox;
    for (auto &[peer, frame] : this->frames) {
        if (const Member *member = this->members.find(peer)) {
            outbox.frames.push_back({member->identity, std::move(frame)});
        }
    }
    this->frames.clear();
    outbox.starts = this->localRouter.takeStarts();
    outbox.refusals = this->localRouter.takeRefusals();
    for (const RefuseRequest &refused : outbox.refusals) {
        this->idempotencyClaims.recordOutcome(refused.request, refused.refusal.verdict, 0, "");
    }
    outbox.replays = std::exchange(this->replays, {});
    if (std::exchange(this->configurationChanged, false)) {
        outbox.newConfiguration = this->configurationState.get();
    }
    return outbox;
}

FrameT &Node::frameFor(DaemonHandle peer)
{
    return this->frames[peer];
}

void Node::log(const std::string &event, const std::vector<std::pair<std::string, std::string>> &fields) const
{
    if (this->hooks.log) {
        this->hooks.log(event, fields);
    }
}

}
