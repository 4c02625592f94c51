#include "process/mirror/mirror_codec.h"

#include "process/mirror/wire/generated/mirror_generated.h"

namespace eelgrassnotch::process::mirror
{

namespace
{

using store::Collection;

/** Ages beyond this are as good as none: far more than any knowledge may be used for. */
constexpr std::uint64_t maxTimeUs = 3'600'000'000;

std::string bytesOf(const flatbuffers::FlatBufferBuilder &builder)
{
    const std::uint8_t *bytes = builder.GetBufferPointer();
    return {bytes, bytes + builder.GetSize()};
}

template <class Root>
const Root *verified(const std::string &bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    return verifier.VerifyBuffer<Root>(nullptr) ? flatbuffers::GetRoot<Root>(data) : nullptr;
}

std::optional<Collection> collectionOf(std::uint8_t number)
{
    if (number >= static_cast<std::uint8_t>(Collection::count)) {
        return std::nullopt;
    }
    return static_cast<Collection>(number);
}

/** Eras are one more on the wire, where zero stands for messages without one. */
std::uint64_t toWireEra(std::uint64_t era)
{
    return era == untoldEra ? 0 : era + 1;
}

std::uint64_t fromWireEra(std::uint64_t told)
{
    return told == 0 ? untoldEra : told - 1;
}

std::string textOf(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

}

std::string encodeRequest(const Positions &positions)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<wire::Position> known;
    std::vector<std::uint64_t> eras;
    for (const auto &[collection, position] : positions) {
        known.emplace_back(static_cast<std::uint8_t>(collection), position.revision);
        eras.push_back(toWireEra(position.era));
    }
    const auto offset = builder.CreateVectorOfStructs(known);
    const auto erasOffset = builder.CreateVector(eras);
    builder.Finish(wire::CreateSyncRequest(builder, offset, erasOffset));
    return bytesOf(builder);
}

std::optional<Positions> decodeRequest(const std::string &bytes)
{
    const auto *request = verified<wire::SyncRequest>(bytes);
    if (request == nullptr) {
        return std::nullopt;
    }
    Positions positions;
    if (const auto *known = request->positions()) {
        const auto *eras = request->eras();
        if (eras != nullptr && eras->size() != known->size()) {
            return std::nullopt;
        }
        for (flatbuffers::uoffset_t index = 0; index < known->size(); ++index) {
            const wire::Position *position = known->Get(index);
            const auto collection = collectionOf(position->collection());
            if (!collection) {
                return std::nullopt;
            }
            positions[*collection] = {fromWireEra(eras == nullptr ? 0 : eras->Get(index)), position->revision()};
        }
    }
    return positions;
}

std::string encodeReply(const SyncReply &reply)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::CollectionUpdate>> updates;
    for (const CollectionUpdate &update : reply.updates) {
        std::vector<flatbuffers::Offset<wire::Object>> objects;
        for (const MirroredObject &object : update.objects) {
            const auto name = builder.CreateString(object.name);
            const auto content = builder.CreateString(*object.content);
            objects.push_back(wire::CreateObject(builder, name, object.revision, content, object.isRemoved));
        }
        const auto objectsOffset = builder.CreateVector(objects);
        updates.push_back(wire::CreateCollectionUpdate(builder, static_cast<std::uint8_t>(update.collection), update.isList,
                                                       update.reached.revision, static_cast<std::uint64_t>(update.age.count()),
                                                       objectsOffset, toWireEra(update.reached.era)));
    }
    const auto updatesOffset = builder.CreateVector(updates);
    builder.Finish(wire::CreateSyncReply(builder, static_cast<std::uint64_t>(reply.held.count()), reply.outages, updatesOffset));
    return bytesOf(builder);
}

std::optional<SyncReply> decodeReply(const std::string &bytes)
{
    const auto *root = verified<wire::SyncReply>(bytes);
    if (root == nullptr || root->held_us() > maxTimeUs) {
        return std::nullopt;
    }
    SyncReply reply {Duration(static_cast<std::int64_t>(root->held_us())), root->outages(), {}};
    if (root->updates() == nullptr) {
        return reply;
    }
    for (const wire::CollectionUpdate *told : *root->updates()) {
        const auto collection = collectionOf(told->collection());
        if (!collection || told->age_us() > maxTimeUs) {
            return std::nullopt;
        }
        const store::Position reached {fromWireEra(told->era()), told->revision()};
        CollectionUpdate update {*collection, told->is_list(), reached, Duration(static_cast<std::int64_t>(told->age_us())), {}};
        if (const auto *objects = told->objects()) {
            for (const wire::Object *object : *objects) {
                update.objects.push_back({textOf(object->name()), object->revision(),
                                          std::make_shared<const std::string>(textOf(object->content())), object->is_removed()});
            }
        }
        reply.updates.push_back(std::move(update));
    }
    return reply;
}

}
