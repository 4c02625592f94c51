#include "process/exchange/load_exchange.h"

#include "process/rendezvous.h"

#include <algorithm>
#include <set>

namespace eelgrassnotch::process::exchange
{

namespace
{

using namespace std::chrono_literals;

/** Older loads of daemons are left out of sums. Spans several sending intervals, so that single lost datagrams have no effect. */
constexpr Duration maxMemberLoadAge = 900ms;
/** The same for sums of data centres and of the fleet. Longer, because these are forwarded once more before they arrive. */
constexpr Duration maxSumAge = 1500ms;
constexpr std::size_t aggregatorsPerDataCentre = 2;

/** Merges two lists that are sorted by id. */
template <class Item, class Id, class Combine>
std::vector<Item> merge(const std::vector<Item> &left, const std::vector<Item> &right, Id &&id, Combine &&combine)
{
    std::vector<Item> merged;
    merged.reserve(left.size() + right.size());
    auto l = left.begin();
    auto r = right.begin();
    while (l != left.end() || r != right.end()) {
        if (r == right.end() || (l != left.end() && id(*l) < id(*r))) {
            merged.push_back(*l++);
        } else if (l == left.end() || id(*r) < id(*l)) {
            Item absent;
            id(absent) = id(*r);
            merged.push_back(combine(absent, *r++));
        } else {
            merged.push_back(combine(*l++, *r++));
        }
    }
    return merged;
}

/** Adds the right side times the factor to the left side; results are clamped to zero. */
LoadSummary combine(const LoadSummary &left, const LoadSummary &right, double factor)
{
    const auto addCounts = [factor](std::uint32_t l, std::uint32_t r) {
        return static_cast<std::uint32_t>(std::max(0.0, static_cast<double>(l) + factor * static_cast<double>(r)));
    };
    LoadSummary sum;
    sum.daemons = addCounts(left.daemons, right.daemons);
    sum.age = std::max(left.age, right.age);
    sum.workspaces = merge(
        left.workspaces, right.workspaces, [](auto &load) -> auto & { return load.workspace; },
        [factor](const WorkspaceLoad &l, const WorkspaceLoad &r) {
            return WorkspaceLoad {l.workspace, std::max(0.0, l.demand + factor * r.demand), std::max(0.0, l.served + factor * r.served),
                                  std::max(0.0, l.offered + factor * r.offered)};
        });
    sum.backends = merge(
        left.backends, right.backends, [](auto &load) -> auto & { return load.backend; },
        [factor, addCounts](const BackendLoad &l, const BackendLoad &r) {
            return BackendLoad {l.backend, std::max(0.0, l.pendingPrefillTokens + factor * r.pendingPrefillTokens),
                                addCounts(l.inFlight, r.inFlight), std::max(0.0, l.committedTokens + factor * r.committedTokens)};
        });
    sum.limitDemands = merge(
        left.limitDemands, right.limitDemands, [](auto &load) -> auto & { return load.incarnation; },
        [factor](const LimitDemand &l, const LimitDemand &r) {
            return LimitDemand {l.incarnation, std::max(0.0, l.demand + factor * r.demand)};
        });
    sum.rollouts = merge(
        left.rollouts, right.rollouts, [](auto &progress) -> auto & { return progress.order; },
        [addCounts](const RolloutProgress &l, const RolloutProgress &r) {
            return RolloutProgress {l.order,
                                    std::max(l.age, r.age),
                                    std::max(l.longest, r.longest),
                                    addCounts(l.oldInProgress, r.oldInProgress),
                                    addCounts(l.emptying, r.emptying),
                                    addCounts(l.badVerdicts, r.badVerdicts)};
        });
    sum.rolloutCounts = merge(
        left.rolloutCounts, right.rolloutCounts, [](auto &counts) -> auto & { return counts.key; },
        [factor](const RolloutCounts &l, const RolloutCounts &r) {
            return RolloutCounts {l.key,
                                  l.failureScore + factor * r.failureScore,
                                  l.slownessScore + factor * r.slownessScore,
                                  std::max(0.0, l.targetAnswers + factor * r.targetAnswers),
                                  std::max(0.0, l.targetBad + factor * r.targetBad),
                                  std::max(0.0, l.oldAnswers + factor * r.oldAnswers),
                                  std::max(0.0, l.oldBad + factor * r.oldBad)};
        });
    return sum;
}

std::vector<Peer> chooseAggregators(DataCentreHandle dataCentre, std::vector<Peer> candidates)
{
    std::vector<DaemonHandle> handles;
    handles.reserve(candidates.size());
    for (const Peer &peer : candidates) {
        handles.push_back(peer.daemon);
    }
    const std::vector<DaemonHandle> chosen = chooseDaemons(dataCentre.id, handles, aggregatorsPerDataCentre);
    std::erase_if(candidates, [&chosen](const Peer &peer) { return std::find(chosen.begin(), chosen.end(), peer.daemon) == chosen.end(); });
    return candidates;
}

}

LoadSummary LoadSummary::plus(const LoadSummary &other) const
{
    return combine(*this, other, 1.0);
}

LoadExchange::LoadExchange(Peer ownIdentity, Send sendFunction)
    : self(std::move(ownIdentity))
    , send(std::move(sendFunction))
{
    this->setPeers({});
}

void LoadExchange::setPeers(std::vector<Peer> allPeers)
{
    std::erase_if(allPeers, [this](const Peer &peer) { return peer.daemon == this->self.daemon; });
    this->peers = std::move(allPeers);
    std::map<DataCentreHandle, std::vector<Peer>> byDataCentre {{this->self.dataCentre, {this->self}}};
    for (const Peer &peer : this->peers) {
        byDataCentre[peer.dataCentre].push_back(peer);
    }
    this->aggregators.clear();
    for (const auto &[dataCentre, candidates] : byDataCentre) {
        this->aggregators[dataCentre] = chooseAggregators(dataCentre, candidates);
    }
    const std::vector<Peer> &ownAggregators = this->aggregators.at(this->self.dataCentre);
    this->isAggregator = std::find(ownAggregators.begin(), ownAggregators.end(), this->self) != ownAggregators.end();
}

LoadSummary LoadExchange::TimedLoad::agedTo(Time now) const
{
    LoadSummary aged = this->load;
    aged.age += now - this->at;
    return aged;
}

LoadSummary LoadExchange::sumOfDataCentre(const LoadSummary &ownLoad, Time now) const
{
    LoadSummary sum = ownLoad;
    for (const auto &[daemon, member] : this->members) {
        sum = sum.plus(member.received.agedTo(now));
    }
    return sum;
}

void LoadExchange::sendFleetSum(const LoadSummary &fleetSum) const
{
    const Message message {MessageKind::Fleet, this->self.daemon, this->self.dataCentre, fleetSum, this->evidence, this->limits};
    std::set<DaemonHandle> listed;
    for (const Peer &peer : this->peers) {
        if (peer.dataCentre == this->self.dataCentre) {
            listed.insert(peer.daemon);
            this->send(peer, message);
        }
    }
    for (const auto &[daemon, member] : this->members) {
        if (!listed.contains(daemon)) {
            this->send({daemon, this->self.dataCentre, member.address}, message);
        }
    }
}

void LoadExchange::tick(const LoadSummary &ownLoad, Time now)
{
    this->lastSentLoad = ownLoad;
    for (const Peer &aggregator : this->aggregators.at(this->self.dataCentre)) {
        if (aggregator.daemon != this->self.daemon) {
            this->send(aggregator, {MessageKind::Member, this->self.daemon, this->self.dataCentre, ownLoad, this->evidence, this->limits});
        }
    }
    std::erase_if(this->members, [now](const auto &entry) { return now - entry.second.received.at > maxMemberLoadAge; });
    if (!this->isAggregator) {
        this->computedSum.reset();
        return;
    }
    const LoadSummary dataCentreSum = this->sumOfDataCentre(ownLoad, now);
    for (const auto &[dataCentre, remoteAggregators] : this->aggregators) {
        if (dataCentre == this->self.dataCentre) {
            continue;
        }
        for (const Peer &aggregator : remoteAggregators) {
            this->send(aggregator,
                       {MessageKind::DataCentre, this->self.daemon, this->self.dataCentre, dataCentreSum, this->evidence, this->limits});
        }
    }
    LoadSummary fleetSum = dataCentreSum;
    for (const auto &[dataCentre, received] : this->dataCentres) {
        if (now - received.at <= maxSumAge) {
            fleetSum = fleetSum.plus(received.agedTo(now));
        }
    }
    this->sendFleetSum(fleetSum);
    this->computedSum = TimedLoad {std::move(fleetSum), now};
}

void LoadExchange::receive(const Message &message, const std::string &from, Time now)
{
    switch (message.kind) {
    case MessageKind::Member:
        if (message.dataCentre == this->self.dataCentre && message.sender != this->self.daemon) {
            this->members[message.sender] = {{message.load, now}, from};
        }
        break;
    case MessageKind::DataCentre:
        this->dataCentres[message.dataCentre] = {message.load, now};
        break;
    case MessageKind::Fleet:
        this->receivedSum = TimedLoad {message.load, now};
        break;
    }
}

std::optional<LoadSummary> LoadExchange::loadOfOthers(Time now) const
{
    const auto isFresh = [now](const std::optional<TimedLoad> &sum) { return sum && now - sum->at <= maxSumAge; };
    // An aggregator that the other daemons don't list yet receives few of their loads, so another aggregator's sum covers more daemons.
    const bool useReceived
        = isFresh(this->receivedSum) && (!isFresh(this->computedSum) || this->receivedSum->load.daemons > this->computedSum->load.daemons);
    if (!useReceived && !isFresh(this->computedSum)) {
        return std::nullopt;
    }
    const TimedLoad &sum = useReceived ? *this->receivedSum : *this->computedSum;
    return combine(sum.agedTo(now), this->lastSentLoad, -1.0);
}

}
