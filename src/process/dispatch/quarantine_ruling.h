#pragma once

/** @file What becomes of a request because of its prompt's parts. */

#include "eelgrassnotch/types.h"

#include <cstdint>

namespace eelgrassnotch::process::dispatch
{

/** @brief What becomes of a request because of its prompt's parts. */
struct QuarantineRuling {
    enum class Kind {
        Sent, ///< No part of it is quarantined.
        Trial, ///< Sent, to find out which of several quarantined parts ends backend servers.
        Claim, ///< Asks again after `retryAfter`, and is a trial then unless another daemon's claim goes before.
        Refused,
    };

    Kind kind = Kind::Sent;
    std::uint64_t part = 0; ///< The quarantined part that decides.
    Duration retryAfter {0}; ///< When a request that isn't sent may come again.

    bool operator==(const QuarantineRuling &) const = default;
};

}
