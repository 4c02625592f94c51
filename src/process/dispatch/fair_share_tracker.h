#pragma once

/** @file Max-min fair shares of workspaces, from their demand and served throughput in the whole fleet. */

#include "eelgrassnotch/types.h"
#include "process/dispatch/decaying_average.h"
#include "process/exchange/load_summary.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <vector>

namespace eelgrassnotch::process::dispatch
{

/**
 * @brief Computes the max-min fair share.
 * @param demands Demand of each workspace, cost per second.
 * @param capacity Throughput of all workspaces together, cost per second.
 * @returns the share of each workspace whose demand exceeds it; infinite when the capacity meets all demands.
 */
double maxMinShare(std::vector<double> demands, double capacity);

/** @brief What the fleet can serve and what it is working on. */
struct FleetState {
    double guaranteedThroughput = 0; ///< By the configuration, cost per second; zero when it is unknown.
    double engineThroughput = 0; ///< Prompt tokens per second that all usable engines can prefill.
    double pendingTokens = 0; ///< Prompt tokens of requests whose first event has not arrived, at all engines.

    bool operator==(const FleetState &) const = default;
};

/** @brief A workspace's served throughput as a multiple of its max-min fair shares; zero where the capacity meets all demands. */
struct ShareUsage {
    double ofServed = 0; ///< Of its fair share of the throughput that the fleet currently serves.
    double ofGuaranteed = 0; ///< Of its fair share of the configured throughput, where that is less.

    bool operator==(const ShareUsage &) const = default;
};

/**
 * @brief Tracks how much each workspace uses of its max-min fair shares, and this daemon's part of the share that it may still use.
 *
 * Under congestion, the served throughput equals the capacity of the backend
 * servers: a workspace above its fair share of it takes capacity from others.
 * A workspace above its fair share of the configured throughput has received
 * everything that the configuration guarantees.
 *
 * @remarks Load pattern: one workspace sends eight times its usual load through a few daemons, while the others send their usual load
 * through all of them.
 */
class FairShareTracker
{
public:
    /**
     * @brief Records a request of a workspace, served or not.
     * @param cost Prompt tokens plus twice the maximum number of tokens to generate.
     */
    void recordDemand(WorkspaceHandle workspace, double cost, Time now);
    /** @brief Records a request that reaches admission control: unlike demand, without those that an overloaded daemon sheds. */
    void recordOffered(WorkspaceHandle workspace, double cost, Time now);
    /**
     * @brief Records an admitted request of a workspace, which counts as served from its first attempt.
     *
     * For the cost see recordDemand().
     */
    void recordServed(WorkspaceHandle workspace, double cost, Time now);
    /** @returns demand and served throughput at this daemon, in ascending order of workspace ids. */
    std::vector<exchange::WorkspaceLoad> localLoad(Time now) const;
    /**
     * @brief Recomputes the fair shares and admission rates.
     * @param others Load reported by the other daemons.
     * @param meanCost Of a request; tells how many requests the rates of a workspace at this daemon stand for.
     */
    void update(const exchange::LoadSummary &others, const FleetState &state, double meanCost, Time now);
    ShareUsage shareUsage(WorkspaceHandle workspace, Time now) const;
    /**
     * @brief Rates at which this daemon may admit requests of each workspace, cost per second, as of the last update().
     *
     * A rate is the most that the fleet can serve the workspace fairly, times the part of the workspace's requests that arrives here.
     * Empty while the engines have room: then there is nothing to share out, and the parts are no reason to refuse a request.
     */
    const std::map<WorkspaceHandle, double> &admissionRates() const
    {
        return this->rateHere;
    }

private:
    struct Rates {
        DecayingSum demand;
        DecayingSum served;
        DecayingSum offered;
    };
    Rates &ratesOf(WorkspaceHandle workspace);

    /** Load of this daemon at a past time. */
    struct Snapshot {
        Time at {0};
        std::vector<exchange::WorkspaceLoad> loads;
    };
    /** @returns the newest snapshot that is at least as old as the other daemons' load; the oldest one, if none is. */
    const Snapshot &snapshotOfAge(Duration age, Time now) const;
    /**
     * @returns the part of each workspace's requests that arrives at this daemon, 0 to 1.
     * @param share Throughput that each workspace may use; infinite when all demands can be met.
     */
    std::map<WorkspaceHandle, double> partsHere(const exchange::LoadSummary &others, double share, double meanCost, Time now) const;
    void updateBacklogs(const exchange::LoadSummary &fleet, double share, Time now);
    /**
     * @brief The most that the fleet serves each workspace while another one asks for more than its share, and gets less of it.
     *
     * Its callers may all reach one VM, which can't handle them; what the others get then stays near what it gets.
     */
    struct ServiceBounds {
        WorkspaceHandle laggard; ///< The workspace that sets the lowest bound; it is not bound by itself.
        double lowest = std::numeric_limits<double>::infinity();
        double second = std::numeric_limits<double>::infinity();

        double of(WorkspaceHandle workspace) const
        {
            return workspace == this->laggard ? this->second : this->lowest;
        }
        bool operator==(const ServiceBounds &) const = default;
    };
    ServiceBounds serviceBounds(const exchange::LoadSummary &fleet, Time now) const;
    /** @returns the rate at which requests of the workspace currently reach admission control here. */
    double offeredRate(WorkspaceHandle workspace, Time now) const;

    std::map<WorkspaceHandle, Rates> rates;
    std::deque<Snapshot> history; ///< From the oldest to the newest one, and never empty after an update.
    std::map<WorkspaceHandle, double> servedByOthers;
    std::map<WorkspaceHandle, Time> backloggedSince; ///< Workspaces whose demand exceeds their share of the throughput.
    std::map<WorkspaceHandle, double> rateHere;
    double servedShare = 0; ///< Fair share of the served throughput; infinite when it meets all demands.
    double guaranteedShare = 0; ///< The same for the configured throughput, where that is less.
};

}
