#include "process/directory/backend_directory.h"

#include "process/event_log.h"

#include <algorithm>
#include <utility>

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
/** Copies that the store comes back from are younger than this. */
constexpr Duration removalRetention = 60s;

bool isOrderedById(const BackendServerPtr &left, const BackendServerPtr &right)
{
    return left->record.id < right->record.id;
}

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
        && known->second->record.address == record.address && known->second->record.service == record.service
        && known->second->record.version == record.version;
    if (known != this->backends.end() && !isSameIncarnation) {
        if (record.startedAt < known->second->record.startedAt) {
            return; // Late entry of an earlier incarnation.
        }
        this->removeBackend(record.id, "restarted", true);
    }
    if (!isSameIncarnation) {
        this->add(std::make_shared<BackendServer>(record, this->cacheSize(record.service)));
    }
    BackendServer &backend = *this->backends.at(record.id);
    backend.record = record;
    if (record.coldLeft > Duration(0)) {
        backend.coldUntil = std::max(backend.coldUntil, now + record.coldLeft + coldReportLag);
    }
    if (record.isDraining) {
        recordFormer(this->drainedIncarnations, record, now);
    }
    if (isFormer(this->drainedIncarnations, record)) {
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
        this->removeEntry(id, "entry removed", now);
        return;
    }
    if (backend.availability != Availability::Unconfirmed) {
        backend.unconfirmedUntil = std::max(this->graceUntil, now);
        this->setAvailability(backend, Availability::Unconfirmed, "entry vanished around an outage of the store");
    }
}

void BackendDirectory::replaceAll(const std::vector<BackendRecord> &records, Time now)
{
    const bool isRestored = std::exchange(this->isNextListRestored, false);
    std::set<std::string> listed;
    for (const BackendRecord &record : records) {
        if (!this->isOutdated(record, isRestored)) {
            listed.insert(record.id);
            this->apply(record, now);
        }
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

void BackendDirectory::applyPart(const std::vector<BackendRecord> &records, Time now)
{
    for (const BackendRecord &record : records) {
        if (!this->isOutdated(record, this->isNextListRestored)) {
            this->apply(record, now);
        }
    }
}

bool BackendDirectory::isOutdated(const BackendRecord &record, bool isRestored) const
{
    if (!isRestored || !isFormer(this->removedIncarnations, record)) {
        return false;
    }
    logBounded("backend_entry_ignored", {{"backend", record.id}, {"cause", "its removal is known, and the store came back older"}});
    return true;
}

void BackendDirectory::onUnreadableEntry(const std::string &id, Time)
{
    if (const auto known = this->backends.find(id); known != this->backends.end()) {
        this->removeBackend(id, "entry can't be read");
    }
}

void BackendDirectory::confirm(Time asOf, Duration entryLifetime)
{
    for (const auto &[id, backend] : this->backends) {
        if (backend->availability != Availability::Unconfirmed) {
            backend->versionCertainty.recordConfirmed(asOf, entryLifetime);
        }
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
        if (!backend->versionCertainty.isCertain()) {
            // Entries did not lapse while the store was away.
            backend->versionCertainty.recordSuspicion(now);
        }
    }
}

void BackendDirectory::onStoreRestored(Time now)
{
    this->onStoreUnavailable();
    this->onStoreAvailable(now);
    this->isNextListRestored = true;
}

void BackendDirectory::expireUnconfirmed(Time now)
{
    std::erase_if(this->removedIncarnations, [now](const auto &entry) { return now - entry.second.recordedAt > removalRetention; });
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
        this->removeEntry(id, "entry did not reappear after a store outage", now);
    }
}

void BackendDirectory::onDrainAnnounced(const BackendServerPtr &backend, Time now)
{
    recordFormer(this->drainedIncarnations, backend->record, now);
    if (backend->availability != Availability::Gone) {
        this->setAvailability(*backend, Availability::Draining, "its answer says so");
    }
}

void BackendDirectory::recordFormer(FormerIncarnations &former, const BackendRecord &record, Time now)
{
    FormerIncarnation &incarnation = former.try_emplace(record.id, FormerIncarnation {record.startedAt, now}).first->second;
    incarnation.startedAt = std::max(incarnation.startedAt, record.startedAt);
    incarnation.recordedAt = now;
}

bool BackendDirectory::isFormer(const FormerIncarnations &former, const BackendRecord &record)
{
    const auto incarnation = former.find(record.id);
    return incarnation != former.end() && record.startedAt <= incarnation->second.startedAt;
}

void BackendDirectory::onWrongInstance(const BackendServerPtr &backend, Time now)
{
    const auto known = this->backends.find(backend->record.id);
    if (known != this->backends.end() && known->second == backend) {
        this->removeEntry(known->first, "its address answers for another instance", now);
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

void BackendDirectory::setAvailability(BackendServer &backend, Availability availability, const std::string &cause, bool isRestart)
{
    if (backend.availability == availability && cause != "new") {
        return;
    }
    backend.availability = availability;
    this->onChange({backend.record.id, availability, cause, isRestart});
}

void BackendDirectory::removeEntry(const std::string &id, const std::string &cause, Time now)
{
    recordFormer(this->removedIncarnations, this->backends.at(id)->record, now);
    this->removeBackend(id, cause);
}

void BackendDirectory::removeBackend(const std::string &id, const std::string &cause, bool isRestart)
{
    const auto known = this->backends.find(id);
    const BackendServerPtr backend = known->second;
    this->setAvailability(*backend, Availability::Gone, cause, isRestart);
    for (const IdleConnection &idle : backend->idleConnections) {
        idle.connection->cancel();
    }
    backend->openConnections -= static_cast<std::uint32_t>(backend->idleConnections.size());
    backend->idleConnections.clear();
    std::vector<BackendServerPtr> &ofService = this->byService[backend->record.service];
    ofService.erase(std::lower_bound(ofService.begin(), ofService.end(), backend, isOrderedById));
    if (ofService.empty()) {
        this->byService.erase(backend->record.service);
    }
    if (const auto indexed = this->byIncarnation.find(backend->incarnation);
        indexed != this->byIncarnation.end() && indexed->second == backend) {
        this->byIncarnation.erase(indexed);
    }
    this->backends.erase(known);
}

void BackendDirectory::add(const BackendServerPtr &backend)
{
    this->backends[backend->record.id] = backend;
    std::vector<BackendServerPtr> &ofService = this->byService[backend->record.service];
    ofService.insert(std::lower_bound(ofService.begin(), ofService.end(), backend, isOrderedById), backend);
    this->byIncarnation[backend->incarnation] = backend;
}

}
