#include "process/directory/version_certainty.h"

#include <algorithm>

namespace eelgrassnotch::process::directory
{

namespace
{

using namespace std::chrono_literals;

/** Bytes that a process sent before its end have arrived by then. */
constexpr Duration lastBytesTime = 50ms;
/** An entry of a new start is in the store this long after the start. */
constexpr Duration entryWriteTime = 1s;

}

void VersionCertainty::recordSuspicion(Time now)
{
    this->firstSuspicion = std::min(this->firstSuspicion.value_or(now), now);
    this->lastSuspicion = now;
}

void VersionCertainty::recordBytes(Time openedAt, Time now)
{
    if (this->firstSuspicion && openedAt < *this->firstSuspicion && now - this->lastSuspicion >= lastBytesTime) {
        this->firstSuspicion.reset();
    }
}

void VersionCertainty::recordConfirmed(Time asOf, Duration entryLifetime)
{
    if (this->firstSuspicion && asOf - this->lastSuspicion >= entryLifetime + entryWriteTime) {
        this->firstSuspicion.reset();
    }
}

}
