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

LoadSummary LoadExchange::sumOfDataCentre(const LoadSummary &own) const
{
    LoadSummary sum = own;
    for (const auto &[daemon, member] : this->members) {
        sum = sum.plus(member.received.load);
    }
    return sum;
}

void LoadExchange::tellFleet(const LoadSummary &total) const
{
    const Message message {MessageKind::Fleet, this->self.daemon, this->self.dataCentre, total};
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

void LoadExchange::tick(const LoadSummary &own, Time now)
{
    this->sentOwn = own;
    for (const Peer &relayPeer : this->relays.at(this->self.dataCentre)) {
        if (relayPeer.daemon != this->self.daemon) {
            this->send(relayPeer, {MessageKind::Member, this->self.daemon, this->self.dataCentre, own});
        }
    }
    std::erase_if(this->members, [now](const auto &entry) { return now - entry.second.received.at > memberFreshFor; });
    if (!this->relay) {
        this->summed.reset();
        return;
    }
    const LoadSummary inside = this->sumOfDataCentre(own);
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
    this->tellFleet(total);
    this->summed = Received {std::move(total), now};
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
        this->told = Received {message.load, now};
        break;
    }
}

std::optional<LoadSummary> LoadExchange::others(Time now) const
{
    const auto isFresh = [now](const std::optional<Received> &sum) { return sum && now - sum->at <= sumFreshFor; };
    // A relay that the others don't list yet sums up little, and is told more.
    const bool isTold = isFresh(this->told) && (!isFresh(this->summed) || this->told->load.daemons > this->summed->load.daemons);
    if (!isTold && !isFresh(this->summed)) {
        return std::nullopt;
    }
    return combine(isTold ? this->told->load : this->summed->load, this->sentOwn, -1.0);
}

}
