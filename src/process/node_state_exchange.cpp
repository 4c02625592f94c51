/** @file State that daemons exchange: heartbeats, members, configuration, VM list, digests. */

#include "process/node.h"

#include "process/rendezvous.h"
#include "process/units.h"
#include "version/vm_list.h"

#include <algorithm>

namespace eelgrassnotch::process
{

using connection::wire::FrameT;
using connection::wire::Heartbeat;

namespace
{

constexpr std::size_t maxTrackedHeartbeats = 8;
/** Daemons of other data centres get every n-th heartbeat only. */
constexpr int remoteHeartbeatDivisor = 4;

}

void Node::receiveSharedState(DaemonHandle from, const FrameT &frame, Time receivedAt)
{
    for (const auto &member : frame.members) {
        this->members.mergeMember(*member, receivedAt);
    }
    if (frame.vm_list && frame.vm_list->version > this->vmListVersion) {
        std::vector<DaemonIdentity> listed;
        for (const auto &member : frame.vm_list->members) {
            listed.push_back({member->name, member->address, member->port, DataCentreHandle {member->data_centre}, 0});
        }
        this->onVmList(frame.vm_list->version, listed, receivedAt);
    }
    if (frame.configuration) {
        this->onConfiguration(frame.configuration->version, frame.configuration->document, receivedAt);
    }
    if (frame.configuration_wanted) {
        this->sendConfiguration(from);
    }
    for (const auto &digest : frame.digests) {
        this->onDigest(*digest, receivedAt);
    }
}

void Node::onHeartbeat(DaemonHandle from, const Heartbeat &heartbeat, const std::vector<std::uint32_t> &leasedServices, Time receivedAt)
{
    this->members.recordHeartbeat(from, heartbeat);
    const bool isFirst = this->peers[from].lastSequenceReceived == 0;
    this->peers[from].lastSequenceReceived = heartbeat.sequence();
    this->localRouter.onHeartbeat(from, std::chrono::milliseconds(heartbeat.lease_ms()), receivedAt);
    this->updateLeases(from, heartbeat.echo(), leasedServices, receivedAt);
    this->reconcileState(from, heartbeat, receivedAt);
    if (isFirst && !this->localRouter.renewLeases(from).empty()) {
        this->sendHeartbeat(from, receivedAt);
    }
}

void Node::updateLeases(DaemonHandle from, std::uint32_t echo, const std::vector<std::uint32_t> &leasedServices, Time receivedAt)
{
    const PeerState &peer = this->peers[from];
    const auto echoed = peer.heartbeatSentAt.find(echo);
    for (const std::uint32_t service : leasedServices) {
        if (!this->dispatcherFor(ServiceHandle {service}, receivedAt).isRegistered(from)) {
            this->frameFor(from).inventories_wanted.push_back(service);
        }
    }
    for (auto &[service, dispatcher] : this->localDispatchers) {
        const bool isLeased = std::find(leasedServices.begin(), leasedServices.end(), service.id) != leasedServices.end();
        if (isLeased && echoed != peer.heartbeatSentAt.end()) {
            dispatcher->renewLease(from, echoed->second + this->leaseDurationFor(from), receivedAt);
        } else if (!isLeased && dispatcher->hasRouter(from)) {
            dispatcher->removeRouter(from, Duration {0}, receivedAt);
        }
    }
}

void Node::reconcileState(DaemonHandle from, const Heartbeat &heartbeat, Time receivedAt)
{
    if (heartbeat.configuration() > this->configurationState.version()) {
        this->frameFor(from).configuration_wanted = true;
    }
    const Member *member = this->members.find(from);
    if (member == nullptr || this->isRemote(from)) {
        return;
    }
    if (heartbeat.members_hash() != this->members.membersHash()) {
        this->frameFor(from).members = this->members.toMessages(receivedAt, true);
    }
    if (heartbeat.vm_list() < this->vmListVersion) {
        this->frameFor(from).vm_list = this->makeVmListMessage();
    } else if (heartbeat.vm_list() == this->vmListVersion && this->vmListVersion != 0) {
        const Time confirmedAt = receivedAt - std::chrono::milliseconds(heartbeat.vm_list_age_ms());
        if (confirmedAt > this->vmListConfirmedAt) {
            this->vmListConfirmedAt = confirmedAt;
            this->members.applyVmList(this->vmList, confirmedAt);
        }
    }
}

void Node::sendHeartbeats(Time sentAt)
{
    const bool isRemoteRound = this->heartbeatRound++ % remoteHeartbeatDivisor == 0;
    for (const DaemonHandle peer : this->heartbeatPeers(sentAt)) {
        if (isRemoteRound || !this->isRemote(peer)) {
            this->sendHeartbeat(peer, sentAt);
        }
    }
    const DaemonHandle self = this->members.self().handle();
    this->localRouter.onHeartbeat(self, this->members.leaseDuration(), sentAt);
    const std::vector<std::uint32_t> services = this->localRouter.renewLeases(self);
    for (const std::uint32_t service : services) {
        if (const auto found = this->localDispatchers.find(ServiceHandle {service}); found != this->localDispatchers.end()) {
            found->second->renewLease(self, sentAt + this->members.leaseDuration(), sentAt);
        }
    }
}

void Node::sendHeartbeat(DaemonHandle peer, Time sentAt)
{
    PeerState &state = this->peers[peer];
    const std::uint32_t sequence = ++this->heartbeatSequence;
    const auto version = static_cast<std::uint32_t>(this->configurationState.version());
    const auto listVersion = static_cast<std::uint32_t>(this->vmListVersion);
    constexpr std::uint32_t maxAge = 0xffff;
    const auto listAge = static_cast<std::uint16_t>(std::min(maxAge, toMilliseconds(sentAt - this->vmListConfirmedAt)));
    const auto lease = static_cast<std::uint16_t>(toMilliseconds(this->leaseDurationFor(peer)));
    FrameT &frame = this->frameFor(peer);
    frame.heartbeat = std::make_unique<Heartbeat>(sequence, state.lastSequenceReceived, version, this->members.membersHash(), listVersion,
                                                  listAge, lease, this->members.isSelfStarted(), this->stopping);
    frame.obeys = this->localRouter.renewLeases(peer);
    state.heartbeatSentAt[sequence] = sentAt;
    while (state.heartbeatSentAt.size() > maxTrackedHeartbeats) {
        state.heartbeatSentAt.erase(state.heartbeatSentAt.begin());
    }
}

bool Node::isRemote(DaemonHandle peer) const
{
    const Member *member = this->members.find(peer);
    return member != nullptr && member->identity.dataCentre != this->members.self().dataCentre;
}

/** Routers of other data centres are not counted when slots are divided, so their leases may be longer, which saves heartbeats. */
Duration Node::leaseDurationFor(DaemonHandle peer) const
{
    return this->isRemote(peer) ? this->members.leaseDuration() * remoteHeartbeatDivisor : this->members.leaseDuration();
}

std::set<DaemonHandle> Node::heartbeatPeers(Time) const
{
    std::set<DaemonHandle> targets = this->localRouter.remoteDispatchers();
    for (const DaemonHandle peer : this->members.localPeers()) {
        targets.insert(peer);
    }
    for (const auto &[service, dispatcher] : this->localDispatchers) {
        for (const DaemonHandle router : dispatcher->routerHandles()) {
            targets.insert(router);
        }
    }
    targets.erase(this->members.self().handle());
    return targets;
}

void Node::onConfiguration(std::uint64_t version, const std::string &document, Time offeredAt)
{
    try {
        if (this->configurationState.offer(version, document)) {
            this->applyConfiguration(offeredAt);
        }
    } catch (const version::ConfigurationError &error) {
        ++this->counters.invalidConfigurations;
        this->log("configuration_invalid", {{"version", std::to_string(version)}, {"error", error.what()}});
    }
}

void Node::applyConfiguration(Time)
{
    const version::Configuration &configuration = *this->configurationState.get();
    std::set<ServiceHandle> services;
    for (const auto &[handle, service] : configuration.services) {
        services.insert(handle);
    }
    this->localRouter.setServices(services);
    for (auto &[service, dispatcher] : this->localDispatchers) {
        dispatcher->configure(configuration);
    }
    this->configurationChanged = true;
    for (const DaemonHandle peer : this->members.localPeers()) {
        if (this->isPlatformWatcher(this->now)) {
            this->sendConfiguration(peer);
        }
    }
    this->log("configuration_in_force", {{"version", std::to_string(configuration.version)}});
}

void Node::sendConfiguration(DaemonHandle peer)
{
    if (this->configurationState.version() == 0) {
        return;
    }
    auto message = std::make_unique<connection::wire::ConfigurationT>();
    message->version = this->configurationState.version();
    message->document = this->configurationState.document();
    this->frameFor(peer).configuration = std::move(message);
}

bool Node::isPlatformWatcher(Time at) const
{
    const std::vector<DaemonHandle> candidates = this->members.candidates(at);
    const std::vector<DaemonHandle> watchers = chooseDaemons(platformWatcherRole, candidates, config::relaysPerDataCentre);
    return std::find(watchers.begin(), watchers.end(), this->members.self().handle()) != watchers.end();
}

std::array<WatchedObject, 2> Node::watchedObjects()
{
    WatchedObject configuration;
    configuration.key = configurationKey;
    configuration.knownVersion = [this] { return this->configurationState.version(); };
    configuration.onAnswer = [this](const StoreAnswer &answer) { this->onConfiguration(answer.version, answer.value, this->now); };
    WatchedObject list;
    list.key = vmListKey;
    list.knownVersion = [this] { return this->vmListVersion; };
    list.onAnswer = [this](const StoreAnswer &answer) { this->onVmListDocument(answer.version, answer.value); };
    return {configuration, list};
}

void Node::onVmListDocument(std::uint64_t version, const std::string &document)
{
    try {
        const bool unchanged = version == this->vmListVersion;
        this->onVmList(version, unchanged ? this->vmList : version::parseVmList(document), this->now);
    } catch (const version::ConfigurationError &error) {
        ++this->counters.invalidConfigurations;
        this->log("vm_list_invalid", {{"error", error.what()}});
    }
}

void Node::onVmList(std::uint64_t version, const std::vector<DaemonIdentity> &listed, Time listedAt)
{
    const bool isNew = version != this->vmListVersion;
    this->vmListVersion = version;
    if (isNew) {
        this->vmList = listed;
    }
    this->vmListConfirmedAt = listedAt;
    this->members.applyVmList(listed, listedAt);
    if (!isNew || !this->isPlatformWatcher(listedAt)) {
        return;
    }
    for (const DaemonHandle peer : this->members.localPeers()) {
        this->frameFor(peer).vm_list = this->makeVmListMessage();
    }
}

std::unique_ptr<connection::wire::VmListT> Node::makeVmListMessage() const
{
    auto list = std::make_unique<connection::wire::VmListT>();
    list->version = this->vmListVersion;
    for (const DaemonIdentity &identity : this->vmList) {
        auto member = std::make_unique<connection::wire::MemberT>();
        member->name = identity.name;
        member->address = identity.address;
        member->port = identity.port;
        member->data_centre = identity.dataCentre.id;
        list->members.push_back(std::move(member));
    }
    return list;
}

void Node::sendDigests(Time sentAt)
{
    if (!this->configurationState.get()) {
        return;
    }
    const DigestSender sender = [this](DaemonHandle receiver, std::unique_ptr<connection::wire::DigestT> digest) {
        this->frameFor(receiver).digests.push_back(std::move(digest));
    };
    for (auto &[service, dispatcher] : this->localDispatchers) {
        if (dispatcher->hasRouters()) {
            this->digests.send(*dispatcher, *this->configurationState.get(), sender, sentAt);
        }
    }
}

void Node::onDigest(const connection::wire::DigestT &digest, Time receivedAt)
{
    const auto found = this->localDispatchers.find(ServiceHandle {digest.service});
    const bool isDispatchedHere = found != this->localDispatchers.end() && found->second->hasRouters();
    if (!isDispatchedHere) {
        this->forwardDigest(digest);
    } else if (this->configurationState.get()) {
        this->digests.receive(*found->second, digest, *this->configurationState.get(), receivedAt);
    }
}

void Node::forwardDigest(const connection::wire::DigestT &digest)
{
    const DaemonHandle dispatcher = this->assignment.dispatcherOf(ServiceHandle {digest.service});
    const bool canForward = !digest.forwarded && dispatcher.isValid() && dispatcher != this->members.self().handle();
    if (!canForward) {
        return;
    }
    auto copy = std::make_unique<connection::wire::DigestT>(digest);
    copy->forwarded = true;
    this->frameFor(dispatcher).digests.push_back(std::move(copy));
}

}
