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

constexpr Duration membershipPeriod = std::chrono::milliseconds(100);
constexpr Duration watchCheckPeriod = std::chrono::milliseconds(500);

TimerService::Period every(Duration period)
{
    return [period] { return period; };
}

}

Node::Node(const DaemonIdentity &self, const std::vector<DaemonIdentity> &seeds, NodeHooks nodeHooks, Time startTime)
    : hooks(std::move(nodeHooks))
    , members(self)
    , ownRouter(self.dataCentre, this->hooks.policy)
    , claimKeeper(*this->hooks.store, self.name + "/" + std::to_string(self.incarnation))
    , digests(this->members, this->hooks.policy)
    , watcher(*this->hooks.store, this->watchedObjects())
    , startedAt(startTime)
    , now(startTime)
{
    for (const DaemonIdentity &seed : seeds) {
        this->members.learn(seed, startTime);
    }
    this->subscribeTimers();
}

Node::~Node() = default;

void Node::subscribeTimers()
{
    const auto heartbeat = [this](Time due) { this->sendHeartbeats(due); };
    const auto membership = [this](Time due) { this->updateMembers(due); };
    const auto digest = [this](Time due) { this->exchangeDigests(due); };
    const auto watch = [this](Time due) { this->watcher.advance(this->configurationState.version() == 0 || this->isRelay(due)); };
    this->subscriptions.push_back(this->timers.subscribe(every(membershipPeriod), membership));
    this->subscriptions.push_back(this->timers.subscribe([this] { return this->members.heartbeatPeriod(); }, heartbeat));
    this->subscriptions.push_back(this->timers.subscribe(every(config::digestPeriod), digest));
    this->subscriptions.push_back(this->timers.subscribe(every(watchCheckPeriod), watch));
}

std::uint64_t Node::submit(request::RequestInfo info, Time submittedAt)
{
    this->now = submittedAt;
    const request::RequestInfo copy = info;
    const std::uint64_t id = this->ownRouter.submit(std::move(info), submittedAt);
    if (this->stopping) {
        this->ownRouter.refuse(id, {RefusalReason::Stopping, Verdict::NotRun, config::minRetryAfter, "this daemon stops"});
        return id;
    }
    if (copy.claimName.empty() || !this->hooks.policy.claims) {
        this->ownRouter.proceed(id);
        return id;
    }
    this->claimKeeper.claim(id, copy, submittedAt, [this, id](const ClaimDecision &decision) {
        const bool ended = this->ownRouter.find(id) == nullptr;
        if (decision.granted && ended) {
            this->claimKeeper.settle(id, Verdict::NotRun, 0, "");
        } else if (decision.granted) {
            this->ownRouter.proceed(id);
        } else if (decision.replay) {
            this->replays.push_back({id, *decision.replay});
            this->ownRouter.forget(id);
        } else if (decision.refusal) {
            this->ownRouter.refuse(id, *decision.refusal);
        }
    });
    return id;
}

void Node::attemptEnded(std::uint64_t id, const request::AttemptOutcome &outcome, Time endedAt)
{
    this->now = endedAt;
    const bool answered = outcome.result == request::AttemptResult::Completed || outcome.result == request::AttemptResult::BackendError;
    this->ownRouter.attemptEnded(id, outcome, endedAt);
    if (answered) {
        this->claimKeeper.settle(id, Verdict::Ran, outcome.status, outcome.answer);
    }
}

void Node::callerGone(std::uint64_t id, Time goneAt)
{
    this->now = goneAt;
    this->ownRouter.callerGone(id);
}

void Node::receive(const DaemonIdentity &from, const FrameT &frame, Time receivedAt)
{
    this->now = receivedAt;
    ++this->counters.framesReceived;
    const DaemonHandle sender = from.handle();
    if (this->members.heard(from, receivedAt)) {
        this->peerGone(sender, config::lostRouterHold, receivedAt);
    }
    if (frame.leaving) {
        this->members.left(sender);
        this->placeDispatchers(receivedAt);
        this->peerGone(sender, Duration {0}, receivedAt);
        this->log("member_left", {{"member", from.name}});
        return;
    }
    this->receiveKnowledge(sender, frame, receivedAt);
    this->receiveDispatch(sender, frame, receivedAt);
    this->receiveRouting(sender, frame, receivedAt);
    if (frame.heartbeat) {
        this->onHeartbeat(sender, *frame.heartbeat, frame.obeys, receivedAt);
    }
    if (!frame.inventories.empty()) {
        this->sendHeartbeat(sender, receivedAt);
    }
}

void Node::receiveDispatch(DaemonHandle from, const FrameT &frame, Time receivedAt)
{
    for (const auto &inventory : frame.inventories) {
        const Member *former = this->members.find(DaemonHandle {inventory->former});
        const bool formerEnded = former != nullptr && former->refused;
        const Duration formerHold = formerEnded ? config::closedRouterHold : config::lostRouterHold;
        this->takeOver(ServiceHandle {inventory->service}, receivedAt).adopt(from, *inventory, formerHold, receivedAt);
    }
    for (const connection::wire::Release &message : frame.releases) {
        this->poolFor(ServiceHandle {message.service()}, receivedAt).release(from, message, receivedAt);
    }
    for (const connection::wire::Enqueue &message : frame.enqueues) {
        this->poolFor(ServiceHandle {message.service()}, receivedAt).enqueue(from, message, receivedAt);
    }
    for (const connection::wire::Cancel &message : frame.cancels) {
        this->poolFor(ServiceHandle {message.service()}, receivedAt).cancel(from, message);
    }
}

void Node::receiveRouting(DaemonHandle from, const FrameT &frame, Time receivedAt)
{
    for (const std::uint32_t service : frame.yields) {
        this->ownRouter.onYield(from, ServiceHandle {service});
    }
    for (const std::uint32_t service : frame.inventories_wanted) {
        this->ownRouter.onInventoryWanted(from, ServiceHandle {service});
    }
    for (const connection::wire::Grant &grant : frame.grants) {
        this->ownRouter.onGrant(from, grant, receivedAt);
    }
    for (const connection::wire::Deny &denial : frame.denies) {
        this->ownRouter.onDeny(from, denial);
    }
    for (const connection::wire::Redirect &redirect : frame.redirects) {
        this->ownRouter.onRedirect(from, redirect, receivedAt);
    }
}

void Node::linkUp(DaemonHandle peer, Time upAt)
{
    this->now = upAt;
    this->ownRouter.linkReset(peer);
    for (auto &[service, pool] : this->pools) {
        if (pool->hasRouter(peer)) {
            pool->suspend(peer);
            this->frameFor(peer).inventories_wanted.push_back(service.id);
        }
    }
    this->sendHeartbeat(peer, upAt);
}

void Node::linkRefused(DaemonHandle peer, Time refusedAt)
{
    this->now = refusedAt;
    const Member *member = this->members.find(peer);
    if (member == nullptr || member->refused) {
        return;
    }
    this->members.connectionRefused(peer);
    this->placeDispatchers(refusedAt);
    this->peerGone(peer, config::closedRouterHold, refusedAt);
    this->log("member_refused", {{"member", member->identity.name}});
}

void Node::peerGone(DaemonHandle peer, Duration hold, Time goneAt)
{
    this->ownRouter.dispatcherGone(peer);
    this->peers.erase(peer);
    for (auto &[service, pool] : this->pools) {
        pool->drop(peer, hold, goneAt);
    }
}

void Node::advance(Time advancedAt)
{
    this->now = advancedAt;
    this->timers.advance(advancedAt);
    this->ownRouter.advance(advancedAt, this->placement);
    this->claimKeeper.advance(advancedAt);
}

void Node::updateMembers(Time updatedAt)
{
    const bool settled = updatedAt - this->startedAt >= config::obedienceLease;
    this->members.setSelfState(settled, this->stopping);
    const MembershipChange change = this->members.advance(updatedAt);
    for (const DaemonHandle lost : change.lost) {
        this->peerGone(lost, config::lostRouterHold, updatedAt);
        this->log("member_lost", {{"member", std::to_string(lost.id)}});
    }
    this->placeDispatchers(updatedAt);
    const MemberView view = this->memberView(updatedAt);
    for (auto &[service, pool] : this->pools) {
        pool->setMembers(view);
    }
    this->yieldPools(updatedAt);
}

void Node::placeDispatchers(Time placedAt)
{
    this->placement.candidates = this->members.candidates(placedAt);
    std::vector<std::uint32_t> roles;
    if (this->configurationState.get()) {
        for (const auto &[service, declared] : this->configurationState.get()->services) {
            roles.push_back(service.id);
        }
    }
    this->placement.dispatchers = assignRoles(roles, this->placement.candidates);
}

MemberView Node::memberView(Time at) const
{
    return {this->members.counted(), this->members.mustYield(at), this->members.heartbeatPeriod() * 3 / 2};
}

void Node::yieldPools(Time yieldedAt)
{
    const DaemonHandle self = this->members.self().handle();
    for (auto &[service, pool] : this->pools) {
        const DaemonHandle desired = this->placement.dispatcherOf(service);
        const bool undesired = desired.isValid() && desired != self && pool->hasRouters();
        if (!undesired) {
            this->undesiredSince.erase(service);
            continue;
        }
        const auto [since, isNew] = this->undesiredSince.try_emplace(service, yieldedAt);
        if (yieldedAt - since->second < this->members.heartbeatPeriod()) {
            continue;
        }
        this->undesiredSince.erase(since);
        for (const DaemonHandle router : pool->routerHandles()) {
            this->frameFor(router).yields.push_back(service.id);
            pool->drop(router, Duration {0}, yieldedAt);
        }
        this->log("pool_yielded", {{"service", std::to_string(service.id)}});
    }
}

Dispatcher &Node::poolFor(ServiceHandle service, Time at)
{
    std::unique_ptr<Dispatcher> &pool = this->pools[service];
    if (!pool) {
        pool = this->makePool(service, at);
    }
    return *pool;
}

/** A pool without routers was given up or never held; what it knew of the backend servers is stale. */
Dispatcher &Node::takeOver(ServiceHandle service, Time at)
{
    std::unique_ptr<Dispatcher> &pool = this->pools[service];
    if (!pool || !pool->hasRouters()) {
        pool = this->makePool(service, at);
        ++this->counters.dispatcherTakeovers;
    }
    return *pool;
}

std::unique_ptr<Dispatcher> Node::makePool(ServiceHandle service, Time at) const
{
    auto pool = std::make_unique<Dispatcher>(service, this->members.self().dataCentre, at, this->hooks.policy);
    pool->setMembers(this->memberView(at));
    if (this->configurationState.get()) {
        pool->configure(*this->configurationState.get());
    }
    return pool;
}

void Node::beginStop(Time stoppedAt)
{
    this->stopping = true;
    this->updateMembers(stoppedAt);
    this->sendHeartbeats(stoppedAt);
    this->log("stop_begun", {{"requests", std::to_string(this->ownRouter.size())}});
}

bool Node::isDrained() const
{
    const auto isEmpty = [](const auto &entry) { return !entry.second->hasRouters(); };
    const bool rolesAreGone = std::all_of(this->pools.begin(), this->pools.end(), isEmpty) || this->members.candidates(this->now).empty();
    return this->stopping && this->ownRouter.size() == 0 && rolesAreGone;
}

void Node::sayGoodbye()
{
    for (const DaemonHandle peer : this->heartbeatPeers(this->now)) {
        this->frameFor(peer).leaving = true;
    }
}

void Node::runPools(Time decidedAt)
{
    for (auto &[service, pool] : this->pools) {
        if (!pool->needsDecision()) {
            continue;
        }
        DispatchDecisions decisions = pool->decide(decidedAt);
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

void Node::pumpRouter(Time pumpedAt)
{
    for (auto &[peer, frame] : this->ownRouter.takeFrames()) {
        FrameT &target = this->frameFor(peer);
        const bool adopts = !frame.inventories.empty();
        std::move(frame.inventories.begin(), frame.inventories.end(), std::back_inserter(target.inventories));
        target.enqueues.insert(target.enqueues.end(), frame.enqueues.begin(), frame.enqueues.end());
        target.releases.insert(target.releases.end(), frame.releases.begin(), frame.releases.end());
        target.cancels.insert(target.cancels.end(), frame.cancels.begin(), frame.cancels.end());
        if (adopts && peer != this->members.self().handle()) {
            this->sendHeartbeat(peer, pumpedAt);
        }
    }
}

Outbox Node::takeOutbox(Time takenAt)
{
    constexpr int maxLocalRounds = 4;
    const DaemonHandle self = this->members.self().handle();
    for (int round = 0; round < maxLocalRounds; ++round) {
        this->pumpRouter(takenAt);
        this->runPools(takenAt);
        auto local = this->frames.extract(self);
        if (local.empty()) {
            break;
        }
        this->receiveDispatch(self, local.mapped(), takenAt);
        this->receiveRouting(self, local.mapped(), takenAt);
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
    outbox.starts = this->ownRouter.takeStarts();
    outbox.finished = this->ownRouter.takeFinished();
    for (const FinishRequest &finish : outbox.finished) {
        this->claimKeeper.settle(finish.request, finish.refusal.verdict, 0, "");
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
