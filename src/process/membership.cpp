#include "process/membership.h"

#include "eelgrassnotch/config.h"

#include <algorithm>

namespace eelgrassnotch::process
{

namespace
{

/** Growth of the heartbeat period with the members of a data centre, so that the traffic stays bounded. */
constexpr Duration periodPerMember = std::chrono::milliseconds(20);
constexpr Duration longestPeriod = std::chrono::milliseconds(1000);
/** Silence and lease, in heartbeat periods. */
constexpr int periodsUntilSuspect = 3;
constexpr int periodsOfLease = 4;

}

Membership::Membership(DaemonIdentity self)
    : me(std::move(self))
{
}

bool Membership::heard(const DaemonIdentity &identity, Time now)
{
    const DaemonHandle handle = identity.handle();
    if (handle == this->me.handle()) {
        return false;
    }
    const auto [position, isNew] = this->members.try_emplace(handle);
    Member &member = position->second;
    const bool restarted = !isNew && member.identity.incarnation != 0 && member.identity.incarnation != identity.incarnation;
    if (restarted) {
        member.settled = false;
        member.draining = false;
    }
    if (isNew) {
        member.known = now;
    }
    member.identity = identity;
    member.lastHeard = now;
    member.refused = false;
    if (isNew) {
        this->countOwn();
    }
    this->departed.erase(handle);
    this->reclaimed.erase(handle);
    return restarted;
}

void Membership::recordHeartbeat(DaemonHandle member, const connection::wire::Heartbeat &heartbeat)
{
    if (const auto found = this->members.find(member); found != this->members.end()) {
        found->second.settled = heartbeat.settled();
        found->second.draining = heartbeat.draining();
    }
}

void Membership::learn(const DaemonIdentity &identity, Time now)
{
    const DaemonHandle handle = identity.handle();
    if (handle == this->me.handle() || this->departed.contains(handle)) {
        return;
    }
    const auto [position, isNew] = this->members.try_emplace(handle);
    Member &member = position->second;
    if (isNew) {
        member.known = now;
        member.identity = identity;
        this->countOwn();
        return;
    }
    const bool moved = member.identity.address != identity.address || member.identity.port != identity.port;
    if (moved && !this->isLive(handle, now)) {
        member.identity.address = identity.address;
        member.identity.port = identity.port;
        member.refused = false;
    }
}

void Membership::learn(const connection::wire::MemberT &member, Time now)
{
    const DataCentreHandle dataCentre {member.data_centre};
    this->learn(DaemonIdentity {member.name, member.address, member.port, dataCentre, 0}, now);
    const auto found = this->members.find(handleOf<DaemonHandle>(member.name));
    if (found == this->members.end() || found->second.lastHeard) {
        return;
    }
    found->second.settled = member.settled;
}

void Membership::vmListArrived(const std::vector<DaemonIdentity> &listed, Time now)
{
    this->vmListAt = now;
    this->platformListed.clear();
    for (const DaemonIdentity &identity : listed) {
        this->platformListed.insert(identity.handle());
        this->learn(identity, now);
        if (const auto found = this->members.find(identity.handle()); found != this->members.end()) {
            found->second.listed = true;
        }
    }
}

void Membership::connectionRefused(DaemonHandle member)
{
    if (const auto found = this->members.find(member); found != this->members.end()) {
        found->second.refused = true;
    }
}

void Membership::left(DaemonHandle member)
{
    this->members.erase(member);
    this->departed.insert(member);
    this->countOwn();
}

MembershipChange Membership::advance(Time now)
{
    const Quorum quorum = this->countQuorum(now);
    this->reclaimSilent(quorum, now);
    MembershipChange change;
    for (const auto &[handle, member] : this->members) {
        if (this->isDroppedByPlatform(member, now)) {
            change.lost.push_back(handle);
        }
    }
    for (const DaemonHandle handle : change.lost) {
        this->members.erase(handle);
        this->departed.insert(handle);
    }
    this->countOwn();
    if (quorum.isHalf()) {
        this->minoritySince.reset();
    } else if (!this->minoritySince) {
        this->minoritySince = now;
    }
    return change;
}

Membership::Quorum Membership::countQuorum(Time now) const
{
    Quorum quorum;
    for (const DaemonHandle handle : this->counted()) {
        ++quorum.counted;
        quorum.heard += this->isLive(handle, now) ? 1 : 0;
    }
    return quorum;
}

/** A majority takes over the shares of members that have been silent for long. */
void Membership::reclaimSilent(const Quorum &quorum, Time now)
{
    if (!quorum.isMajority()) {
        return;
    }
    for (const auto &[handle, member] : this->members) {
        if (now - this->silentSince(member) >= config::reclaimAfter) {
            this->reclaimed.insert(handle);
        }
    }
}

bool Membership::isDroppedByPlatform(const Member &member, Time now) const
{
    const bool listIsFresh = this->vmListAt && now - *this->vmListAt <= config::vmListFreshFor;
    const bool listKnowsIt = member.listed || now - member.known >= config::vmListLag;
    const bool silent = now - this->silentSince(member) >= this->suspectAfter();
    return listIsFresh && listKnowsIt && silent && !this->platformListed.contains(member.identity.handle());
}

void Membership::setSelfState(bool settled, bool draining)
{
    this->selfSettled = settled;
    this->selfDraining = draining;
}

std::vector<DaemonHandle> Membership::candidates(Time now) const
{
    std::vector<DaemonHandle> live;
    if (this->selfSettled && !this->selfDraining) {
        live.push_back(this->me.handle());
    }
    for (const auto &[handle, member] : this->members) {
        if (this->isOwn(member) && member.settled && !member.draining && !member.refused && this->isLive(handle, now)) {
            live.push_back(handle);
        }
    }
    return live;
}

std::vector<DaemonHandle> Membership::counted() const
{
    std::vector<DaemonHandle> handles;
    if (this->selfSettled) {
        handles.push_back(this->me.handle());
    }
    for (const auto &[handle, member] : this->members) {
        if (this->isOwn(member) && this->isCounted(member)) {
            handles.push_back(handle);
        }
    }
    std::sort(handles.begin(), handles.end());
    return handles;
}

bool Membership::mustYield(Time now) const
{
    return this->minoritySince && now - *this->minoritySince >= config::minorityYieldAfter;
}

bool Membership::isLive(DaemonHandle member, Time now) const
{
    if (member == this->me.handle()) {
        return true;
    }
    const auto found = this->members.find(member);
    return found != this->members.end() && found->second.lastHeard && now - *found->second.lastHeard < this->suspectAfter();
}

std::vector<DaemonHandle> Membership::daemonsOf(DataCentreHandle dataCentre, Time now) const
{
    std::vector<DaemonHandle> reachable;
    std::vector<DaemonHandle> others;
    for (const auto &[handle, member] : this->members) {
        if (member.identity.dataCentre != dataCentre) {
            continue;
        }
        const bool silent = member.lastHeard && !this->isLive(handle, now);
        (member.refused || silent ? others : reachable).push_back(handle);
    }
    reachable.insert(reachable.end(), others.begin(), others.end());
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

std::vector<DaemonHandle> Membership::ownPeers() const
{
    std::vector<DaemonHandle> peers;
    for (const auto &[handle, member] : this->members) {
        if (this->isOwn(member)) {
            peers.push_back(handle);
        }
    }
    return peers;
}

std::uint32_t Membership::hash() const
{
    std::uint32_t combined = this->selfSettled ? this->me.handle().id : 0;
    for (const auto &[handle, member] : this->members) {
        combined += this->isOwn(member) && member.settled ? handle.id : 0;
    }
    return combined;
}

std::vector<std::unique_ptr<connection::wire::MemberT>> Membership::describe(Time now, bool ownDataCentreOnly) const
{
    std::vector<std::unique_ptr<connection::wire::MemberT>> described;
    for (const auto &[handle, member] : this->members) {
        if (ownDataCentreOnly && !this->isOwn(member)) {
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
        entry->settled = member.settled;
        entry->draining = member.draining;
        described.push_back(std::move(entry));
    }
    return described;
}

Duration Membership::heartbeatPeriod() const
{
    return std::clamp(periodPerMember * (this->ownMembers + 1), config::heartbeatPeriod, longestPeriod);
}

void Membership::countOwn()
{
    this->ownMembers
        = std::count_if(this->members.begin(), this->members.end(), [this](const auto &entry) { return this->isOwn(entry.second); });
}

Duration Membership::suspectAfter() const
{
    return this->heartbeatPeriod() * periodsUntilSuspect;
}

Duration Membership::lease() const
{
    return this->heartbeatPeriod() * periodsOfLease;
}

bool Membership::isOwn(const Member &member) const
{
    return member.identity.dataCentre == this->me.dataCentre;
}

bool Membership::isCounted(const Member &member) const
{
    if (member.refused || this->reclaimed.contains(member.identity.handle())) {
        return false;
    }
    return member.settled || !member.lastHeard;
}

Time Membership::silentSince(const Member &member) const
{
    return member.lastHeard.value_or(member.known);
}

}
