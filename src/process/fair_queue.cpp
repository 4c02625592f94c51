#include "process/fair_queue.h"

#include "eelgrassnotch/config.h"

#include <algorithm>
#include <cmath>

namespace eelgrassnotch::process
{

namespace
{

/** Weight of the newest cost in the moving mean. */
constexpr double meanCostGain = 0.2;
/** A hint counts up to this multiple of the workspace's mean, and down to its inverse. */
constexpr double hintTrust = 4.0;
/** Mean deviations above the estimate that a cautious cost allows for. */
constexpr double cautiousDeviations = 2.0;

}

void FairQueue::setShare(WorkspaceHandle workspace, double share)
{
    this->shares[workspace] = share;
    const auto found = this->flows.find(workspace);
    if (found == this->flows.end()) {
        return;
    }
    if (!found->second.waiting.empty()) {
        this->activeShare += share - found->second.share;
    }
    found->second.share = share;
}

double FairQueue::shareOf(WorkspaceHandle workspace) const
{
    const auto found = this->shares.find(workspace);
    return found == this->shares.end() ? 1.0 : found->second;
}

FairQueue::Flow &FairQueue::flowOf(WorkspaceHandle workspace)
{
    const auto [position, isNew] = this->flows.try_emplace(workspace);
    if (isNew) {
        position->second.share = this->shareOf(workspace);
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
    ++this->byRouter[request.key.router];
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

void FairQueue::uncount(DaemonHandle router)
{
    --this->waitingCount;
    const auto found = this->byRouter.find(router);
    if (--found->second == 0) {
        this->byRouter.erase(found);
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
    this->uncount(taken.request.key.router);
    this->deadlines.erase({taken.request.deadline, taken.request.key});
    flow.finishTag = startTag + taken.charged / flow.share;
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
    this->uncount(key.router);
    return true;
}

void FairQueue::cancelRouter(DaemonHandle router)
{
    std::vector<std::pair<WorkspaceHandle, RequestKey>> leaving;
    for (const auto &[workspace, flow] : this->flows) {
        for (const WaitingRequest &waiting : flow.waiting) {
            if (waiting.key.router == router) {
                leaving.emplace_back(workspace, waiting.key);
            }
        }
    }
    for (const auto &[workspace, key] : leaving) {
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

void FairQueue::settle(WorkspaceHandle workspace, std::uint32_t charged, std::uint32_t actual)
{
    Flow &flow = this->flowOf(workspace);
    const double cost = std::min(actual, config::maxCost);
    const double deviation = flow.meanCost == 0.0 ? 0.0 : std::abs(cost - flow.meanCost);
    this->meanCost = this->meanCost == 0.0 ? cost : this->meanCost + meanCostGain * (cost - this->meanCost);
    flow.meanDeviation += meanCostGain * (deviation - flow.meanDeviation);
    flow.meanCost = flow.meanCost == 0.0 ? cost : flow.meanCost + meanCostGain * (cost - flow.meanCost);
    this->moveFinishTag(workspace, flow, (cost - charged) / flow.share);
}

void FairQueue::refund(WorkspaceHandle workspace, std::uint32_t charged)
{
    Flow &flow = this->flowOf(workspace);
    this->moveFinishTag(workspace, flow, -static_cast<double>(charged) / flow.share);
}

void FairQueue::chargeElsewhere(WorkspaceHandle workspace, std::uint64_t cost)
{
    const auto found = this->flows.find(workspace);
    if (found == this->flows.end() || found->second.waiting.empty()) {
        return;
    }
    this->moveFinishTag(workspace, found->second, static_cast<double>(cost) / found->second.share);
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
    const double bounded = std::clamp(hint, mean / hintTrust, mean * hintTrust);
    return static_cast<std::uint32_t>(std::clamp(bounded, 1.0, static_cast<double>(config::maxCost)));
}

std::uint32_t FairQueue::cautiousCost(WorkspaceHandle workspace, std::uint32_t costHint) const
{
    const auto found = this->flows.find(workspace);
    const double deviation = found == this->flows.end() ? 0.0 : found->second.meanDeviation;
    const double cost = this->estimateCost(workspace, costHint) + cautiousDeviations * deviation;
    return static_cast<std::uint32_t>(std::min(cost, static_cast<double>(config::maxCost)));
}

std::size_t FairQueue::waitingOf(WorkspaceHandle workspace) const
{
    const auto found = this->flows.find(workspace);
    return found == this->flows.end() ? 0 : found->second.waiting.size();
}

double FairQueue::fractionOf(WorkspaceHandle workspace) const
{
    const double share = this->shareOf(workspace);
    const double total = this->isBacklogged(workspace) ? this->activeShare : this->activeShare + share;
    return total <= 0.0 ? 1.0 : share / total;
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
    this->activeShare += flow.share;
}

void FairQueue::deactivate(WorkspaceHandle workspace, Flow &flow)
{
    this->active.erase({flow.startTag, workspace});
    this->activeShare -= flow.share;
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
