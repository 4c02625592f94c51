#include "process/mirror/collection_mirror.h"

#include <algorithm>
#include <utility>

namespace eelgrassnotch::process::mirror
{

namespace
{

/** Changes that are kept; a daemon asks every second, and the store takes some hundred changes in that time at most. */
constexpr std::size_t historyLength = 512;

}

MirroredObject toMirrored(const store::StoredObject &object, bool isRemoved)
{
    const bool hasContent = !isRemoved && !object.content.is_null();
    return {object.name, object.revision, std::make_shared<const std::string>(hasContent ? object.content.dump() : ""), isRemoved};
}

store::StoredObject toStored(const MirroredObject &object)
{
    auto content = nlohmann::json::parse(*object.content, nullptr, false);
    if (content.is_discarded()) {
        content = nullptr;
    }
    return {object.name, object.revision, std::move(content)};
}

CollectionMirror::CollectionMirror(store::Collection mirrored)
    : collection(mirrored)
{
}

void CollectionMirror::replaceAll(std::vector<MirroredObject> all)
{
    this->objects.clear();
    this->batch.clear();
    this->history.clear();
    for (MirroredObject &object : all) {
        this->objects.insert_or_assign(object.name, std::move(object));
    }
    this->isRelisted = true;
}

void CollectionMirror::apply(MirroredObject object)
{
    if (object.isRemoved) {
        this->objects.erase(object.name);
    } else {
        this->objects.insert_or_assign(object.name, object);
    }
    this->batch.push_back(std::move(object));
}

void CollectionMirror::confirm(const store::Position &position, Time at)
{
    if (this->isRelisted) {
        // Changes between the last batch and the list are not known one by one.
        this->isRelisted = false;
        this->historyFrom = position.revision;
        this->lastChange = position.revision;
    }
    if (!this->batch.empty()) {
        this->lastChange = position.revision;
    }
    for (MirroredObject &object : this->batch) {
        this->history.push_back({position.revision, std::move(object)});
    }
    this->batch.clear();
    while (this->history.size() > historyLength) {
        this->historyFrom = this->history.front().revision;
        this->history.pop_front();
    }
    this->reached = std::max(this->reached, position);
    this->asOf = std::max(this->asOf, at);
}

CollectionUpdate CollectionMirror::since(const std::optional<store::Position> &known, Time now) const
{
    CollectionUpdate update {this->collection, false, this->reached, now - this->asOf, {}};
    if (!known || this->isOtherEra(*known) || known->revision < this->historyFrom) {
        update.isList = true;
        for (const auto &[name, object] : this->objects) {
            update.objects.push_back(object);
        }
        return update;
    }
    for (const Change &change : this->history) {
        if (change.revision > known->revision) {
            update.objects.push_back(change.object);
        }
    }
    return update;
}

}
