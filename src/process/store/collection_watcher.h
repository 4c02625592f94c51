#pragma once

/** @file Follows one collection of the store: a list, then watches from its revision on. */

#include "connection/http/call_client.h"
#include "process/store/objects.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassnotch::process::store
{

/** @brief The store's language; implemented where the platform is spoken. */
class StoreDialect
{
public:
    virtual ~StoreDialect() = default;

    /** @param mayBeStale Whether an answer that is some seconds old will do; such calls cost the store less. */
    virtual std::string listTarget(Collection collection, const std::string &afterName, bool mayBeStale) const = 0;
    virtual std::string watchTarget(Collection collection, std::uint64_t revision, Duration wait) const = 0;
    virtual std::string objectTarget(Collection collection, const std::string &name) const = 0;
    /** @throws std::exception when the body is none. */
    virtual ObjectPage readPage(const std::string &body) const = 0;
    /** @throws std::exception when the body is none. */
    virtual ChangePage readChanges(const std::string &body) const = 0;
    virtual std::string writeObject(const std::string &name, const nlohmann::json &content) const = 0;
};

/** @brief What a watcher tells its owner. */
struct WatcherHooks {
    /** All objects of the collection; earlier knowledge is replaced. */
    std::function<void(const std::vector<StoredObject> &)> onList;
    std::function<void(const ObjectChange &)> onChange;
    /** All changes that the store had accepted at this time are known; later ones follow this revision. */
    std::function<void(Time asOf, std::uint64_t revision)> onConfirmed;
    /** The store stopped answering, or answers again. */
    std::function<void(bool isReachable, const std::string &cause)> onReachability;
    /** One call was made, with its status; zero without an answer. */
    std::function<void(unsigned status)> onCall;
};

/** @brief How often a collection is asked for. Each call costs, so changes that may wait are taken together. */
struct WatchPace {
    Duration longestWait {0}; ///< How long the store may hold a watch that has no change to tell; zero to list again instead.
    Duration pause {0}; ///< After an answer with changes, or between lists.
    Duration searchPause {0}; ///< Least pause between calls while the store is lost.

    bool operator==(const WatchPace &) const = default;
};

/** @brief One kept connection to the store, with one call at a time. */
class CollectionWatcher
{
public:
    CollectionWatcher(boost::asio::io_context &context, connection::http::Endpoint storeAddress,
                      std::shared_ptr<const StoreDialect> storeDialect, Collection watched, WatchPace watchPace, WatcherHooks watcherHooks);

    /** @brief Begins, or goes on where it stopped. */
    void start();
    void stop();
    /** @brief Goes on after a revision that is known from elsewhere, if it is a later one. */
    void skipTo(std::uint64_t knownRevision);
    /** @brief Takes another pace with the next call. @returns whether it differs from the last one. */
    bool setPace(WatchPace newPace);

private:
    void call();
    void onAnswer(unsigned status, const std::string &body, Time sentAt);
    void onFailure(const std::string &cause);
    void takePage(const std::string &body, Time sentAt);
    void takeChanges(const std::string &body, Time sentAt);
    bool isPolling() const;
    void noteReachable();
    void again(Duration pause);

    connection::http::CallClient client;
    std::shared_ptr<const StoreDialect> dialect;
    Collection collection;
    WatchPace pace;
    WatcherHooks hooks;
    boost::asio::steady_timer timer;
    std::optional<std::uint64_t> revision; ///< Watch from here; list first without it.
    std::vector<StoredObject> listed; ///< Objects of the pages read so far.
    Time listBegun {0};
    std::uint32_t failures = 0;
    std::uint64_t turn = 0; ///< Of calls and pauses; a pause that an earlier turn began does nothing.
    bool isReachable = true;
    bool isStopped = true;
};

}
