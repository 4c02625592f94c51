#pragma once

/** @file Keeps one collection of the store for daemons that do not ask the store themselves. */

#include "eelgrassnotch/types.h"
#include "process/store/objects.h"

#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassnotch::process::mirror
{

/** Era of a position that a daemon of an earlier version told: it counts as the one that the other side knows. */
constexpr std::uint64_t untoldEra = std::numeric_limits<std::uint64_t>::max();

/** @brief An object or its removal, with its content as text. */
struct MirroredObject {
    std::string name;
    std::uint64_t revision = 0;
    std::shared_ptr<const std::string> content; ///< JSON; shared by all replies that carry it.
    bool isRemoved = false;
};

/** @returns the object as it is passed on. */
MirroredObject toMirrored(const store::StoredObject &object, bool isRemoved);
/** @returns the object as the store told it; without content that is no JSON. */
store::StoredObject toStored(const MirroredObject &object);

/** @brief What a daemon lacks of a collection. */
struct CollectionUpdate {
    store::Collection collection = store::Collection::count;
    bool isList = false; ///< All objects instead of changes.
    store::Position reached; ///< Continue from here; untoldEra where a relay of an earlier version does not tell the era.
    Duration age {0}; ///< Since the store confirmed that this is the newest.
    std::vector<MirroredObject> objects;
};

/** @brief The objects of a collection and its last changes. */
class CollectionMirror
{
public:
    explicit CollectionMirror(store::Collection mirrored);

    void replaceAll(std::vector<MirroredObject> all);
    void apply(MirroredObject object);
    /** @brief Ends a list or a batch of changes. @param position What it reaches; a later era begins with a list. @param asOf When it was
     * the newest. */
    void confirm(const store::Position &position, Time asOf);

    /** @returns whether there is a list to tell. */
    bool isComplete() const
    {
        return this->reached.revision > 0;
    }
    Time confirmedAt() const
    {
        return this->asOf;
    }
    /** @returns whether something changed after a position. */
    bool hasNewsSince(const store::Position &known) const
    {
        return this->isOtherEra(known) || this->lastChange > known.revision;
    }
    /** @returns whether a position is of a later era than what is mirrored. */
    bool isBehind(const store::Position &known) const
    {
        return this->isOtherEra(known) && known.era > this->reached.era;
    }
    /** @returns changes after a position, or the whole list where they are not known any more. */
    CollectionUpdate since(const std::optional<store::Position> &known, Time now) const;

private:
    struct Change {
        std::uint64_t revision = 0; ///< Of the batch: store revisions of removals are not told.
        MirroredObject object;
    };

    bool isOtherEra(const store::Position &known) const
    {
        return known.era != untoldEra && known.era != this->reached.era;
    }

    store::Collection collection;
    std::map<std::string, MirroredObject> objects;
    std::vector<MirroredObject> batch; ///< Changes that are not confirmed yet.
    std::deque<Change> history;
    std::uint64_t historyFrom = 0; ///< Changes after this revision are in the history.
    store::Position reached;
    std::uint64_t lastChange = 0;
    bool isRelisted = false;
    Time asOf {0};
};

}
