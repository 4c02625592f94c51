#pragma once

/** @file What daemons tell each other about rate limits that backend servers announce. */

#include "eelgrassnotch/types.h"

#include <cstdint>

namespace eelgrassnotch::process::exchange
{

/** @brief The newest statement of a backend server about its rate limit, as far as a daemon knows. */
struct LimitStatement {
    std::uint32_t incarnation = 0; ///< Hash that names one incarnation of a backend server.
    double rate = 0; ///< Requests per second from all daemons together; the last one when the limit has ended.
    bool hasEnded = false; ///< The newest answer announced no limit any more.
    Duration age {0}; ///< Time since the answer.

    bool operator==(const LimitStatement &) const = default;
};

}
