#pragma once

/** @file Which backend servers there are, and which of them may get new requests. */

#include "process/directory/backend_server.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace eelgrassnotch::process::directory
{

/** @brief A change of what the daemon believes of one backend server. */
struct BackendChange {
    std::string id;
    Availability availability = Availability::Ready;
    std::string cause;

    bool operator==(const BackendChange &) const = default;
};

/**
 * @brief Follows the published entries of backend servers.
 *
 * Entries vanish by themselves while the store is away, since backend servers
 * can't refresh them. Such an entry names a usable backend server until the
 * store has been back for the time in which entries return.
 */
class BackendDirectory
{
public:
    /** Asked for the cache size of a service's engines, in tokens. */
    using CacheSizeLookup = std::function<std::uint64_t(const std::string &service)>;
    using ChangeHandler = std::function<void(const BackendChange &)>;

    BackendDirectory(CacheSizeLookup cacheSizeLookup, ChangeHandler changeHandler);

    /** @brief Takes one entry, new or changed. */
    void apply(const BackendRecord &record, Time now);
    /** @brief Takes the end of an entry. */
    void remove(const std::string &id, Time now);
    /** @brief Takes all entries at once, after the changes could not be followed. */
    void replaceAll(const std::vector<BackendRecord> &records, Time now);
    /** @brief Takes an entry that can't be read: it names no backend server to use. */
    void onUnreadableEntry(const std::string &id, Time now);
    void onStoreUnavailable();
    void onStoreAvailable(Time now);
    /** @brief Ends the grace of entries that did not come back. */
    void expireUnconfirmed(Time now);
    /** @brief Takes a backend server's own word that it leaves: final for this start of it, whatever its entries say. */
    void onLeaving(const BackendServerPtr &backend, Time now);
    /** @brief Takes the address of a backend server for another's, as that one has answered. */
    void onWrongInstance(const BackendServerPtr &backend);

    /** @brief Takes data centres out of use. Backend servers of returning ones are cold for a while. */
    void setTakenOut(const std::set<std::string> &dataCentres, Duration coldAfterReturn, Time now);
    bool isTakenOut(const std::string &dataCentre) const
    {
        return this->takenOut.contains(dataCentre);
    }
    /** @returns the backend servers of a service in the order of their ids. */
    const std::vector<BackendServerPtr> &ofService(const std::string &service) const;
    void forEach(const std::function<void(const BackendServerPtr &)> &function) const;
    std::size_t size() const
    {
        return this->backends.size();
    }

private:
    /** @brief A start of a backend server that has left, or is about to. */
    struct Departure {
        std::int64_t startedAt = 0;
        Time recordedAt {0};
    };

    void recordDeparture(const BackendRecord &record, Time now);
    bool hasDeparted(const BackendRecord &record) const;
    void setAvailability(BackendServer &backend, Availability availability, const std::string &cause);
    void removeBackend(const std::string &id, const std::string &cause);
    void rebuildIndex();

    CacheSizeLookup cacheSize;
    ChangeHandler onChange;
    std::map<std::string, BackendServerPtr> backends;
    std::map<std::string, std::vector<BackendServerPtr>> byService;
    std::map<std::string, Departure> departures; ///< The newest one of each id.
    std::set<std::string> takenOut;
    bool isStoreUnavailable = false;
    Time graceUntil {0}; ///< Entries that vanish before this may yet come back.
};

}
