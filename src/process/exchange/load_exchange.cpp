#include "process/exchange/load_exchange.h"

#include "process/rendezvous.h"

#include <algorithm>
#include <set>

namespace eelgrassnotch::process::exchange
{

namespace
{

using namespace std::chrono_literals;

/** A member's message counts in sums for this long: a few periods, so that single lost datagrams do no harm. */
constexpr Duration memberFreshFor = 900ms;
/** The same for the sums of other data centres, which are a step older. */
constexpr Duration sumFreshFor = 1500ms;
/** Relays of each data centre. */
constexpr std::size_t relayCount = 2;

/** Merges two lists whose ids ascend. */
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

/** Sum, with the right side weighed by a factor; nothing falls below zero. */
LoadSummary combine(const LoadSummary &left, const LoadSummary &right, double factor)
{
    const auto addCounts = [factor](std::uint32_t l, std::uint32_t r) {
        return static_cast<std::uint32_t>(std::max(0.0, static_cast<double>(l) + factor * static_cast<double>(r)));
    };
    LoadSummary sum;
    sum.daemons = addCounts(left.daemons, right.daemons);
    sum.workspaces = merge(
        left.workspaces, right.workspaces, [](auto &load) -> auto & { return load.workspace; },
        [factor](const WorkspaceLoad &l, const WorkspaceLoad &r) {
            return WorkspaceLoad {l.workspace, std::max(0.0, l.asked + factor * r.asked), std::max(0.0, l.served + factor * r.served)};
        });
    sum.backends = merge(
        left.backends, right.backends, [](auto &load) -> auto & { return load.backend; },
        [factor, addCounts](const BackendLoad &l, const BackendLoad &r) {
            return BackendLoad {l.backend, std::max(0.0, l.unreadTokens + factor * r.unreadTokens), addCounts(l.inFlight, r.inFlight)};
        });
    return sum;
}

}

LoadSummary LoadSummary::plus(const LoadSummary &other) const
{
    return combine(*this, other, 1.0);
}

LoadExchange::LoadExchange(Peer ownIdentity, Send sendHook)
    : self(std::move(ownIdentity))
    , send(std::move(sendHook))
{
}

void LoadExchange::setPeers(std::vector<Peer> allPeers)
{
    std::erase_if(allPeers, [this](const Peer &peer) { return peer.daemon == this->self.daemon; });
    this->peers = std::move(allPeers);
}

std::vector<Peer> LoadExchange::relaysOf(DataCentreHandle dataCentre) const
{
    std::vector<Peer> inside;
    std::copy_if(this->peers.begin(), this->peers.end(), std::back_inserter(inside),
                 [dataCentre](const Peer &peer) { return peer.dataCentre == dataCentre; });
    if (this->self.dataCentre == dataCentre) {
        inside.push_back(this->self);
    }
    std::vector<DaemonHandle> handles;
    handles.reserve(inside.size());
    for (const Peer &peer : inside) {
        handles.push_back(peer.daemon);
    }
    const std::vector<DaemonHandle> chosen = chooseDaemons(dataCentre.id, handles, relayCount);
    std::erase_if(inside, [&chosen](const Peer &peer) { return std::find(chosen.begin(), chosen.end(), peer.daemon) == chosen.end(); });
    return inside;
}

bool LoadExchange::isRelay() const
{
    const auto relays = this->relaysOf(this->self.dataCentre);
    return std::any_of(relays.begin(), relays.end(), [this](const Peer &relay) { return relay.daemon == this->self.daemon; });
}

LoadSummary LoadExchange::sumOfDataCentre(const LoadSummary &own, Time now) const
{
    LoadSummary sum = own;
    for (const auto &[daemon, received] : this->members) {
        if (now - received.at <= memberFreshFor) {
            sum = sum.plus(received.load);
        }
    }
    return sum;
}

void LoadExchange::tick(const LoadSummary &own, Time now)
{
    this->sentOwn = own;
    for (const Peer &relay : this->relaysOf(this->self.dataCentre)) {
        if (relay.daemon != this->self.daemon) {
            this->send(relay, {MessageKind::Member, this->self.daemon, this->self.dataCentre, own});
        }
    }
    if (!this->isRelay()) {
        return;
    }
    const LoadSummary inside = this->sumOfDataCentre(own, now);
    std::set<DataCentreHandle> others;
    for (const Peer &peer : this->peers) {
        if (peer.dataCentre != this->self.dataCentre) {
            others.insert(peer.dataCentre);
        }
    }
    for (const DataCentreHandle dataCentre : others) {
        for (const Peer &relay : this->relaysOf(dataCentre)) {
            this->send(relay, {MessageKind::DataCentre, this->self.daemon, this->self.dataCentre, inside});
        }
    }
    LoadSummary total = inside;
    for (const auto &[dataCentre, received] : this->dataCentres) {
        if (now - received.at <= sumFreshFor) {
            total = total.plus(received.load);
        }
    }
    this->fleet = Received {total, now};
    for (const Peer &peer : this->peers) {
        if (peer.dataCentre == this->self.dataCentre) {
            this->send(peer, {MessageKind::Fleet, this->self.daemon, this->self.dataCentre, total});
        }
    }
}

void LoadExchange::receive(const Message &message, Time now)
{
    switch (message.kind) {
    case MessageKind::Member:
        this->members[message.sender] = {message.load, now};
        break;
    case MessageKind::DataCentre:
        this->dataCentres[message.dataCentre] = {message.load, now};
        break;
    case MessageKind::Fleet:
        if (!this->isRelay()) {
            this->fleet = Received {message.load, now};
        }
        break;
    }
}

std::optional<LoadSummary> LoadExchange::others(Time now) const
{
    if (!this->fleet || now - this->fleet->at > sumFreshFor) {
        return std::nullopt;
    }
    return combine(this->fleet->load, this->sentOwn, -1.0);
}

}
