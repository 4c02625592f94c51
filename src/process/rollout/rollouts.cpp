#include "process/rollout/rollouts.h"

#include "process/rendezvous.h"

#include <algorithm>

namespace eelgrassnotch::process::rollout
{

namespace
{

/** Part of the slack that is divided among the daemons; the rest covers start credits and daemons that aren't counted yet. */
constexpr double dividedSlack = 0.5;
/** Daemons that write a status before all others do. */
constexpr std::size_t rankedDaemons = 12;
/** From this share on, a service may use the target version where the others have no room. */
constexpr double fallbackShare = 0.1;

std::string milliseconds(Duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

Rollouts::Fields fieldsOf(const RolloutOrder &order)
{
    return {{"service", order.service},
            {"target", order.target},
            {"state", nameOf(order.state)},
            {"duration_ms", milliseconds(order.duration)},
            {"revision", std::to_string(order.revision)}};
}

Rollouts::Fields fieldsOf(const RolloutOrder &order, const RolloutStats &stats)
{
    return {{"service", order.service},
            {"target", order.target},
            {"stage", nameOf(stats.stage)},
            {"share", std::to_string(stats.share)},
            {"elapsed_ms", milliseconds(stats.elapsed)},
            {"failure_score", std::to_string(stats.failureScore)},
            {"slowness_score", std::to_string(stats.slownessScore)},
            {"threshold", std::to_string(stats.threshold)},
            {"target_answers", std::to_string(stats.targetAnswers)},
            {"target_bad", std::to_string(stats.targetBad)},
            {"old_answers", std::to_string(stats.oldAnswers)},
            {"old_bad", std::to_string(stats.oldBad)},
            {"old_in_progress", std::to_string(stats.oldInProgress)},
            {"emptying_daemons", std::to_string(stats.emptyingDaemons)},
            {"daemons", std::to_string(stats.daemons)}};
}

}

Rollouts::Rollouts(DaemonHandle ownHandle, std::optional<RolloutBounds> operatorBounds, EventHandler eventHandler)
    : self(ownHandle)
    , bounds(operatorBounds)
    , onEvent(std::move(eventHandler))
{
}

void Rollouts::replaceAll(const std::vector<RolloutOrder> &orders, Time now)
{
    std::set<std::string> listed;
    for (const RolloutOrder &order : orders) {
        listed.insert(order.service);
    }
    for (const auto &[name, service] : this->services) {
        if (service.rollout && !listed.contains(name)) {
            const std::string object = service.rollout->order().name; // A copy, as the order is removed.
            this->remove(object);
        }
    }
    for (const RolloutOrder &order : orders) {
        this->apply(order, now);
    }
}

void Rollouts::applyEnd(Service &service)
{
    const RolloutOrder &order = service.rollout->order();
    if (order.state == RolloutState::Completed) {
        service.running = order.target;
        service.bad.erase(order.target);
    } else if (order.state == RolloutState::RolledBack) {
        service.bad.insert(order.target);
    }
}

void Rollouts::apply(const RolloutOrder &order, Time now)
{
    if (!this->bounds) {
        return;
    }
    Service &service = this->services[order.service];
    const bool isKnown = service.rollout && service.rollout->order().id() == order.id();
    const bool isRepeated = isKnown && order.state == RolloutState::Active && service.rollout->order().state != RolloutState::Active;
    if (isKnown && order.revision < service.rollout->order().revision) {
        return; // The answer of a write came before an older change.
    }
    if (isKnown && service.rollout->order().state == order.state) {
        service.rollout->setRevision(order.revision);
        return;
    }
    if (!isKnown || isRepeated) {
        service.rollout = std::make_unique<ServiceRollout>(order, *this->bounds, this->self, now);
        service.loggedStage = Stage::Probing;
        service.isBadLogged = false;
        if (order.state == RolloutState::Active) {
            service.bad.erase(order.target);
            // A daemon that has just started takes the other version as the one that runs.
            if (service.running == order.target) {
                service.running.clear();
                chooseRunning(service);
            }
        }
    } else {
        service.rollout->setRevision(order.revision);
        service.rollout->setState(order.state);
    }
    applyEnd(service);
    this->onEvent("rollout_order", fieldsOf(order));
}

void Rollouts::forgetRevisions()
{
    for (auto &[name, service] : this->services) {
        if (service.rollout) {
            service.rollout->setRevision(0);
        }
    }
}

void Rollouts::remove(const std::string &name)
{
    for (auto &[serviceName, service] : this->services) {
        if (!service.rollout || service.rollout->order().name != name) {
            continue;
        }
        this->onEvent("rollout_withdrawn", fieldsOf(service.rollout->order()));
        service.rollout.reset();
    }
}

void Rollouts::setStoreReachable(bool isReachable)
{
    this->isStoreReachable = isReachable;
}

bool Rollouts::hasActive() const
{
    return std::any_of(this->services.begin(), this->services.end(), [](const auto &entry) {
        return entry.second.rollout && entry.second.rollout->order().state == RolloutState::Active;
    });
}

void Rollouts::recordRequest(const std::string &service)
{
    if (const auto known = this->services.find(service); known != this->services.end() && known->second.rollout) {
        known->second.rollout->recordRequest();
    }
}

VersionChoice Rollouts::choose(const std::string &service, std::uint64_t requestHash, bool isRepeated) const
{
    const auto known = this->services.find(service);
    return known != this->services.end() && known->second.rollout ? known->second.rollout->choose(requestHash, isRepeated)
                                                                  : VersionChoice();
}

VersionAccess Rollouts::access(const std::string &serviceName, const std::string &version, const VersionChoice &choice) const
{
    const auto known = this->services.find(serviceName);
    if (!this->bounds || known == this->services.end()) {
        return VersionAccess::Preferred;
    }
    const Service &service = known->second;
    const ServiceRollout *rollout = service.rollout.get();
    const bool isActive = rollout != nullptr && rollout->order().state == RolloutState::Active;
    if (service.bad.contains(version) || (isActive && rollout->isKnownBad() && version == rollout->order().target)) {
        return VersionAccess::Forbidden;
    }
    if (isActive && version == rollout->order().target) {
        if (choice.isTarget) {
            return VersionAccess::Preferred;
        }
        return service.running.empty() || rollout->stats().share >= fallbackShare ? VersionAccess::Fallback : VersionAccess::Forbidden;
    }
    if (!service.running.empty() && version != service.running) {
        return VersionAccess::Forbidden;
    }
    return isActive && choice.isTarget ? VersionAccess::Fallback : VersionAccess::Preferred;
}

void Rollouts::recordSent(const std::string &service, const std::string &version)
{
    if (const auto known = this->services.find(service); known != this->services.end() && known->second.rollout) {
        known->second.rollout->recordSent(version == known->second.rollout->order().target);
    }
}

void Rollouts::recordOutcome(const std::string &service, const std::string &version, Outcome outcome, Time now)
{
    const auto known = this->services.find(service);
    if (known == this->services.end() || !known->second.rollout || known->second.rollout->order().state != RolloutState::Active) {
        return;
    }
    outcome.wasTarget = version == known->second.rollout->order().target;
    known->second.rollout->recordOutcome(outcome, now);
}

void Rollouts::setServers(std::span<const VersionedServer> servers)
{
    for (auto &[name, service] : this->services) {
        service.usable.clear();
        service.situation.oldInProgress = 0;
        service.situation.hasOldServers = false;
    }
    for (const VersionedServer &server : servers) {
        auto known = this->services.find(server.service);
        if (known == this->services.end()) {
            known = this->services.emplace(std::string(server.service), Service()).first;
        }
        Service &service = known->second;
        const bool isOld = !service.rollout || server.version != service.rollout->order().target;
        service.situation.oldInProgress += isOld ? server.inFlight : 0;
        if (server.isUsable) {
            ++service.usable[std::string(server.version)];
            service.situation.hasOldServers = service.situation.hasOldServers || isOld;
        }
    }
    for (auto &[name, service] : this->services) {
        chooseRunning(service);
    }
}

bool Rollouts::isRunningKnown(const std::string &service) const
{
    const auto known = this->services.find(service);
    return known != this->services.end() && !known->second.running.empty();
}

void Rollouts::chooseRunning(Service &service)
{
    if (service.usable.contains(service.running)) {
        return;
    }
    const std::string *best = nullptr;
    for (const auto &[version, count] : service.usable) {
        const bool isTarget
            = service.rollout && service.rollout->order().state == RolloutState::Active && version == service.rollout->order().target;
        if (!isTarget && !service.bad.contains(version) && (best == nullptr || count > service.usable.at(*best))) {
            best = &version;
        }
    }
    service.running = best == nullptr ? std::string() : *best;
}

void Rollouts::setSituation(Service &service, const dispatch::ActiveDaemons &daemons, const std::optional<exchange::LoadSummary> &others,
                            Time now) const
{
    const RolloutOrder &order = service.rollout->order();
    RolloutSituation &situation = service.situation;
    situation.daemons = daemons.count();
    situation.slackPart = daemons.quota(static_cast<std::uint32_t>(this->bounds->exposureSlack * dividedSlack), order.id(), now);
    situation.isStoreReachable = this->isStoreReachable;
    situation.hasTargetServers = service.usable.contains(order.target);
    const std::vector<DaemonHandle> writers = chooseDaemons(order.id(), daemons.handles(), rankedDaemons);
    situation.rank = static_cast<std::uint32_t>(std::find(writers.begin(), writers.end(), this->self) - writers.begin());
    situation.others.reset();
    if (others) {
        situation.others.emplace();
        situation.others->rollouts = others->rollouts;
        situation.others->rolloutCounts = others->rolloutCounts;
    }
}

void Rollouts::logChanges(Service &service)
{
    const RolloutStats &stats = service.rollout->stats();
    if (std::exchange(service.loggedStage, stats.stage) != stats.stage) {
        this->onEvent("rollout_stage", fieldsOf(service.rollout->order(), stats));
    }
    if (stats.isKnownBad && !std::exchange(service.isBadLogged, true)) {
        this->onEvent("rollout_version_bad", fieldsOf(service.rollout->order(), stats));
    }
}

void Rollouts::update(std::span<const VersionedServer> servers, const dispatch::ActiveDaemons &daemons,
                      const std::optional<exchange::LoadSummary> &others, Time now)
{
    if (!this->bounds) {
        return;
    }
    this->setServers(servers);
    for (auto &[name, service] : this->services) {
        if (service.rollout) {
            this->setSituation(service, daemons, others, now);
            service.rollout->update(service.situation, now);
            this->logChanges(service);
        }
    }
}

std::vector<StatusWrite> Rollouts::dueWrites(Time now) const
{
    std::vector<StatusWrite> writes;
    for (const auto &[name, service] : this->services) {
        if (!service.rollout || !this->isStoreReachable) {
            continue;
        }
        const RolloutDecision decision = service.rollout->decide(service.situation, now);
        if (decision.state != RolloutState::Active) {
            writes.push_back({service.rollout->order(), decision.state, decision.reason});
        }
    }
    return writes;
}

void Rollouts::addTo(exchange::LoadSummary &load, Time now) const
{
    for (const auto &[name, service] : this->services) {
        if (service.rollout) {
            service.rollout->addTo(load, service.situation.oldInProgress, now);
        }
    }
    std::sort(load.rollouts.begin(), load.rollouts.end(), [](const auto &left, const auto &right) { return left.order < right.order; });
    std::sort(load.rolloutCounts.begin(), load.rolloutCounts.end(),
              [](const auto &left, const auto &right) { return left.key < right.key; });
}

std::vector<RolloutReport> Rollouts::reports() const
{
    std::vector<RolloutReport> reports;
    for (const auto &[name, service] : this->services) {
        if (service.rollout) {
            reports.push_back({service.rollout->order(), service.rollout->stats()});
        }
    }
    return reports;
}

}
