#pragma once

/** @file Conversion of durations to the units of frames and documents. */

#include "eelgrassnotch/types.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace eelgrassnotch::process
{

/** @returns whole milliseconds, rounded down, within 0 and the largest 32-bit value. */
inline std::uint32_t toMilliseconds(Duration duration)
{
    const std::int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(milliseconds, 0, std::numeric_limits<std::uint32_t>::max()));
}

/** @returns microseconds within 0 and the largest 32-bit value. */
inline std::uint32_t toMicroseconds(Duration duration)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

}
