#pragma once

/** @file The operators' orders in the store, and their status. */

#include "process/proxy_dialect.h"
#include "process/rollout/rollouts.h"
#include "process/store/status_writer.h"

#include <functional>
#include <memory>

namespace eelgrassnotch::process
{

/**
 * @brief Follows the collection of orders and writes their status.
 *
 * Each daemon watches the store itself. Relays don't pass this collection on: one
 * of the earlier version doesn't know it, and no rollout may advance at a daemon
 * that doesn't reach the store, which its own watch tells.
 */
class RolloutKnowledge
{
public:
    /** @param countCall Called with the collection's name and the status of each call. */
    RolloutKnowledge(boost::asio::io_context &context, const std::string &storeAddress, std::shared_ptr<const ProxyDialect> proxyDialect,
                     rollout::Rollouts &knownRollouts, std::function<void(const std::string &collection, unsigned status)> countCall);

    /** @brief Begins to watch, where there are rollouts; makes no call otherwise. */
    void start();
    /** @brief Writes what is due; called several times a second. */
    void tick(Time now);
    /** @returns whether the collection has been read once, needn't be, or was waited for: the store may be away while daemons start. */
    bool isComplete(Time now) const;

private:
    store::WatcherHooks hooks();
    void apply(const store::StoredObject &object);
    void setReachable(bool isReachable, const std::string &cause);
    void onWritten(const rollout::StatusWrite &write, unsigned status, const std::optional<store::StoredObject> &current);

    std::shared_ptr<const ProxyDialect> dialect;
    rollout::Rollouts &rollouts;
    std::function<void(const std::string &collection, unsigned status)> onCall;
    bool hasList = false;
    bool isReachable = false;
    std::optional<Time> startedAt;
    Time writeAgainAt {0};
    store::CollectionWatcher watcher;
    store::StatusWriter writer;
};

}
