#pragma once

/** @file Bytes of what daemons ask and tell about the store's collections. */

#include "process/mirror/collection_mirror.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassnotch::process::mirror
{

/** @brief Position up to which each collection is known. */
using Positions = std::map<store::Collection, store::Position>;

/** @brief Answer of a daemon that watches the store. */
struct SyncReply {
    Duration held {0}; ///< Time between request and reply.
    std::uint32_t outages = 0; ///< How often the store was lost.
    std::vector<CollectionUpdate> updates;
};

std::string encodeRequest(const Positions &positions);
/** @returns nothing when the bytes are no request. @param bytes A string, as its storage is aligned for the numbers read in place. */
std::optional<Positions> decodeRequest(const std::string &bytes);
std::string encodeReply(const SyncReply &reply);
/** @returns nothing when the bytes are no reply. @param bytes As for a request. */
std::optional<SyncReply> decodeReply(const std::string &bytes);

}
