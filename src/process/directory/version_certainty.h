#pragma once

/** @file Whether the version that a backend server's entry names is the one that answers. */

#include "eelgrassnotch/types.h"

#include <optional>

namespace eelgrassnotch::process::directory
{

/**
 * @brief A backend server that starts again under its id may have another version while its old entry still stands.
 * @remarks No I/O and no clock.
 */
class VersionCertainty
{
public:
    /** @brief Records what may have been the end of the process: a connection that was lost, refused or silent. */
    void recordSuspicion(Time now);
    /** @brief Records bytes of an answer. @param openedAt When their connection was opened. */
    void recordBytes(Time openedAt, Time now);
    /** @brief Records that the entry still was the newest at this time. @param entryLifetime How long it outlasts the last sign of life. */
    void recordConfirmed(Time asOf, Duration entryLifetime);
    /** @returns whether the process that the entry tells of has not ended since, as far as can be seen. */
    bool isCertain() const
    {
        return !this->firstSuspicion;
    }

private:
    std::optional<Time> firstSuspicion; ///< Connections that were opened before lead to the process that the entry tells of.
    Time lastSuspicion {0};
};

}
