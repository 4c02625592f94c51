#pragma once

/** @file Objects of the platform's store, as the daemon uses them. */

#include <nlohmann/json.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace eelgrassnotch::process::store
{

/** @brief The collections that a daemon follows. */
enum class Collection {
    Configuration, ///< Routes, services, workspaces; one object.
    Backends, ///< Entries that backend servers keep of themselves.
    TakenOutDataCentres, ///< One object for each data centre that is out of use.
    Daemons, ///< One object for each daemon, written by the daemons.
    Rollouts, ///< Orders to move services to another version; after the others, as relays name collections by their numbers.
    count,
};

/** @returns the name in logs and metrics. */
const char *nameOf(Collection collection);

/**
 * @brief A point in a collection's history.
 * @remarks Revisions grow within an era. When the store comes back from an older copy, an era begins, and revisions are given out again.
 */
struct Position {
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const Position &) const = default;
};

/** @brief One stored object. */
struct StoredObject {
    std::string name;
    std::uint64_t revision = 0; ///< Store revision of its last change.
    nlohmann::json content; ///< What its writer put there; null when it can't be read.
    nlohmann::json status {}; ///< What others wrote of it; null when there is none. Relays don't pass it on.

    bool operator==(const StoredObject &) const = default;
};

/** @brief Part of a list of objects. */
struct ObjectPage {
    std::vector<StoredObject> objects;
    std::string lastName; ///< Continue after this name; empty when no entry's name can be read.
    bool hasMore = false; ///< Unknown unless the page is whole, as is the revision.
    std::uint64_t revision = 0; ///< Store revision of the list.
    std::string failure; ///< Why the page was not read to its end; empty for a whole one.

    bool isWhole() const
    {
        return this->failure.empty();
    }

    bool operator==(const ObjectPage &) const = default;
};

/** @brief One change of a collection. */
struct ObjectChange {
    StoredObject object;
    bool isRemoved = false;

    bool operator==(const ObjectChange &) const = default;
};

/** @brief Changes after a revision. */
struct ChangePage {
    std::vector<ObjectChange> changes;
    std::uint64_t revision = 0; ///< Continue from here; unknown unless the changes are whole.
    std::string failure; ///< Why they were not read to their end; empty for whole ones.

    bool isWhole() const
    {
        return this->failure.empty();
    }

    bool operator==(const ChangePage &) const = default;
};

}
