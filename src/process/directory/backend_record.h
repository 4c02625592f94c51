#pragma once

/** @file What a backend server publishes of itself. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <string>

namespace eelgrassnotch::process::directory
{

/** @brief One published state of one incarnation of a backend server. */
struct BackendRecord {
    std::string id; ///< Instance; a restart may keep it.
    std::string service;
    std::string address; ///< IP:PORT; another instance may get it later.
    std::string dataCentre;
    std::uint32_t slots = 0; ///< Requests that it processes at once.
    bool isDraining = false; ///< It will stop soon and wants no new requests.
    Duration coldLeft {0}; ///< How long it stays cold, when it published this.
    std::int64_t startedAt = 0; ///< Wall clock of its start, ms since the epoch; tells incarnations apart.

    bool operator==(const BackendRecord &) const = default;
};

}
