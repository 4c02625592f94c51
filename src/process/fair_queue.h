#pragma once

/** @file Start-time fair queueing over workspaces, with costs that are corrected at completion. */

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

/** @brief Name of a request across daemons: its router and the router's counter. */
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
    BackendServerHandle avoid; ///< Backend server of the former attempt.
    std::uint32_t attempt = 0;
};

/** @brief A request taken from the queue, with what it was charged. */
struct ChargedRequest {
    WaitingRequest request;
    std::uint32_t charged = 0; ///< Cost units, to be corrected by settle().
};

/**
 * @brief Start-time fair queue of one pool.
 *
 * A workspace's start tag is the larger of the virtual time and its finish tag.
 * The backlogged workspace of lowest start tag is served next. An estimate of
 * the cost is charged when a request leaves the queue; settle() charges the
 * difference to the true cost. Cost served elsewhere is charged by
 * chargeRemoteService(), as in distributed start-time fair queueing.
 *
 * @remarks Not synchronized; one thread owns it.
 */
class FairQueue
{
public:
    /** @param share Weight of a workspace, above zero; unknown workspaces weigh 1. */
    void setWeight(WorkspaceHandle workspace, double weight);

    void push(const WaitingRequest &request);
    /**
     * @brief Takes the first request, by start tag of its workspace, that can be placed.
     * @param canPlace Asked for the oldest request of one backlogged workspace after the other.
     * @returns nothing when no oldest request can be placed.
     */
    std::optional<ChargedRequest> popIf(const std::function<bool(const WaitingRequest &)> &canPlace);

    /** @brief Removes a waiting request. @returns whether it waited here. */
    bool cancel(WorkspaceHandle workspace, RequestKey key);
    /** @brief Removes all requests of one router. */
    void cancelRequestsOf(DaemonHandle router);
    /** @brief Removes and returns requests whose deadline is not after @p now. */
    std::vector<WaitingRequest> expire(Time now);

    /**
     * @brief Corrects the charge of a finished request.
     * @param charged What popIf() charged.
     * @param actual True cost, in cost units.
     */
    void correctCharge(WorkspaceHandle workspace, std::uint32_t charged, std::uint32_t actual);
    /** @brief Gives back a charge, for a request that did not run. */
    void refund(WorkspaceHandle workspace, std::uint32_t charged);
    /** @brief Charges service that a backlogged workspace got from another dispatcher. */
    void chargeRemoteService(WorkspaceHandle workspace, std::uint64_t cost);

    /** @returns what a request would be charged now, in cost units. */
    std::uint32_t estimateCost(WorkspaceHandle workspace, std::uint32_t costHint) const;
    /** @returns a cost that a request of the workspace seldom exceeds: the estimate and a multiple of the mean deviation. */
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
    /** @returns the part of the pool that a workspace would get if it were backlogged, in (0, 1]. */
    double fractionOf(WorkspaceHandle workspace) const;
    std::vector<WorkspaceHandle> backlogged() const;

private:
    struct Flow {
        double weight = 1.0;
        double finishTag = 0.0; ///< Cost units over share.
        double startTag = 0.0;
        double meanCost = 0.0; ///< Zero without history.
        double meanDeviation = 0.0; ///< Of the cost from its mean.
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
    std::unordered_map<WorkspaceHandle, Flow> flows; ///< Of workspaces that were seen here.
    std::set<ActiveKey> active;
    std::set<std::pair<Time, RequestKey>> deadlines;
    std::map<DaemonHandle, std::size_t> waitingByRouter; ///< Waiting requests; no entry for none.
    double virtualTime = 0.0;
    double activeWeight = 0.0;
    double meanCost = 0.0; ///< Over all workspaces; zero without history.
    std::size_t waitingCount = 0;
};

}
