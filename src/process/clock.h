#pragma once

/** @file The clock of a daemon. */

#include "eelgrassnotch/types.h"

#include <ctime>

namespace eelgrassnotch::process
{

/** @returns time since the machine's start; suspended and stopped time counts, so that leases lapse during a pause. */
inline Time readClock()
{
    timespec value {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    const auto sinceStart = std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
    return std::chrono::duration_cast<Time>(sinceStart);
}

}
