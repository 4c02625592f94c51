#include "process/edge_knowledge.h"

#include "process/clock.h"
#include "process/event_log.h"

#include <algorithm>
#include <iterator>

namespace eelgrassnotch::process
{

namespace http = connection::http;
using store::Collection;

namespace
{

using namespace std::chrono_literals;

/** Part of the time in which a revoked key must be refused for which the configuration's watch may wait: what is known is up to two waits
 * old. */
constexpr double configurationWaitPart = 0.42;
constexpr Duration configurationPause = 20ms;
/** The waits bound the time after which a watch that has gone silent is noticed; changes of a moment come in one answer. */
constexpr store::WatchPace backendsPace {3s, 400ms};
constexpr store::WatchPace takenOutPace {3s, 200ms};
/** Bounds that daemons share allow for lists that are some seconds old. */
constexpr store::WatchPace daemonsPace {0ms, 3s};
/** All daemons may start within some tenths of a second, so the second list comes soon. */
constexpr store::WatchPace firstDaemonsPace {0ms, 700ms};
/** When the whole fleet starts, the others' entries are in the store after this time. */
constexpr Duration firstStartSpread = 700ms;
/** A daemon that can't read the list of daemons by then, and so knows no relay, watches the store. */
constexpr Duration firstListTimeout = 500ms;
/** Backend servers of a data centre that comes back are taken as cold for this long. Source: cold periods of the deployments. */
constexpr Duration coldAfterReturn = 3s;

/** After the store's return from an older copy, an operator's later entries are written again within this time. */
constexpr Duration operatorRewriteTime = 5s;

store::WatchPace configurationPace(const proxy::Proxy &proxy)
{
    const auto wait = static_cast<double>(proxy.keyLifetime().count()) * configurationWaitPart;
    return {std::chrono::duration_cast<std::chrono::milliseconds>(Duration(static_cast<std::int64_t>(wait))), configurationPause};
}

mirror::SourceSettings sourceSettings(const EdgeSettings &settings, const proxy::Proxy &proxy)
{
    const http::Endpoint own(boost::asio::ip::make_address(settings.ip), settings.loadPort);
    return {handleOf<DaemonHandle>(settings.name),
            settings.cores,
            http::parseEndpoint(settings.storeAddress),
            own,
            {{Collection::Configuration, configurationPace(proxy)},
             {Collection::Backends, backendsPace},
             {Collection::TakenOutDataCentres, takenOutPace}}};
}

}

EdgeKnowledge::EdgeKnowledge(boost::asio::io_context &context, const EdgeSettings &edgeSettings,
                             std::shared_ptr<const ProxyDialect> proxyDialect, proxy::ProxyMetrics &proxyMetrics, proxy::Proxy &edgeProxy,
                             exchange::LoadExchange &loadExchange)
    : settings(edgeSettings)
    , dialect(std::move(proxyDialect))
    , metrics(proxyMetrics)
    , proxy(edgeProxy)
    , exchange(loadExchange)
    , writer(context, http::parseEndpoint(this->settings.storeAddress), this->dialect, Collection::Daemons, this->settings.name,
             [this](unsigned status) { this->metrics.countStoreCall(store::nameOf(Collection::Daemons), status); })
    , source(context, sourceSettings(this->settings, this->proxy), this->dialect,
             {{Collection::Configuration, this->observed(Collection::Configuration, this->configurationHooks())},
              {Collection::Backends, this->observed(Collection::Backends, this->backendHooks())},
              {Collection::TakenOutDataCentres, this->observed(Collection::TakenOutDataCentres, this->takenOutHooks())}})
    , daemonsWatcher(context, http::parseEndpoint(this->settings.storeAddress), this->dialect, Collection::Daemons, firstDaemonsPace,
                     this->observed(Collection::Daemons, this->daemonHooks()))
    , rolloutKnowledge(context, this->settings.storeAddress, this->dialect, this->proxy.rollouts(),
                       [this](const std::string &collection, unsigned status) { this->metrics.countStoreCall(collection, status); })
{
}

void EdgeKnowledge::start()
{
    this->writeOwnEntry();
    this->rolloutKnowledge.start();
    this->listDaemonsAt = readClock() + (this->settings.isFirstStart ? firstStartSpread : Duration(0));
    this->startSourceAt = this->listDaemonsAt + firstListTimeout;
    this->tick(readClock());
}

void EdgeKnowledge::startSource()
{
    if (!std::exchange(this->isSourceStarted, true)) {
        this->source.start();
    }
}

void EdgeKnowledge::tick(Time now)
{
    if (now >= this->listDaemonsAt) {
        this->daemonsWatcher.start();
    }
    if (now >= this->startSourceAt) {
        this->startSource();
    }
    if (!this->unconfirmedTakenOut.empty() && now >= this->unconfirmedUntil) {
        this->unconfirmedTakenOut.clear();
        this->applyTakenOut();
    }
    this->rolloutKnowledge.tick(now);
    this->source.tick(now, this->proxy.isOverloaded(now));
}

void EdgeKnowledge::withdraw()
{
    this->source.stopServing();
    this->writer.remove();
}

bool EdgeKnowledge::isComplete(Time now) const
{
    return this->rolloutKnowledge.isComplete(now) && this->hasBackends && this->hasDaemons && this->hasTakenOut
        && this->proxy.routeTable() != nullptr;
}

store::WatcherHooks EdgeKnowledge::observed(Collection collection, store::WatcherHooks hooks)
{
    const std::string name = store::nameOf(collection);
    hooks.onCall = [this, name](unsigned status) { this->metrics.countStoreCall(name, status); };
    if (!hooks.onEraChange) {
        hooks.onEraChange = [] {};
    }
    if (!hooks.onIncomplete) {
        hooks.onIncomplete = [] {};
    }
    if (!hooks.onReachability) {
        hooks.onReachability = [](bool, const std::string &) {};
    }
    return hooks;
}

void EdgeKnowledge::applyConfiguration(const store::StoredObject &object)
{
    try {
        auto table = std::make_shared<const version::RouteTable>(this->dialect->readConfiguration(object));
        this->storedVersion = table->version();
        this->proxy.setRouteTable(std::move(table));
    } catch (const std::exception &error) {
        logBounded("configuration_unreadable",
                   {{"object", object.name}, {"revision", std::to_string(object.revision)}, {"cause", error.what()}});
    }
}

store::WatcherHooks EdgeKnowledge::configurationHooks()
{
    store::WatcherHooks hooks;
    hooks.onList = [this](const std::vector<store::StoredObject> &objects) {
        this->storedVersion.reset();
        for (const auto &object : objects) {
            this->applyConfiguration(object);
        }
    };
    hooks.onPart = [this](const std::vector<store::StoredObject> &objects) {
        for (const auto &object : objects) {
            this->applyConfiguration(object);
        }
    };
    hooks.onChange = [this](const store::ObjectChange &change) {
        if (!change.isRemoved) {
            this->applyConfiguration(change.object);
        }
    };
    hooks.onConfirmed = [this](Time asOf, const store::Position &) {
        if (this->isStoredConfigurationCurrent()) {
            this->proxy.confirmConfiguration(asOf);
        }
    };
    return hooks;
}

bool EdgeKnowledge::isStoredConfigurationCurrent()
{
    const auto known = this->proxy.routeTable();
    const bool isCurrent = !known || (this->storedVersion && *this->storedVersion >= known->version());
    if (std::exchange(this->wasStoredConfigurationCurrent, isCurrent) != isCurrent) {
        logWarning(isCurrent ? "store_has_configuration_again" : "store_has_older_configuration",
                   {{"stored", this->storedVersion ? std::to_string(*this->storedVersion) : "none"},
                    {"version", std::to_string(known ? known->version() : 0)}});
    }
    return isCurrent;
}

void EdgeKnowledge::logUnreadableBackend(const store::StoredObject &object)
{
    logBounded("backend_entry_unreadable", {{"backend", object.name}, {"revision", std::to_string(object.revision)}});
}

std::vector<directory::BackendRecord> EdgeKnowledge::readBackends(const std::vector<store::StoredObject> &objects)
{
    std::vector<directory::BackendRecord> records;
    for (const auto &object : objects) {
        if (auto record = this->dialect->readBackend(object)) {
            records.push_back(std::move(*record));
        } else {
            this->logUnreadableBackend(object);
        }
    }
    return records;
}

store::WatcherHooks EdgeKnowledge::backendHooks()
{
    store::WatcherHooks hooks;
    hooks.onList = [this](const std::vector<store::StoredObject> &objects) {
        this->proxy.backends().replaceAll(this->readBackends(objects), readClock());
        this->proxy.updateVersions();
        this->hasBackends = true;
    };
    hooks.onPart = [this](const std::vector<store::StoredObject> &objects) {
        this->proxy.backends().applyPart(this->readBackends(objects), readClock());
        this->proxy.updateVersions();
    };
    hooks.onIncomplete = [this] { this->hasBackends = true; };
    hooks.onChange = [this](const store::ObjectChange &change) {
        const Time now = readClock();
        if (change.isRemoved) {
            this->proxy.backends().remove(change.object.name, now);
        } else if (const auto record = this->dialect->readBackend(change.object)) {
            this->proxy.backends().apply(*record, now);
            // A version that comes later must find the running one.
            if (!this->proxy.rollouts().isRunningKnown(record->service)) {
                this->proxy.updateVersions();
            }
        } else {
            this->logUnreadableBackend(change.object);
            this->proxy.backends().onUnreadableEntry(change.object.name, now);
        }
    };
    hooks.onConfirmed = [this](Time asOf, const store::Position &) { this->proxy.backends().confirm(asOf, this->settings.entryLifetime); };
    hooks.onEraChange = [this] { this->proxy.backends().onStoreRestored(readClock()); };
    hooks.onReachability = [this](bool isReachable, const std::string &) {
        if (isReachable) {
            this->proxy.backends().onStoreAvailable(readClock());
        } else {
            this->proxy.backends().onStoreUnavailable();
        }
    };
    return hooks;
}

void EdgeKnowledge::applyTakenOut()
{
    std::set<std::string> all = this->takenOut;
    all.insert(this->unconfirmedTakenOut.begin(), this->unconfirmedTakenOut.end());
    for (const std::string &dataCentre : all) {
        logBounded("data_centre_taken_out",
                   {{"data_centre", dataCentre}, {"in_store", this->takenOut.contains(dataCentre) ? "true" : "false"}});
    }
    this->proxy.backends().setTakenOut(all, coldAfterReturn, readClock());
}

store::WatcherHooks EdgeKnowledge::takenOutHooks()
{
    store::WatcherHooks hooks;
    hooks.onList = [this](const std::vector<store::StoredObject> &objects) {
        std::set<std::string> listed;
        for (const auto &object : objects) {
            listed.insert(object.name);
        }
        if (std::exchange(this->isTakenOutRestored, false)) {
            // An operator's entry that is missing after the return may just not be written again yet.
            std::set_difference(this->takenOut.begin(), this->takenOut.end(), listed.begin(), listed.end(),
                                std::inserter(this->unconfirmedTakenOut, this->unconfirmedTakenOut.end()));
            this->unconfirmedUntil = readClock() + operatorRewriteTime;
        }
        this->takenOut = std::move(listed);
        this->hasTakenOut = true;
        this->applyTakenOut();
    };
    hooks.onPart = [this](const std::vector<store::StoredObject> &objects) {
        for (const auto &object : objects) {
            this->takenOut.insert(object.name);
        }
        this->applyTakenOut();
    };
    hooks.onIncomplete = [this] { this->hasTakenOut = true; };
    hooks.onEraChange = [this] { this->isTakenOutRestored = true; };
    hooks.onChange = [this](const store::ObjectChange &change) {
        if (change.isRemoved) {
            this->takenOut.erase(change.object.name);
            this->unconfirmedTakenOut.erase(change.object.name);
        } else {
            this->takenOut.insert(change.object.name);
        }
        this->applyTakenOut();
    };
    hooks.onConfirmed = [](Time, const store::Position &) {};
    return hooks;
}

void EdgeKnowledge::writeOwnEntry()
{
    this->writer.create(
        this->dialect->writeDaemon({this->settings.name, this->settings.ip, this->settings.dataCentre, this->settings.cores}),
        [this] { this->proxy.daemons().recordOwnEntry(readClock()); });
}

void EdgeKnowledge::applyDaemons(const std::vector<DaemonRecord> &daemons, bool isWhole)
{
    const Time now = readClock();
    std::vector<DaemonHandle> handles;
    std::vector<exchange::Peer> listed;
    for (const DaemonRecord &daemon : daemons) {
        handles.push_back(handleOf<DaemonHandle>(daemon.name));
        listed.push_back({handles.back(), handleOf<DataCentreHandle>(daemon.dataCentre), daemon.address});
        this->records.insert_or_assign(handles.back(), daemon);
    }
    dispatch::ActiveDaemons &activeDaemons = this->proxy.daemons();
    activeDaemons.recordDaemonList(handles, now);
    if (isWhole && activeDaemons.isOwnEntryMissing(now) && !this->proxy.isStopping()) {
        logWarning("own_entry_lost", {{"listed", std::to_string(handles.size())}});
        this->writeOwnEntry();
    }
    this->setRelays();
    this->startSource();
    if (this->peers == listed) {
        return;
    }
    logEvent("daemons_changed", {{"listed", std::to_string(handles.size())}, {"counted", std::to_string(activeDaemons.count())}});
    this->peers = listed;
    this->tellNeighbours(daemons);
    if (this->onPeers) {
        std::vector<exchange::Peer> others = listed;
        std::erase_if(others, [this](const exchange::Peer &peer) { return peer.daemon == handleOf<DaemonHandle>(this->settings.name); });
        this->onPeers(others);
    }
    this->exchange.setPeers(std::move(listed));
}

void EdgeKnowledge::tellNeighbours(const std::vector<DaemonRecord> &daemons) const
{
    if (!this->onNeighbours) {
        return;
    }
    std::vector<std::string> addresses;
    for (const DaemonRecord &daemon : daemons) {
        if (daemon.dataCentre == this->settings.dataCentre && daemon.name != this->settings.name) {
            addresses.push_back(daemon.address);
        }
    }
    this->onNeighbours(addresses);
}

void EdgeKnowledge::setRelays()
{
    const std::string &ownRegion = this->proxy.regionOf(this->settings.dataCentre);
    std::map<DaemonHandle, mirror::PossibleRelay> possible;
    // Members outlast the lists that miss them, so that followers do not move with each list.
    for (const DaemonHandle member : this->proxy.daemons().handles()) {
        const auto record = this->records.find(member);
        if (record != this->records.end() && this->proxy.regionOf(record->second.dataCentre) == ownRegion) {
            const http::Endpoint address(boost::asio::ip::make_address(record->second.address), this->settings.loadPort);
            possible.insert_or_assign(member, mirror::PossibleRelay {record->second.name, address, record->second.cores});
        }
    }
    this->source.setRegion(hashName(ownRegion), std::move(possible));
}

std::map<std::string, DaemonRecord> EdgeKnowledge::readDaemons(const std::vector<store::StoredObject> &objects) const
{
    std::map<std::string, DaemonRecord> daemons;
    for (const auto &object : objects) {
        if (auto daemon = this->dialect->readDaemon(object)) {
            daemons.insert_or_assign(object.name, std::move(*daemon));
        } else {
            logBounded("daemon_entry_unreadable", {{"name", object.name}, {"revision", std::to_string(object.revision)}});
        }
    }
    return daemons;
}

void EdgeKnowledge::takeDaemonList(bool isWhole)
{
    if (this->hasDaemons) {
        this->daemonsWatcher.setPace(daemonsPace);
    }
    this->hasDaemons = true;
    std::vector<DaemonRecord> daemons;
    daemons.reserve(this->listedDaemons.size());
    for (const auto &[name, daemon] : this->listedDaemons) {
        daemons.push_back(daemon);
    }
    this->applyDaemons(daemons, isWhole);
}

store::WatcherHooks EdgeKnowledge::daemonHooks()
{
    store::WatcherHooks hooks;
    hooks.onList = [this](const std::vector<store::StoredObject> &objects) {
        this->listedDaemons = this->readDaemons(objects);
        this->takeDaemonList(true);
    };
    hooks.onPart = [this](const std::vector<store::StoredObject> &objects) {
        // Those that an earlier list told may stand where this one can't be read.
        for (auto &[name, daemon] : this->readDaemons(objects)) {
            this->listedDaemons.insert_or_assign(name, std::move(daemon));
        }
    };
    hooks.onIncomplete = [this] { this->takeDaemonList(false); };
    return hooks;
}

}
