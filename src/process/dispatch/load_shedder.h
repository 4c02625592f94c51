#pragma once

/** @file How much of its callers' requests an overloaded daemon takes. */

#include "eelgrassnotch/types.h"

namespace eelgrassnotch::process::dispatch
{

/** @brief How busy a daemon is, beside the others of the fleet. */
struct DaemonLoad {
    Duration timerLag {0}; ///< How late its timers ran: requests wait for as long before they are read.
    double demand = 0; ///< Cost of the requests that it took, per second.
    double meanDemand = 0; ///< The same of a daemon of the fleet in the mean; zero when it is not known.

    bool operator==(const DaemonLoad &) const = default;
};

/**
 * @brief Tells which part of its requests a daemon should take, so that those reach a backend server in time.
 *
 * The others are refused at once and reach another daemon when they are
 * repeated. A daemon that gets no more than others takes all: where the whole
 * fleet is busy, the repeats would find no daemon with more room.
 *
 * @remarks Load pattern: a balancer that hashes callers gives one VM most of a busy caller's requests, while its neighbours idle.
 */
class LoadShedder
{
public:
    /** @brief Adapts the part to the load; called at a constant period. */
    void update(const DaemonLoad &load);
    /** @returns whether the next request is taken. Those that are not are spread evenly over the rest. */
    bool acceptNext();
    /** @returns the part of the requests that is taken. */
    double acceptedFraction() const
    {
        return this->fraction;
    }

private:
    double fraction = 1;
    double credit = 0;
};

}
