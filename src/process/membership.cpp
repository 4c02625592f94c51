#include "process/membership.h"

#include "eelgrassnotch/config.h"

#include <algorithm>

namespace eelgrassnotch::process
{

namespace
{

/** The heartbeat interval grows by this much for each member of a data centre, which bounds the traffic. */
constexpr Duration heartbeatIntervalPerMember = std::chrono::milliseconds(20);
constexpr Duration maxHeartbeatInterval = std::chrono::milliseconds(1000);
/** Suspect timeout and lease duration, in heartbeat intervals. */
constexpr int suspectTimeoutIntervals = 3;
constexpr int leaseIntervals = 4;

}

Membership::Membership(DaemonIdentity self)
    : selfIdentity(std::move(self))
{
}

bool Membership::recordContact(const DaemonIdentity &identity, Time now)
{
    const DaemonHandle handle = identity.handle();
    if (handle == this->selfIdentity.handle()) {
        return false;
    }
    const auto [position, isNew] = this->members.try_emplace(handle);
    Member &member = position->second;
    const bool hasRestarted = !isNew && member.identity.incarnation != 0 && member.identity.incarnation != identity.incarnation;
    if (hasRestarted) {
        member.hasStarted = false;
        member.draining = false;
    }
    if (isNew) {
        member.learnedAt = now;
    }
    member.identity = identity;
    member.lastSeen = now;
    member.isConnectionRefused = false;
    if (isNew) {
        this->updateLocalPeerCount();
    }
    this->departed.erase(handle);
    this->excludedMembers.erase(handle);
    return hasRestarted;
}

void Membership::recordHeartbeat(DaemonHandle member, const connection::wire::Heartbeat &heartbeat)
{
    if (const auto found = this->members.find(member); found != this->members.end()) {
        found->second.hasStarted = heartbeat.settled();
        found->second.draining = heartbeat.draining();
    }
}

void Membership::mergeMember(const DaemonIdentity &identity, Time now)
{
    const DaemonHandle handle = identity.handle();
    if (handle == this->selfIdentity.handle() || this->departed.contains(handle)) {
        return;
    }
    const auto [position, isNew] = this->members.try_emplace(handle);
    Member &member = position->second;
    if (isNew) {
        member.learnedAt = now;
        member.identity = identity;
        this->updateLocalPeerCount();
        return;
    }
    const bool hasMoved = member.identity.address != identity.address || member.identity.port != identity.port;
    if (hasMoved && !this->isLive(handle, now)) {
        member.identity.address = identity.address;
        member.identity.port = identity.port;
        member.isConnectionRefused = false;
    }
}

void Membership::mergeMember(const connection::wire::MemberT &member, Time now)
{
    const DataCentreHandle dataCentre {member.data_centre};
    this->mergeMember(DaemonIdentity {member.name, member.address, member.port, dataCentre, 0}, now);
    const auto found = this->members.find(handleOf<DaemonHandle>(member.name));
    if (found == this->members.end() || found->second.lastSeen) {
        return;
    }
    found->second.hasStarted = member.settled;
}

void Membership::applyVmList(const std::vector<DaemonIdentity> &vms, Time now)
{
    this->vmListConfirmedAt = now;
    this->listedVms.clear();
    for (const DaemonIdentity &identity : vms) {
        this->listedVms.insert(identity.handle());
        this->mergeMember(identity, now);
        if (const auto found = this->members.find(identity.handle()); found != this->members.end()) {
            found->second.wasListed = true;
        }
    }
}

void Membership::onConnectionRefused(DaemonHandle member)
{
    if (const auto found = this->members.find(member); found != this->members.end()) {
        found->second.isConnectionRefused = true;
    }
}

void Membership::onLeave(DaemonHandle member)
{
    this->members.erase(member);
    this->departed.insert(member);
    this->updateLocalPeerCount();
}

MembershipChange Membership::advance(Time now)
{
    const Quorum quorum = this->countQuorum(now);
    this->excludeSilentMembers(quorum, now);
    MembershipChange change;
    for (const auto &[handle, member] : this->members) {
        if (this->isDroppedFromVmList(member, now)) {
            change.lost.push_back(handle);
        }
    }
    for (const DaemonHandle handle : change.lost) {
        this->members.erase(handle);
        this->departed.insert(handle);
    }
    this->updateLocalPeerCount();
    if (quorum.hasHalf()) {
        this->minoritySince.reset();
    } else if (!this->minoritySince) {
        this->minoritySince = now;
    }
    return change;
}

Membership::Quorum Membership::countQuorum(Time now) const
{
    Quorum quorum;
    for (const DaemonHandle handle : this->quorumMembers()) {
        ++quorum.total;
        quorum.live += this->isLive(handle, now) ? 1 : 0;
    }
    return quorum;
}

/** A majority no longer counts members that have been silent for config::reclaimAfter, and so uses their slots. */
void Membership::excludeSilentMembers(const Quorum &quorum, Time now)
{
    if (!quorum.hasMajority()) {
        return;
    }
    for (const auto &[handle, member] : this->members) {
        if (now - this->silentSince(member) >= config::reclaimAfter) {
            this->excludedMembers.insert(handle);
        }
    }
}

bool Membership::isDroppedFromVmList(const Member &member, Time now) const
{
    const bool isListFresh = this->vmListConfirmedAt && now - *this->vmListConfirmedAt <= config::vmListFreshFor;
    const bool isExpectedInList = member.wasListed || now - member.learnedAt >= config::vmListLag;
    const bool isSilent = now - this->silentSince(member) >= this->suspectTimeout();
    return isListFresh && isExpectedInList && isSilent && !this->listedVms.contains(member.identity.handle());
}

void Membership::setSelfState(bool started, bool draining)
{
    this->selfStarted = started;
    this->selfDraining = draining;
}

std::vector<DaemonHandle> Membership::candidates(Time now) const
{
    std::vector<DaemonHandle> eligible;
    if (this->selfStarted && !this->selfDraining) {
        eligible.push_back(this->selfIdentity.handle());
    }
    for (const auto &[handle, member] : this->members) {
        if (this->isLocal(member) && member.hasStarted && !member.draining && !member.isConnectionRefused && this->isLive(handle, now)) {
            eligible.push_back(handle);
        }
    }
    return eligible;
}

std::vector<DaemonHandle> Membership::quorumMembers() const
{
    std::vector<DaemonHandle> handles;
    if (this->selfStarted) {
        handles.push_back(this->selfIdentity.handle());
    }
    for (const auto &[handle, member] : this->members) {
        if (this->isLocal(member) && this->countsForQuorum(member)) {
            handles.push_back(handle);
        }
    }
    std::sort(handles.begin(), handles.end());
    return handles;
}

bool Membership::mustStopGranting(Time now) const
{
    return this->minoritySince && now - *this->minoritySince >= config::minorityYieldAfter;
}

bool Membership::isLive(DaemonHandle member, Time now) const
{
    if (member == this->selfIdentity.handle()) {
        return true;
    }
    const auto found = this->members.find(member);
    return found != this->members.end() && found->second.lastSeen && now - *found->second.lastSeen < this->suspectTimeout();
}

std::vector<DaemonHandle> Membership::daemonsOf(DataCentreHandle dataCentre, Time now) const
{
    std::vector<DaemonHandle> reachable;
    std::vector<DaemonHandle> unreachable;
    for (const auto &[handle, member] : this->members) {
        if (member.identity.dataCentre != dataCentre) {
            continue;
        }
        const bool isSilent = member.lastSeen && !this->isLive(handle, now);
        (member.isConnectionRefused || isSilent ? unreachable : reachable).push_back(handle);
    }
    reachable.insert(reachable.end(), unreachable.begin(), unreachable.end());
    return reachable;
}

std::set<DataCentreHandle> Membership::dataCentres() const
{
    std::set<DataCentreHandle> found;
    for (const auto &[handle, member] : this->members) {
        found.insert(member.identity.dataCentre);
    }
    return found;
}

const Member *Membership::find(DaemonHandle member) const
{
    const auto found = this->members.find(member);
    return found == this->members.end() ? nullptr : &found->second;
}

std::vector<DaemonHandle> Membership::localPeers() const
{
    std::vector<DaemonHandle> peers;
    for (const auto &[handle, member] : this->members) {
        if (this->isLocal(member)) {
            peers.push_back(handle);
        }
    }
    return peers;
}

std::uint32_t Membership::membersHash() const
{
    std::uint32_t hash = this->selfStarted ? this->selfIdentity.handle().id : 0;
    for (const auto &[handle, member] : this->members) {
        hash += this->isLocal(member) && member.hasStarted ? handle.id : 0;
    }
    return hash;
}

std::vector<std::unique_ptr<connection::wire::MemberT>> Membership::toMessages(Time now, bool localOnly) const
{
    std::vector<std::unique_ptr<connection::wire::MemberT>> described;
    for (const auto &[handle, member] : this->members) {
        if (localOnly && !this->isLocal(member)) {
            continue;
        }
        auto entry = std::make_unique<connection::wire::MemberT>();
        entry->name = member.identity.name;
        entry->address = member.identity.address;
        entry->port = member.identity.port;
        entry->data_centre = member.identity.dataCentre.id;
        entry->incarnation = member.identity.incarnation;
        const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->silentSince(member));
        entry->heard_ms_ago = static_cast<std::uint32_t>(std::max<std::int64_t>(0, silence.count()));
        entry->settled = member.hasStarted;
        entry->draining = member.draining;
        described.push_back(std::move(entry));
    }
    return described;
}

Duration Membership::heartbeatInterval() const
{
    return std::clamp(heartbeatIntervalPerMember * (this->localPeerCount + 1), config::heartbeatPeriod, maxHeartbeatInterval);
}

void Membership::updateLocalPeerCount()
{
    this->localPeerCount
        = std::count_if(this->members.begin(), this->members.end(), [this](const auto &entry) { return this->isLocal(entry.second); });
}

Duration Membership::suspectTimeout() const
{
    return this->heartbeatInterval() * suspectTimeoutIntervals;
}

Duration Membership::leaseDuration() const
{
    return this->heartbeatInterval() * leaseIntervals;
}

bool Membership::isLocal(const Member &member) const
{
    return member.identity.dataCentre == this->selfIdentity.dataCentre;
}

bool Membership::countsForQuorum(const Member &member) const
{
    if (member.isConnectionRefused || this->excludedMembers.contains(member.identity.handle())) {
        return false;
    }
    return member.hasStarted || !member.lastSeen;
}

Time Membership::silentSince(const Member &member) const
{
    return member.lastSeen.value_or(member.learnedAt);
}

}
