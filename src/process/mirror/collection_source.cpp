#include "process/mirror/collection_source.h"

#include "process/clock.h"
#include "process/event_log.h"
#include "process/mirror/limits.h"

#include <algorithm>

namespace eelgrassnotch::process::mirror
{

using store::Collection;

namespace
{

using namespace std::chrono_literals;

/** Time that a collection may go unanswered, while others are answered, before the daemon goes on without it. */
constexpr Duration unansweredPatience = 3s;

}

CollectionSource::CollectionSource(boost::asio::io_context &ioContext, const SourceSettings &sourceSettings,
                                   const std::shared_ptr<const store::StoreDialect> &dialect,
                                   std::map<Collection, store::WatcherHooks> consumers)
    : settings(sourceSettings)
    , hooks(std::move(consumers))
    , choice(this->settings.self, this->settings.cores)
    , server(ioContext, this->settings.own)
    , client(ioContext, this->followerHooks())
{
    for (const Collection collection : mirroredCollections) {
        this->watchers.emplace(collection,
                               std::make_unique<store::CollectionWatcher>(ioContext, this->settings.store, dialect, collection,
                                                                          this->settings.paces.at(collection),
                                                                          this->watcherHooks(collection)));
    }
}

void CollectionSource::start()
{
    const Time now = readClock();
    this->startedAt = now;
    this->chooseSource(now);
    if (!this->followed.isValid()) {
        this->watchStore();
    }
}

store::WatcherHooks CollectionSource::watcherHooks(Collection collection)
{
    const store::WatcherHooks &consumer = this->hooks.at(collection);
    store::WatcherHooks watcher;
    watcher.onCall = consumer.onCall;
    watcher.onList = [this, collection, &consumer](const std::vector<store::StoredObject> &objects) {
        std::vector<MirroredObject> mirrored;
        std::transform(objects.begin(), objects.end(), std::back_inserter(mirrored),
                       [](const store::StoredObject &object) { return toMirrored(object, false); });
        this->server.mirror(collection).replaceAll(std::move(mirrored));
        this->incomplete.erase(collection);
        consumer.onList(objects);
    };
    // What is passed on stays at the last state that was known as a whole, which soon is too old for followers.
    watcher.onPart = [this, collection, &consumer](const std::vector<store::StoredObject> &objects) {
        this->incomplete.insert(collection);
        consumer.onPart(objects);
    };
    watcher.onIncomplete = [this, collection, &consumer] {
        this->incomplete.insert(collection);
        this->unanswered.erase(collection);
        consumer.onIncomplete();
        this->startWatchers();
    };
    watcher.onChange = [this, collection, &consumer](const store::ObjectChange &change) {
        if (!this->incomplete.contains(collection)) {
            this->server.mirror(collection).apply(toMirrored(change.object, change.isRemoved));
        }
        consumer.onChange(change);
    };
    watcher.onEraChange = consumer.onEraChange;
    watcher.onConfirmed = [this, collection, &consumer](Time confirmedAt, const store::Position &reached) {
        this->positions[collection] = std::max(this->positions[collection], reached);
        this->asOf[collection] = confirmedAt;
        this->unanswered.erase(collection);
        consumer.onConfirmed(confirmedAt, reached);
        this->server.mirror(collection).confirm(reached, confirmedAt);
        this->server.noteConfirmed(collection, readClock());
        this->startWatchers();
    };
    watcher.onReachability = [this, collection](bool isReachable, const std::string &cause) {
        if (isReachable) {
            this->noteAnswered(collection, cause);
        } else {
            this->noteUnanswered(collection, cause);
        }
    };
    return watcher;
}

void CollectionSource::noteUnanswered(Collection collection, const std::string &cause)
{
    if (this->isStoreLost) {
        this->passSearchOn(collection);
        return;
    }
    if (this->unanswered.contains(collection)) {
        return;
    }
    this->lostBy = collection;
    this->server.noteOutage();
    this->setStoreLost(true, collection, cause);
    this->passSearchOn(collection);
}

void CollectionSource::noteAnswered(Collection collection, const std::string &cause)
{
    this->unanswered.erase(collection);
    if (!this->isStoreLost) {
        return;
    }
    this->setStoreLost(false, collection, cause);
    if (const auto failed = std::exchange(this->lostBy, std::nullopt); failed && *failed != collection) {
        this->unanswered.emplace(*failed, readClock() + unansweredPatience);
        this->watchers.at(*failed)->startSearch(0);
    }
    this->startWatchers();
}

void CollectionSource::setStoreLost(bool isLost, Collection collection, const std::string &cause)
{
    this->isStoreLost = isLost;
    logEvent(isLost ? "store_lost" : "store_regained", {{"collection", store::nameOf(collection)}, {"cause", cause}});
    this->tellReachability(!isLost, cause);
    this->serveIfAble();
}

void CollectionSource::passSearchOn(Collection last)
{
    const Collection next = this->nextSearcher(last);
    // One watch is enough to find the store again: calls that it refuses cost as much as others. They take turns, as it may refuse the
    // calls for some collections only.
    for (const auto &[watched, watcher] : this->watchers) {
        // Where none is left to take over, the last one goes on.
        if (watched != last || next != last) {
            watcher->stop();
        }
    }
    this->watchers.at(next)->startSearch(this->watchers.at(last)->failedCalls());
}

Collection CollectionSource::nextSearcher(Collection collection) const
{
    auto next = this->watchers.find(collection);
    do {
        next = std::next(next) == this->watchers.end() ? this->watchers.begin() : std::next(next);
    } while (next->first != collection && this->unanswered.contains(next->first));
    return next->first;
}

void CollectionSource::passUnanswered(Time now)
{
    for (auto &[collection, until] : this->unanswered) {
        // A daemon that knows no backend server leaves the requests to others.
        if (now >= until && collection != Collection::Backends) {
            until = Time::max();
            this->hooks.at(collection).onIncomplete();
        }
    }
}

void CollectionSource::tellReachability(bool isReachable, const std::string &cause)
{
    for (const auto &[collection, consumer] : this->hooks) {
        consumer.onReachability(isReachable, cause);
    }
}

void CollectionSource::serveIfAble()
{
    this->server.setWatching(this->isWatching && !this->isStoreLost && !this->isRetired && !this->isOverloaded);
}

MirrorHooks CollectionSource::followerHooks()
{
    MirrorHooks follower;
    follower.positions = [this] { return this->positions; };
    follower.onReply = [this](const SyncReply &reply, Time composedAt) { this->takeReply(reply, composedAt); };
    follower.onFailure = [this](RelayFailure failure, const std::string &cause) { this->leaveRelay(failure, cause, readClock()); };
    return follower;
}

void CollectionSource::leaveRelay(RelayFailure failure, const std::string &cause, Time now)
{
    const bool hasLostSource = !this->isWatching && !this->asOf.empty();
    if (std::exchange(this->hasReplied, false)) {
        logEvent("relay_lost", {{"relay", this->relays[this->followed].name}, {"cause", cause}});
    }
    this->choice.noteFailure(this->followed, failure, now);
    this->followed = {};
    if (hasLostSource && this->choice.isCandidate()) {
        this->watchStore();
        this->actsUntil = now + substituteTime;
    }
    this->chooseSource(now);
}

void CollectionSource::takeReply(const SyncReply &reply, Time composedAt)
{
    this->hasReplied = true;
    this->noteOutages(reply.outages);
    for (const CollectionUpdate &update : reply.updates) {
        this->takeUpdate(update, composedAt - update.age);
    }
    if (!this->isWatching) {
        return;
    }
    this->isWatching = false;
    this->serveIfAble();
    for (const auto &[collection, watcher] : this->watchers) {
        watcher->stop();
    }
    logEvent("relay_followed", {{"relay", this->relays[this->followed].name}});
}

void CollectionSource::noteOutages(std::uint32_t outages)
{
    const auto [known, isNew] = this->outagesOf.try_emplace(this->followed, outages);
    if (!isNew && known->second != outages) {
        // Entries that lapsed while the relay had no store are told as removed, and may come back.
        known->second = outages;
        this->isStoreLost = true;
        this->tellReachability(false, "relay lost the store");
    }
    if (std::exchange(this->isStoreLost, false)) {
        this->tellReachability(true, "relay reaches the store");
    }
}

void CollectionSource::takeUpdate(const CollectionUpdate &update, Time confirmedAt)
{
    const store::WatcherHooks &consumer = this->hooks.at(update.collection);
    CollectionMirror &mirror = this->server.mirror(update.collection);
    const auto known = this->positions.find(update.collection);
    const bool isKnown = known != this->positions.end();
    store::Position reached = update.reached;
    if (reached.era == untoldEra) {
        reached.era = isKnown ? known->second.era : 0;
    }
    if (isKnown && (reached.era < known->second.era || (reached.era > known->second.era && !update.isList))) {
        return; // Says nothing about the history that is known.
    }
    // A relay that is behind tells of an older state, which still proves that nothing newer was accepted by then.
    if (!isKnown || reached > known->second) {
        if (isKnown && reached.era > known->second.era) {
            logEvent("store_came_back_older",
                     {{"collection", store::nameOf(update.collection)},
                      {"era", std::to_string(reached.era)},
                      {"era_before", std::to_string(known->second.era)},
                      {"revision", std::to_string(reached.revision)},
                      {"relay", this->relays[this->followed].name}});
            consumer.onEraChange();
        }
        if (update.isList) {
            std::vector<store::StoredObject> objects;
            std::transform(update.objects.begin(), update.objects.end(), std::back_inserter(objects), toStored);
            mirror.replaceAll(update.objects);
            consumer.onList(objects);
        } else {
            for (const MirroredObject &object : update.objects) {
                mirror.apply(object);
                consumer.onChange({toStored(object), object.isRemoved});
            }
        }
        this->positions[update.collection] = reached;
    }
    mirror.confirm(reached, confirmedAt);
    this->asOf[update.collection] = std::max(this->asOf[update.collection], confirmedAt);
    consumer.onConfirmed(confirmedAt, reached);
}

void CollectionSource::setRegion(std::uint32_t region, std::map<DaemonHandle, PossibleRelay> daemons)
{
    std::map<DaemonHandle, double> coresOf;
    for (const auto &[handle, daemon] : daemons) {
        coresOf[handle] = daemon.cores;
    }
    this->relays = std::move(daemons);
    this->choice.setRegion(region, std::move(coresOf));
    this->setPaces();
    if (this->startedAt) {
        this->chooseSource(readClock());
    }
}

void CollectionSource::stopServing()
{
    this->isRetired = true;
    this->serveIfAble();
}

void CollectionSource::setPaces()
{
    for (const auto &[collection, watcher] : this->watchers) {
        store::WatchPace pace = this->settings.paces.at(collection);
        if (this->choice.isCandidate()) {
            pace.longestWait = std::min(pace.longestWait, relayWait);
        } else if (!this->choice.isRelay()) {
            pace.searchPause = followerSearchPause;
        }
        if (watcher->setPace(pace) && this->isWatching && !this->isStoreLost) {
            // A call in progress would still wait for as long as before.
            watcher->stop();
            watcher->start();
        }
    }
}

void CollectionSource::tick(Time now, bool isDaemonOverloaded)
{
    if (this->isOverloaded != isDaemonOverloaded) {
        this->isOverloaded = isDaemonOverloaded;
        this->serveIfAble();
    }
    this->server.tick(now);
    if (!this->startedAt) {
        return;
    }
    this->passUnanswered(now);
    if (!this->isWatching && this->needsStore(now)) {
        if (this->followed.isValid()) {
            this->client.stop();
            this->leaveRelay(RelayFailure::Silent, "knowledge is too old", now);
        }
        this->watchStore();
    }
    this->chooseSource(now);
}

bool CollectionSource::needsStore(Time now) const
{
    if (this->asOf.empty()) {
        return now - *this->startedAt > startPatience;
    }
    return std::any_of(this->asOf.begin(), this->asOf.end(), [now](const auto &known) { return now - known.second > maxAge; });
}

void CollectionSource::chooseSource(Time now)
{
    if (this->isWatching && now < this->actsUntil) {
        return;
    }
    const auto relay = this->choice.relayToFollow(this->followed, now);
    if (this->followed.isValid() ? relay == this->followed : !relay) {
        return;
    }
    this->client.stop();
    this->followed = {};
    this->hasReplied = false;
    if (const auto known = relay ? this->relays.find(*relay) : this->relays.end(); known != this->relays.end()) {
        this->followed = *relay;
        this->client.follow(known->second.address);
    }
}

void CollectionSource::watchStore()
{
    if (this->isWatching) {
        return;
    }
    logEvent("store_watched", {{"role", this->choice.isRelay() ? "relay" : (this->choice.isCandidate() ? "substitute" : "follower")}});
    this->isWatching = true;
    this->unanswered.clear();
    for (const auto &[collection, watcher] : this->watchers) {
        if (const auto known = this->positions.find(collection); known != this->positions.end()) {
            watcher->skipTo(known->second);
            this->incomplete.erase(collection);
        }
    }
    // Whether the store answers is asked by one watch; the others begin when it does.
    this->watchers.at(mirroredCollections.front())->start();
    this->serveIfAble();
}

void CollectionSource::startWatchers()
{
    for (const auto &[collection, watcher] : this->watchers) {
        watcher->start();
    }
}

}
