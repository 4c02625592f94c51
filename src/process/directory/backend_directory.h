#pragma once

/** @file The known backend servers, and which of them may get new requests. */

#include "process/directory/backend_server.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassnotch::process::directory
{

/** @brief Change in the availability of one backend server. */
struct BackendChange {
    std::string id;
    Availability availability = Availability::Ready;
    std::string cause; ///< For logs.
    bool isRestart = false; ///< It has started again, and its former incarnation is gone.

    bool operator==(const BackendChange &) const = default;
};

/**
 * @brief Tracks backend servers by their entries in the store.
 *
 * Entries expire while the store is unavailable, since backend servers can't
 * refresh them. A backend server whose entry has vanished around such an
 * outage stays usable until the store has been available again for the time
 * that backend servers need to refresh their entries.
 */
class BackendDirectory
{
public:
    /** @returns the prefix cache size of a service's model engines, in tokens. */
    using CacheSizeLookup = std::function<std::uint64_t(const std::string &service)>;
    using ChangeHandler = std::function<void(const BackendChange &)>;

    BackendDirectory(CacheSizeLookup cacheSizeLookup, ChangeHandler changeHandler);

    /** @brief Applies a new or changed entry; an entry of an earlier incarnation is ignored. */
    void apply(const BackendRecord &record, Time now);
    /** @brief Applies the removal of an entry; around a store outage, the backend server only becomes unconfirmed. */
    void remove(const std::string &id, Time now);
    /** @brief Replaces all entries, after changes have been missed. */
    void replaceAll(const std::vector<BackendRecord> &records, Time now);
    /** @brief Applies entries of a list that is not known to its end: nothing is removed. */
    void applyPart(const std::vector<BackendRecord> &records, Time now);
    /** @brief Records that the entries were the newest at this time. @param entryLifetime See EdgeSettings. */
    void confirm(Time asOf, Duration entryLifetime);
    /** @brief Removes the backend server whose entry can't be parsed. */
    void onUnreadableEntry(const std::string &id, Time now);
    void onStoreUnavailable();
    void onStoreAvailable(Time now);
    /**
     * @brief Prepares for a list from a store that came back from an older copy.
     *
     * Backend servers that it lacks may have to write their entries again, as after an outage. Entries of those that are known to be gone
     * are ignored until they are written again.
     */
    void onStoreRestored(Time now);
    /** @brief Removes backend servers whose entries have not reappeared in time after a store outage, and outdated records of drained
     * incarnations. */
    void expireUnconfirmed(Time now);
    /** @brief Handles a backend server's own announcement that it is leaving; final for this incarnation, whatever its entries say. */
    void onDrainAnnounced(const BackendServerPtr &backend, Time now);
    /** @brief Removes a backend server after another instance has answered at its address. */
    void onWrongInstance(const BackendServerPtr &backend, Time now);

    /**
     * @brief Sets the data centres that are out of use.
     * @param coldAfterReturn How long the backend servers of a data centre are treated as cold after it returns.
     */
    void setTakenOut(const std::set<std::string> &dataCentres, Duration coldAfterReturn, Time now);
    bool isTakenOut(const std::string &dataCentre) const
    {
        return this->takenOut.contains(dataCentre);
    }
    /** @returns the backend servers of a service, ordered by id. */
    const std::vector<BackendServerPtr> &ofService(const std::string &service) const;
    /** @returns the backend server with this hash of its id and start time; null when it is unknown. */
    BackendServerPtr findIncarnation(std::uint32_t incarnation) const;
    void forEach(const std::function<void(const BackendServerPtr &)> &function) const;
    std::size_t size() const
    {
        return this->backends.size();
    }

private:
    /** @brief Incarnation of a backend server that has left or is leaving. */
    struct FormerIncarnation {
        std::int64_t startedAt = 0; ///< See BackendRecord.
        Time recordedAt {0};
    };

    using FormerIncarnations = std::map<std::string, FormerIncarnation>;

    static void recordFormer(FormerIncarnations &former, const BackendRecord &record, Time now);
    static bool isFormer(const FormerIncarnations &former, const BackendRecord &record);
    /** @returns whether an entry of a list is to be ignored, as it is older than its removal. */
    bool isOutdated(const BackendRecord &record, bool isRestored) const;
    void setAvailability(BackendServer &backend, Availability availability, const std::string &cause, bool isRestart = false);
    void removeBackend(const std::string &id, const std::string &cause, bool isRestart = false);
    /** @brief Removes a backend server that is not followed by a newer incarnation. */
    void removeEntry(const std::string &id, const std::string &cause, Time now);
    void add(const BackendServerPtr &backend);

    CacheSizeLookup cacheSize;
    ChangeHandler onChange;
    std::map<std::string, BackendServerPtr> backends;
    std::map<std::string, std::vector<BackendServerPtr>> byService; ///< By id.
    std::unordered_map<std::uint32_t, BackendServerPtr> byIncarnation;
    FormerIncarnations drainedIncarnations; ///< Newest one by backend server id.
    FormerIncarnations removedIncarnations; ///< The same for those whose entry was removed.
    bool isNextListRestored = false; ///< From an older copy of the store.
    std::set<std::string> takenOut;
    bool isStoreUnavailable = false;
    Time graceUntil {0}; ///< Entries that vanish before this time may reappear.
};

}
