#pragma once

/** @file Paces each workspace's admissions at one daemon to this daemon's part of the workspace's share of the fleet. */

#include "eelgrassnotch/types.h"

#include <map>

namespace eelgrassnotch::process::dispatch
{

/**
 * @brief Token bucket for each workspace, in cost units.
 *
 * The other daemons' load is known with a delay. If daemons admitted by that load
 * alone, all of them would admit at once when it falls, until their own
 * admissions come back to them. The buckets bound what a daemon admits in the
 * meantime; the rates of all daemons together add up to the workspace's share.
 *
 * @remarks Load pattern: two workspaces flood at the same time, one of them through all daemons and the other through two.
 */
class WorkspacePacer
{
public:
    /**
     * @brief Sets the rates at which this daemon may admit requests; workspaces that are not listed are not paced.
     * @param rates Cost per second.
     * @param meanCost Of a request; the burst that a bucket allows is at least one request.
     */
    void setRates(const std::map<WorkspaceHandle, double> &rates, double meanCost, Time now);
    /** @brief Records an admitted request. A request may cost more than the bucket holds; the next one then waits longer. */
    void recordAdmitted(WorkspaceHandle workspace, double cost, Time now);
    /** @returns the time until the next request may be admitted; zero for a workspace without a rate. */
    Duration delay(WorkspaceHandle workspace, Time now) const;
    /** @brief Removes all rates when they have not been set for some seconds. */
    void removeExpired(Time now);

private:
    struct Bucket {
        double rate = 0;
        double burst = 0;
        double level = 0; ///< Cost that may be admitted at once; negative after a request that cost more than that.
        Time updatedAt {0};

        double levelAt(Time now) const;
    };

    std::map<WorkspaceHandle, Bucket> buckets;
    Time ratesSetAt {0};
};

}
