#pragma once

/** @file Keeps the daemon's knowledge of the store's collections new, through the store or through another daemon. */

#include "process/mirror/mirror_client.h"
#include "process/mirror/mirror_server.h"
#include "process/mirror/source_choice.h"
#include "process/store/collection_watcher.h"

#include <map>
#include <memory>
#include <set>

namespace eelgrassnotch::process::mirror
{

/** @brief Addresses and paces of a daemon's sources. */
struct SourceSettings {
    DaemonHandle self;
    double cores = 1;
    connection::http::Endpoint store;
    connection::http::Endpoint own; ///< Where this daemon serves others.
    std::map<store::Collection, store::WatchPace> paces; ///< While the daemon asks the store for itself alone.
};

/** @brief A daemon that can be followed. */
struct PossibleRelay {
    std::string name; ///< For the log.
    connection::http::Endpoint address;
    double cores = 1;

    bool operator==(const PossibleRelay &) const = default;
};

/**
 * @brief Watches the store, or follows a relay that does.
 * @remarks The watches go on until a relay has answered. When it fails, others are asked, until what is known is too old to go on without
 * the store.
 * Consumers' onReachability tells of the store as a whole. It counts as lost when the calls for one collection fail, until those for
 * another one are answered.
 */
class CollectionSource
{
public:
    /** @param consumers Of each mirrored collection. */
    CollectionSource(boost::asio::io_context &ioContext, const SourceSettings &sourceSettings,
                     const std::shared_ptr<const store::StoreDialect> &dialect, std::map<store::Collection, store::WatcherHooks> consumers);

    /** @brief Begins to follow a relay, where setRegion() has told one, or to watch the store. */
    void start();
    /** @brief Takes the daemons of this daemon's region. */
    void setRegion(std::uint32_t region, std::map<DaemonHandle, PossibleRelay> daemons);
    /** @brief Sends followers to other relays, before the daemon stops. */
    void stopServing();
    /** @param isDaemonOverloaded Whether the daemon can't keep up; it serves no followers then. */
    void tick(Time now, bool isDaemonOverloaded);

private:
    store::WatcherHooks watcherHooks(store::Collection collection);
    MirrorHooks followerHooks();
    void leaveRelay(RelayFailure failure, const std::string &cause, Time now);
    void takeReply(const SyncReply &reply, Time composedAt);
    void takeUpdate(const CollectionUpdate &update, Time confirmedAt);
    void noteOutages(std::uint32_t outages);
    void chooseSource(Time now);
    void watchStore();
    void startWatchers();
    /** @returns whether what is known is too old, or a relay has let a daemon that knows nothing wait for too long. */
    bool needsStore(Time now) const;
    void setPaces();
    /** @brief Calls for a collection fail: the store counts as lost, unless others are answered. */
    void noteUnanswered(store::Collection collection, const std::string &cause);
    void noteAnswered(store::Collection collection, const std::string &cause);
    void setStoreLost(bool isLost, store::Collection collection, const std::string &cause);
    void tellReachability(bool isReachable, const std::string &cause);
    /** @brief Lets the next watcher search for the store, and stops the others. @param last The one whose call failed. */
    void passSearchOn(store::Collection last);
    /** @returns the collection whose watcher searches after another one's. */
    store::Collection nextSearcher(store::Collection collection) const;
    /** @brief Goes on without the collections that have not been answered for too long. */
    void passUnanswered(Time now);
    void serveIfAble();

    SourceSettings settings;
    std::map<store::Collection, store::WatcherHooks> hooks;
    Positions positions;
    SourceChoice choice;
    MirrorServer server;
    MirrorClient client;
    std::map<store::Collection, std::unique_ptr<store::CollectionWatcher>> watchers;
    std::map<DaemonHandle, PossibleRelay> relays;
    DaemonHandle followed; ///< Relay that is asked; invalid without one.
    bool hasReplied = false; ///< The relay that is asked.
    std::map<DaemonHandle, std::uint32_t> outagesOf; ///< As each relay told last.
    std::optional<Time> startedAt;
    /** Collections whose calls fail while others are answered, and when their consumers are told to go on without them. */
    std::map<store::Collection, Time> unanswered;
    std::optional<store::Collection> lostBy; ///< Collection whose calls failed when the store was lost.
    std::set<store::Collection> incomplete; ///< Collections whose list could not be read to its end.
    std::map<store::Collection, Time> asOf; ///< When each collection was the newest, as far as known.
    Time actsUntil {0}; ///< A substitute that took over goes on for a while, so that its followers need not move again soon.
    bool isStoreLost = false; ///< As the watches found, or a relay told.
    bool isWatching = false;
    bool isRetired = false;
    bool isOverloaded = false;
};

}
