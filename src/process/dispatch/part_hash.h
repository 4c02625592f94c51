#pragma once

/** @file Hash of prompt parts for tables. */

#include "process/rendezvous.h"

#include <cstddef>
#include <cstdint>

namespace eelgrassnotch::process::dispatch
{

/** @brief Spreads the ids of prompt parts. Callers choose them, so they may follow a pattern that fills one bucket of a table. */
struct PartHash {
    std::size_t operator()(std::uint64_t part) const
    {
        return mixBits(part);
    }
};

}
