#pragma once

/** @file Load shedding of an overloaded daemon. */

#include "eelgrassnotch/types.h"

#include <map>

namespace eelgrassnotch::process::dispatch
{

/** @brief Load of a daemon, compared to the rest of the fleet. */
struct DaemonLoad {
    Duration timerLag {0}; ///< Delay of its timers; requests wait equally long before they are read.
    double demand = 0; ///< Cost of the requests that it received, per second.
    double meanDemand = 0; ///< Mean demand per daemon of the fleet; zero when it is unknown.

    bool operator==(const DaemonLoad &) const = default;
};

/**
 * @brief Decides which fraction of its requests an overloaded daemon accepts, so that these reach a backend server in time.
 *
 * The rest is refused at once and reaches another daemon when the caller
 * retries. A daemon whose demand is not above that of others accepts all
 * requests: when the whole fleet is busy, retries would find no daemon with
 * more free capacity. What it accepts is divided fairly among the workspaces
 * that send to it, so that one that sends little is not refused for a flood.
 *
 * @remarks Load pattern: a load balancer that hashes callers sends most requests of a busy caller to one VM, while its neighbours idle.
 */
class LoadShedder
{
public:
    /** @brief Adapts the fraction to the load; must be called at a constant interval. */
    void update(const DaemonLoad &load);
    /** @returns whether to accept the workspace's next request; refusals are spread evenly among its accepted requests. */
    bool acceptNext(WorkspaceHandle workspace);
    /** @returns the fraction of all requests that is accepted, 0 to 1. */
    double acceptedFraction() const
    {
        return this->fraction;
    }

private:
    struct Intake {
        double requests = 0; ///< Since the last update.
        double fraction = 1; ///< Of the workspace's requests that are accepted.
        double credit = 1; ///< Accumulated fractions; each accepted request uses up 1.
    };

    void divideAmongWorkspaces();

    double fraction = 1;
    std::map<WorkspaceHandle, Intake> intakes; ///< Of the workspaces with requests since the last update or the one before.
};

}
