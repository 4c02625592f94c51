#include "process/dispatch/fair_share.h"

#include <algorithm>
#include <limits>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Half-life of what a workspace asked: the mean life is about half of the 4 s over which shares are judged. */
constexpr Duration usageHalfLife = 1400ms;

}

double waterLevel(std::vector<double> asked, double capacity)
{
    std::sort(asked.begin(), asked.end());
    double left = capacity;
    for (std::size_t index = 0; index < asked.size(); ++index) {
        const double even = left / static_cast<double>(asked.size() - index);
        if (asked[index] > even) {
            return even;
        }
        left -= asked[index];
    }
    return std::numeric_limits<double>::infinity();
}

FairShare::Usage &FairShare::usageOf(WorkspaceHandle workspace)
{
    return this->usages.try_emplace(workspace, Usage {DecayingSum(usageHalfLife), DecayingSum(usageHalfLife)}).first->second;
}

void FairShare::noteAsked(WorkspaceHandle workspace, double cost, Time now)
{
    this->usageOf(workspace).asked.add(cost, now);
}

void FairShare::noteServed(WorkspaceHandle workspace, double cost, Time now)
{
    this->usageOf(workspace).served.add(cost, now);
}

std::vector<exchange::WorkspaceLoad> FairShare::ownLoad(Time now) const
{
    std::vector<exchange::WorkspaceLoad> loads;
    for (const auto &[workspace, usage] : this->usages) {
        loads.push_back({workspace.id, usage.asked.rate(now), usage.served.rate(now)});
    }
    return loads;
}

void FairShare::update(const std::vector<exchange::WorkspaceLoad> &others, double capacity, Time now)
{
    const exchange::LoadSummary fleet = exchange::LoadSummary {this->ownLoad(now), {}}.plus({others, {}});
    std::vector<double> asked;
    double served = 0;
    for (const exchange::WorkspaceLoad &load : fleet.workspaces) {
        asked.push_back(load.demand);
        served += load.served;
    }
    this->guaranteedLevel = waterLevel(asked, capacity > 0 ? std::min(capacity, served) : served);
    this->level = waterLevel(std::move(asked), served);
    this->servedElsewhere.clear();
    for (const exchange::WorkspaceLoad &load : others) {
        this->servedElsewhere[WorkspaceHandle {load.workspace}] = load.served;
    }
}

ShareUsed FairShare::shareUsed(WorkspaceHandle workspace, Time now) const
{
    const auto own = this->usages.find(workspace);
    const auto elsewhere = this->servedElsewhere.find(workspace);
    const double served = (own == this->usages.end() ? 0 : own->second.served.rate(now))
        + (elsewhere == this->servedElsewhere.end() ? 0 : elsewhere->second);
    return {this->level > 0 ? served / this->level : 0, this->guaranteedLevel > 0 ? served / this->guaranteedLevel : 0};
}

}
