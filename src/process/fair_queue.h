#pragma once

/** @file Start-time fair queueing over workspaces; charged costs are corrected on completion. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace eelgrassnotch::process
{

/** @brief Fleet-wide id of a request: its router and the router's request counter. */
struct RequestKey {
    DaemonHandle router;
    std::uint64_t request = 0;

    constexpr auto operator<=>(const RequestKey &) const = default;
};

/** @brief One request that waits for a slot. */
struct WaitingRequest {
    RequestKey key;
    WorkspaceHandle workspace;
    std::uint32_t costHint = 0; ///< Cost units; zero without a hint.
    Time deadline {0};
    BackendServerHandle avoid; ///< Backend server of the previous attempt; the next one should use another.
    std::uint32_t attempt = 0;
};

/** @brief A request taken from the queue, with the cost charged for it. */
struct ChargedRequest {
    WaitingRequest request;
    std::uint32_t charged = 0; ///< Cost units; an estimate that correctCharge() replaces by the actual cost.
};

/**
 * @brief Start-time fair queue of one pool.
 *
 * A workspace's start tag is the larger of the virtual time and its finish tag.
 * The backlogged workspace with the lowest start tag is served next. An estimate
 * of the cost is charged when a request leaves the queue; correctCharge() adds
 * the difference to the actual cost. chargeRemoteService() charges the cost that
 * other dispatchers served, as in distributed start-time fair queueing.
 *
 * @remarks Not synchronized; one thread owns it.
 */
class FairQueue
{
public:
    /** @param weight Above zero; workspaces without a configured weight have 1. */
    void setWeight(WorkspaceHandle workspace, double weight);

    void push(const WaitingRequest &request);
    /**
     * @brief Removes and returns the first request, by start tag of its workspace, that can be placed.
     * @param canPlace Called with the oldest request of each backlogged workspace in turn.
     * @returns nothing if none of these requests can be placed.
     */
    std::optional<ChargedRequest> popIf(const std::function<bool(const WaitingRequest &)> &canPlace);

    /** @brief Removes a waiting request. @returns whether it was in the queue. */
    bool cancel(WorkspaceHandle workspace, RequestKey key);
    /** @brief Removes all waiting requests of one router. */
    void cancelRequestsOf(DaemonHandle router);
    /** @brief Removes and returns the requests whose deadline has passed. */
    std::vector<WaitingRequest> expire(Time now);

    /**
     * @brief Replaces the estimated charge of a finished request by its actual cost.
     * @param charged Cost units that popIf() charged.
     * @param actual Actual cost, in cost units.
     */
    void correctCharge(WorkspaceHandle workspace, std::uint32_t charged, std::uint32_t actual);
    /** @brief Cancels the charge of a request that did not run. */
    void refund(WorkspaceHandle workspace, std::uint32_t charged);
    /** @brief Charges a backlogged workspace for service by another dispatcher; ignored for other workspaces. */
    void chargeRemoteService(WorkspaceHandle workspace, std::uint64_t cost);

    /** @returns the cost units that a request would be charged now. */
    std::uint32_t estimateCost(WorkspaceHandle workspace, std::uint32_t costHint) const;
    /** @returns a cost that requests of the workspace rarely exceed: the estimate plus a multiple of the mean deviation. */
    std::uint32_t conservativeCost(WorkspaceHandle workspace, std::uint32_t costHint) const;

    std::size_t size() const
    {
        return this->waitingCount;
    }
    std::size_t waitingCountOf(WorkspaceHandle workspace) const;
    /** @returns whether any request of a router waits. */
    bool hasWaiting(DaemonHandle router) const
    {
        return this->waitingByRouter.contains(router);
    }
    bool isBacklogged(WorkspaceHandle workspace) const
    {
        return this->waitingCountOf(workspace) > 0;
    }
    /** @returns the fraction of the pool that a workspace would get if it were backlogged, in (0, 1]. */
    double fractionOf(WorkspaceHandle workspace) const;
    std::vector<WorkspaceHandle> backlogged() const;

private:
    struct Flow {
        double weight = 1.0;
        double finishTag = 0.0; ///< Cost units divided by the weight.
        double startTag = 0.0;
        double meanCost = 0.0; ///< Zero without history.
        double meanDeviation = 0.0; ///< Mean absolute deviation of the cost.
        std::deque<WaitingRequest> waiting;
    };
    using ActiveKey = std::pair<double, WorkspaceHandle>;

    void removeFromCounts(DaemonHandle router);
    ChargedRequest take(double startTag, WorkspaceHandle workspace);
    void activate(WorkspaceHandle workspace, Flow &flow);
    void deactivate(WorkspaceHandle workspace, Flow &flow);
    void moveFinishTag(WorkspaceHandle workspace, Flow &flow, double delta);

    Flow &flowOf(WorkspaceHandle workspace);
    double weightOf(WorkspaceHandle workspace) const;

    std::unordered_map<WorkspaceHandle, double> weights;
    std::unordered_map<WorkspaceHandle, Flow> flows; ///< Workspaces that had a request or a charge.
    std::set<ActiveKey> active;
    std::set<std::pair<Time, RequestKey>> deadlines;
    std::map<DaemonHandle, std::size_t> waitingByRouter; ///< Number of waiting requests; no entries with zero.
    double virtualTime = 0.0;
    double activeWeight = 0.0;
    double meanCost = 0.0; ///< Over all workspaces; zero without history.
    std::size_t waitingCount = 0;
};

}
