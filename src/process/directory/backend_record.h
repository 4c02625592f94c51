#pragma once

/** @file Entry that a backend server publishes in the store. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <string>

namespace eelgrassnotch::process::directory
{

/** @brief Published state of one incarnation of a backend server. */
struct BackendRecord {
    std::string id; ///< Instance id; may stay the same after a restart.
    std::string service;
    std::string address; ///< IP:PORT; may be reused by another instance later.
    std::string dataCentre;
    std::uint32_t slots = 0; ///< Maximum number of requests that it processes concurrently.
    bool isDraining = false; ///< It will stop soon and must not get new requests.
    Duration coldLeft {0}; ///< Remaining cold period at the time of publication.
    std::int64_t startedAt = 0; ///< Wall-clock start time in ms since the Unix epoch; distinguishes incarnations.
    std::string version {}; ///< Of its software; empty where the entry names none.

    bool operator==(const BackendRecord &) const = default;
};

}
