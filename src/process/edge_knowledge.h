#pragma once

/** @file What a daemon knows from the store, and its own entry there. */

#include "process/edge_settings.h"
#include "process/exchange/load_exchange.h"
#include "process/mirror/collection_source.h"
#include "process/proxy/proxy.h"
#include "process/proxy_dialect.h"
#include "process/rollout_knowledge.h"
#include "process/store/object_writer.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace eelgrassnotch::process
{

/** @brief Applies the store's collections to the proxy and the load exchange. */
class EdgeKnowledge
{
public:
    EdgeKnowledge(boost::asio::io_context &context, const EdgeSettings &edgeSettings, std::shared_ptr<const ProxyDialect> proxyDialect,
                  proxy::ProxyMetrics &proxyMetrics, proxy::Proxy &edgeProxy, exchange::LoadExchange &loadExchange);

    /** @brief Writes this daemon's entry and follows the collections. */
    void start();
    /** @brief Does what is due; called several times a second. */
    void tick(Time now);
    /** @brief Removes this daemon's entry, before it stops. */
    void withdraw();
    /** @brief Sets what is called with the addresses of the other daemons of this data centre, whenever the list of daemons changes. */
    void setNeighboursHook(std::function<void(const std::vector<std::string> &)> onChange)
    {
        this->onNeighbours = std::move(onChange);
    }
    /** @brief Sets what is called with the other daemons of the fleet, whenever the list of daemons changes. */
    void setPeersHook(std::function<void(const std::vector<exchange::Peer> &)> onChange)
    {
        this->onPeers = std::move(onChange);
    }
    /** @returns whether each collection has been read once. */
    bool isComplete(Time now) const;

private:
    store::WatcherHooks configurationHooks();
    store::WatcherHooks backendHooks();
    store::WatcherHooks takenOutHooks();
    store::WatcherHooks daemonHooks();
    /** @returns the hooks with counts and log lines added. */
    store::WatcherHooks observed(store::Collection collection, store::WatcherHooks hooks);
    void applyConfiguration(const store::StoredObject &object);
    /** @returns whether the store has the newest configuration that is known; if it has an older one, keys that it holds may be revoked. */
    bool isStoredConfigurationCurrent();
    void logUnreadableBackend(const store::StoredObject &object);
    std::vector<directory::BackendRecord> readBackends(const std::vector<store::StoredObject> &objects);
    /** @returns the daemons whose entries can be read, by name. */
    std::map<std::string, DaemonRecord> readDaemons(const std::vector<store::StoredObject> &objects) const;
    void takeDaemonList(bool isWhole);
    void applyTakenOut();
    void writeOwnEntry();
    /** @param isWhole Whether the list was read to its end, so that a name that it lacks is missing in the store. */
    void applyDaemons(const std::vector<DaemonRecord> &daemons, bool isWhole);
    void startSource();
    void tellNeighbours(const std::vector<DaemonRecord> &daemons) const;
    /** @brief Tells the source which daemons of the region may be followed. */
    void setRelays();

    const EdgeSettings &settings;
    std::shared_ptr<const ProxyDialect> dialect;
    proxy::ProxyMetrics &metrics;
    proxy::Proxy &proxy;
    exchange::LoadExchange &exchange;
    std::set<std::string> takenOut; ///< As the store has them.
    std::set<std::string> unconfirmedTakenOut; ///< Known from before the store came back older, and not in it yet.
    Time unconfirmedUntil {0}; ///< These are in force until then.
    bool isTakenOutRestored = false; ///< The next list is the first one after the store came back older.
    std::optional<std::uint64_t> storedVersion; ///< Of the configuration that the store has.
    bool wasStoredConfigurationCurrent = true;
    std::map<std::string, DaemonRecord> listedDaemons; ///< As the last list told, with what an incomplete one added.
    std::map<DaemonHandle, DaemonRecord> records; ///< Of all daemons that were ever listed.
    std::vector<exchange::Peer> peers; ///< As last listed.
    std::function<void(const std::vector<std::string> &)> onNeighbours;
    std::function<void(const std::vector<exchange::Peer> &)> onPeers;
    bool hasBackends = false;
    bool hasTakenOut = false;
    bool hasDaemons = false;
    Time listDaemonsAt = Time::max(); ///< Set by start().
    Time startSourceAt = Time::max(); ///< Whether or not the daemons are known by then; set by start().
    bool isSourceStarted = false;
    store::ObjectWriter writer;
    mirror::CollectionSource source;
    store::CollectionWatcher daemonsWatcher;
    RolloutKnowledge rolloutKnowledge;
};

}
