#include "process/fair_queue.h"

#include "eelgrassnotch/config.h"

#include <algorithm>
#include <cmath>

namespace eelgrassnotch::process
{

namespace
{

/** Weight of the newest cost in the exponential moving average. */
constexpr double costSmoothingFactor = 0.2;
/** Cost hints are clamped to between the workspace's mean cost divided and multiplied by this factor. */
constexpr double maxHintFactor = 4.0;
/** Mean deviations that a conservative cost adds to the estimate. */
constexpr double conservativeDeviations = 2.0;

}

void FairQueue::setWeight(WorkspaceHandle workspace, double weight)
{
    this->weights[workspace] = weight;
    const auto found = this->flows.find(workspace);
    if (found == this->flows.end()) {
        return;
    }
    if (!found->second.waiting.empty()) {
        this->activeWeight += weight - found->second.weight;
    }
    found->second.weight = weight;
}

double FairQueue::weightOf(WorkspaceHandle workspace) const
{
    const auto found = this->weights.find(workspace);
    return found == this->weights.end() ? 1.0 : found->second;
}

FairQueue::Flow &FairQueue::flowOf(WorkspaceHandle workspace)
{
    const auto [position, isNew] = this->flows.try_emplace(workspace);
    if (isNew) {
        position->second.weight = this->weightOf(workspace);
    }
    return position->second;
}

void FairQueue::push(const WaitingRequest &request)
{
    const WorkspaceHandle workspace = request.workspace;
    Flow &flow = this->flowOf(workspace);
    this->deadlines.emplace(request.deadline, request.key);
    flow.waiting.push_back(request);
    ++this->waitingCount;
    ++this->waitingByRouter[request.key.router];
    if (flow.waiting.size() == 1) {
        this->activate(workspace, flow);
    }
}

std::optional<ChargedRequest> FairQueue::popIf(const std::function<bool(const WaitingRequest &)> &canPlace)
{
    for (const auto &[startTag, workspace] : this->active) {
        if (canPlace(this->flows.at(workspace).waiting.front())) {
            return this->take(startTag, workspace);
        }
    }
    return std::nullopt;
}

void FairQueue::removeFromCounts(DaemonHandle router)
{
    --this->waitingCount;
    const auto found = this->waitingByRouter.find(router);
    if (--found->second == 0) {
        this->waitingByRouter.erase(found);
    }
}

ChargedRequest FairQueue::take(double startTag, WorkspaceHandle workspace)
{
    Flow &flow = this->flowOf(workspace);
    this->virtualTime = std::max(this->virtualTime, this->active.begin()->first);
    ChargedRequest taken {flow.waiting.front(), 0};
    taken.charged = this->estimateCost(workspace, taken.request.costHint);
    this->deactivate(workspace, flow);
    flow.waiting.pop_front();
    this->removeFromCounts(taken.request.key.router);
    this->deadlines.erase({taken.request.deadline, taken.request.key});
    flow.finishTag = startTag + taken.charged / flow.weight;
    if (!flow.waiting.empty()) {
        this->activate(workspace, flow);
    }
    return taken;
}

bool FairQueue::cancel(WorkspaceHandle workspace, RequestKey key)
{
    const auto found = this->flows.find(workspace);
    if (found == this->flows.end()) {
        return false;
    }
    Flow &flow = found->second;
    const auto position = std::find_if(flow.waiting.begin(), flow.waiting.end(), [key](const auto &waiting) { return waiting.key == key; });
    if (position == flow.waiting.end()) {
        return false;
    }
    this->deadlines.erase({position->deadline, key});
    const bool last = flow.waiting.size() == 1;
    if (last) {
        this->deactivate(workspace, flow);
    }
    flow.waiting.erase(position);
    this->removeFromCounts(key.router);
    return true;
}

void FairQueue::cancelRequestsOf(DaemonHandle router)
{
    std::vector<std::pair<WorkspaceHandle, RequestKey>> cancelled;
    for (const auto &[workspace, flow] : this->flows) {
        for (const WaitingRequest &waiting : flow.waiting) {
            if (waiting.key.router == router) {
                cancelled.emplace_back(workspace, waiting.key);
            }
        }
    }
    for (const auto &[workspace, key] : cancelled) {
        this->cancel(workspace, key);
    }
}

std::vector<WaitingRequest> FairQueue::expire(Time now)
{
    std::vector<WaitingRequest> expired;
    if (this->deadlines.empty() || this->deadlines.begin()->first > now) {
        return expired;
    }
    for (const auto &[workspace, flow] : this->flows) {
        const auto isExpired = [now](const WaitingRequest &waiting) { return waiting.deadline <= now; };
        std::copy_if(flow.waiting.begin(), flow.waiting.end(), std::back_inserter(expired), isExpired);
    }
    for (const WaitingRequest &waiting : expired) {
        this->cancel(waiting.workspace, waiting.key);
    }
    return expired;
}

void FairQueue::correctCharge(WorkspaceHandle workspace, std::uint32_t charged, std::uint32_t actual)
{
    Flow &flow = this->flowOf(workspace);
    const double cost = std::min(actual, config::maxCost);
    const double deviation = flow.meanCost == 0.0 ? 0.0 : std::abs(cost - flow.meanCost);
    this->meanCost = this->meanCost == 0.0 ? cost : this->meanCost + costSmoothingFactor * (cost - this->meanCost);
    flow.meanDeviation += costSmoothingFactor * (deviation - flow.meanDeviation);
    flow.meanCost = flow.meanCost == 0.0 ? cost : flow.meanCost + costSmoothingFactor * (cost - flow.meanCost);
    this->moveFinishTag(workspace, flow, (cost - charged) / flow.weight);
}

void FairQueue::refund(WorkspaceHandle workspace, std::uint32_t charged)
{
    Flow &flow = this->flowOf(workspace);
    this->moveFinishTag(workspace, flow, -static_cast<double>(charged) / flow.weight);
}

void FairQueue::chargeRemoteService(WorkspaceHandle workspace, std::uint64_t cost)
{
    const auto found = this->flows.find(workspace);
    if (found == this->flows.end() || found->second.waiting.empty()) {
        return;
    }
    this->moveFinishTag(workspace, found->second, static_cast<double>(cost) / found->second.weight);
}

std::uint32_t FairQueue::estimateCost(WorkspaceHandle workspace, std::uint32_t costHint) const
{
    const auto found = this->flows.find(workspace);
    const bool hasHistory = found != this->flows.end() && found->second.meanCost > 0.0;
    const double mean = hasHistory ? found->second.meanCost : this->meanCost;
    if (mean == 0.0) {
        return std::clamp(costHint == 0 ? config::defaultCost : costHint, 1u, config::maxCost);
    }
    const double hint = costHint == 0 ? mean : static_cast<double>(costHint);
    const double bounded = std::clamp(hint, mean / maxHintFactor, mean * maxHintFactor);
    return static_cast<std::uint32_t>(std::clamp(bounded, 1.0, static_cast<double>(config::maxCost)));
}

std::uint32_t FairQueue::conservativeCost(WorkspaceHandle workspace, std::uint32_t costHint) const
{
    const auto found = this->flows.find(workspace);
    const double deviation = found == this->flows.end() ? 0.0 : found->second.meanDeviation;
    const double cost = this->estimateCost(workspace, costHint) + conservativeDeviations * deviation;
    return static_cast<std::uint32_t>(std::min(cost, static_cast<double>(config::maxCost)));
}

std::size_t FairQueue::waitingCountOf(WorkspaceHandle workspace) const
{
    const auto found = this->flows.find(workspace);
    return found == this->flows.end() ? 0 : found->second.waiting.size();
}

double FairQueue::fractionOf(WorkspaceHandle workspace) const
{
    const double weight = this->weightOf(workspace);
    const double total = this->isBacklogged(workspace) ? this->activeWeight : this->activeWeight + weight;
    return total <= 0.0 ? 1.0 : weight / total;
}

std::vector<WorkspaceHandle> FairQueue::backlogged() const
{
    std::vector<WorkspaceHandle> workspaces;
    for (const auto &[tag, workspace] : this->active) {
        workspaces.push_back(workspace);
    }
    return workspaces;
}

void FairQueue::activate(WorkspaceHandle workspace, Flow &flow)
{
    flow.startTag = std::max(this->virtualTime, flow.finishTag);
    this->active.emplace(flow.startTag, workspace);
    this->activeWeight += flow.weight;
}

void FairQueue::deactivate(WorkspaceHandle workspace, Flow &flow)
{
    this->active.erase({flow.startTag, workspace});
    this->activeWeight -= flow.weight;
}

void FairQueue::moveFinishTag(WorkspaceHandle workspace, Flow &flow, double delta)
{
    flow.finishTag += delta;
    if (flow.waiting.empty()) {
        return;
    }
    this->active.erase({flow.startTag, workspace});
    flow.startTag = std::max(this->virtualTime, flow.startTag + delta);
    flow.finishTag = std::max(flow.finishTag, flow.startTag);
    this->active.emplace(flow.startTag, workspace);
}

}
