#include "process/exchange/load_exchange.h"

#include "process/rendezvous.h"

#include <algorithm>

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

std::vector<Peer> chooseRelays(DataCentreHandle dataCentre, std::vector<Peer> inside)
{
    std::vector<DaemonHandle> handles;
    handles.reserve(inside.size());
    for (const Peer &peer : inside) {
        handles.push_back(peer.daemon);
    }
    const std::vector<DaemonHandle> chosen = chooseDaemons(dataCentre.id, handles, relayCount);
    std::erase_if(inside, [&chosen](const Peer &peer) { return std::find(chosen.begin(), chosen.end(), peer.daemon) == chosen.end(); });
    return inside;
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
    this->relays.clear();
    for (const auto &[dataCentre, inside] : byDataCentre) {
        this->relays[dataCentre] = chooseRelays(dataCentre, inside);
    }
    const std::vector<Peer> &own = this->relays.at(this->self.dataCentre);
    this->relay = std::find(own.begin(), own.end(), this->self) != own.end();
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
    for (const Peer &relayPeer : this->relays.at(this->self.dataCentre)) {
        if (relayPeer.daemon != this->self.daemon) {
            this->send(relayPeer, {MessageKind::Member, this->self.daemon, this->self.dataCentre, own});
        }
    }
    if (!this->relay) {
        return;
    }
    const LoadSummary inside = this->sumOfDataCentre(own, now);
    for (const auto &[dataCentre, itsRelays] : this->relays) {
        if (dataCentre == this->self.dataCentre) {
            continue;
        }
        for (const Peer &relayPeer : itsRelays) {
            this->send(relayPeer, {MessageKind::DataCentre, this->self.daemon, this->self.dataCentre, inside});
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
        if (!this->relay) {
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
