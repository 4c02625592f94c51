#include "process/directory/backend_directory.h"

#include <algorithm>

namespace eelgrassnotch::process::directory
{

namespace
{

using namespace std::chrono_literals;

/** Running backend servers have refreshed their entries this long after the store is available again. */
constexpr Duration entryRefreshTime = 2s;
/** Maximum delay between the publication of a remaining cold period and its arrival. */
constexpr Duration coldReportLag = 500ms;
/** Entries of a backend server that has left may be written late; none is expected after this time. */
constexpr Duration drainRetention = 10min;

}

BackendDirectory::BackendDirectory(CacheSizeLookup cacheSizeLookup, ChangeHandler changeHandler)
    : cacheSize(std::move(cacheSizeLookup))
    , onChange(std::move(changeHandler))
{
}

void BackendDirectory::apply(const BackendRecord &record, Time now)
{
    const auto known = this->backends.find(record.id);
    const bool isSameIncarnation = known != this->backends.end() && known->second->record.startedAt == record.startedAt
        && known->second->record.address == record.address && known->second->record.service == record.service;
    if (known != this->backends.end() && !isSameIncarnation) {
        if (record.startedAt < known->second->record.startedAt) {
            return; // Late entry of an earlier incarnation.
        }
        this->removeBackend(record.id, "restarted");
    }
    if (!isSameIncarnation) {
        const auto backend = std::make_shared<BackendServer>(record, this->cacheSize(record.service));
        this->backends[record.id] = backend;
        this->rebuildIndex();
    }
    BackendServer &backend = *this->backends.at(record.id);
    backend.record = record;
    if (record.coldLeft > Duration(0)) {
        backend.coldUntil = std::max(backend.coldUntil, now + record.coldLeft + coldReportLag);
    }
    if (record.isDraining) {
        this->recordDrain(record, now);
    }
    if (this->isDrained(record)) {
        this->setAvailability(backend, Availability::Draining, "published");
    } else if (backend.availability != Availability::Draining) {
        this->setAvailability(backend, Availability::Ready, isSameIncarnation ? "published" : "new");
    }
}

void BackendDirectory::remove(const std::string &id, Time now)
{
    const auto known = this->backends.find(id);
    if (known == this->backends.end()) {
        return;
    }
    BackendServer &backend = *known->second;
    const bool mayReappear = (this->isStoreUnavailable || now < this->graceUntil) && backend.availability != Availability::Draining;
    if (!mayReappear) {
        this->removeBackend(id, "entry removed");
        return;
    }
    if (backend.availability != Availability::Unconfirmed) {
        backend.unconfirmedUntil = std::max(this->graceUntil, now);
        this->setAvailability(backend, Availability::Unconfirmed, "entry vanished around an outage of the store");
    }
}

void BackendDirectory::replaceAll(const std::vector<BackendRecord> &records, Time now)
{
    std::set<std::string> listed;
    for (const BackendRecord &record : records) {
        listed.insert(record.id);
        this->apply(record, now);
    }
    std::vector<std::string> missing;
    for (const auto &[id, backend] : this->backends) {
        if (!listed.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        this->remove(id, now);
    }
}

void BackendDirectory::onUnreadableEntry(const std::string &id, Time)
{
    if (const auto known = this->backends.find(id); known != this->backends.end()) {
        this->removeBackend(id, "entry can't be read");
    }
}

void BackendDirectory::onStoreUnavailable()
{
    this->isStoreUnavailable = true;
}

void BackendDirectory::onStoreAvailable(Time now)
{
    if (!this->isStoreUnavailable) {
        return;
    }
    this->isStoreUnavailable = false;
    this->graceUntil = now + entryRefreshTime;
    for (const auto &[id, backend] : this->backends) {
        if (backend->availability == Availability::Unconfirmed) {
            backend->unconfirmedUntil = this->graceUntil;
        }
    }
}

void BackendDirectory::expireUnconfirmed(Time now)
{
    std::erase_if(this->drainedIncarnations, [now](const auto &entry) { return now - entry.second.recordedAt > drainRetention; });
    if (this->isStoreUnavailable) {
        return;
    }
    std::vector<std::string> ended;
    for (const auto &[id, backend] : this->backends) {
        if (backend->availability == Availability::Unconfirmed && now >= backend->unconfirmedUntil) {
            ended.push_back(id);
        }
    }
    for (const std::string &id : ended) {
        this->removeBackend(id, "entry did not reappear after a store outage");
    }
}

void BackendDirectory::onDrainAnnounced(const BackendServerPtr &backend, Time now)
{
    this->recordDrain(backend->record, now);
    if (backend->availability != Availability::Gone) {
        this->setAvailability(*backend, Availability::Draining, "its answer says so");
    }
}

void BackendDirectory::recordDrain(const BackendRecord &record, Time now)
{
    DrainedIncarnation &departure
        = this->drainedIncarnations.try_emplace(record.id, DrainedIncarnation {record.startedAt, now}).first->second;
    departure.startedAt = std::max(departure.startedAt, record.startedAt);
    departure.recordedAt = now;
}

bool BackendDirectory::isDrained(const BackendRecord &record) const
{
    const auto departure = this->drainedIncarnations.find(record.id);
    return departure != this->drainedIncarnations.end() && record.startedAt <= departure->second.startedAt;
}

void BackendDirectory::onWrongInstance(const BackendServerPtr &backend)
{
    const auto known = this->backends.find(backend->record.id);
    if (known != this->backends.end() && known->second == backend) {
        this->removeBackend(known->first, "its address answers for another instance");
    }
}

void BackendDirectory::setTakenOut(const std::set<std::string> &dataCentres, Duration coldAfterReturn, Time now)
{
    for (const auto &[id, backend] : this->backends) {
        const std::string &dataCentre = backend->record.dataCentre;
        if (this->takenOut.contains(dataCentre) && !dataCentres.contains(dataCentre)) {
            backend->coldUntil = std::max(backend->coldUntil, now + coldAfterReturn);
        }
    }
    this->takenOut = dataCentres;
}

const std::vector<BackendServerPtr> &BackendDirectory::ofService(const std::string &service) const
{
    static const std::vector<BackendServerPtr> none;
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? none : found->second;
}

BackendServerPtr BackendDirectory::findIncarnation(std::uint32_t incarnation) const
{
    const auto found = this->byIncarnation.find(incarnation);
    return found == this->byIncarnation.end() ? nullptr : found->second;
}

void BackendDirectory::forEach(const std::function<void(const BackendServerPtr &)> &function) const
{
    for (const auto &[id, backend] : this->backends) {
        function(backend);
    }
}

void BackendDirectory::setAvailability(BackendServer &backend, Availability availability, const std::string &cause)
{
    if (backend.availability == availability && cause != "new") {
        return;
    }
    backend.availability = availability;
    this->onChange({backend.record.id, availability, cause});
}

void BackendDirectory::removeBackend(const std::string &id, const std::string &cause)
{
    const auto known = this->backends.find(id);
    const BackendServerPtr backend = known->second;
    this->setAvailability(*backend, Availability::Gone, cause);
    for (const IdleConnection &idle : backend->idleConnections) {
        idle.connection->cancel();
    }
    backend->openConnections -= static_cast<std::uint32_t>(backend->idleConnections.size());
    backend->idleConnections.clear();
    this->backends.erase(known);
    this->rebuildIndex();
}

void BackendDirectory::rebuildIndex()
{
    this->byService.clear();
    this->byIncarnation.clear();
    for (const auto &[id, backend] : this->backends) {
        this->byService[backend->record.service].push_back(backend);
        this->byIncarnation[backend->incarnation] = backend;
    }
}

}
