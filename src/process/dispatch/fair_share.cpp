#include "process/dispatch/fair_share.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Half-life of what a workspace asked: the mean life is about half of the 4 s over which shares are judged. */
constexpr Duration usageHalfLife = 1400ms;

}

FairShare::Usage &FairShare::usageOf(const std::string &workspace)
{
    return this->usages.try_emplace(workspace, Usage {DecayingSum(usageHalfLife), DecayingSum(usageHalfLife)}).first->second;
}

void FairShare::noteAsked(const std::string &workspace, double cost, Time now)
{
    this->usageOf(workspace).asked.add(cost, now);
}

void FairShare::noteServed(const std::string &workspace, double cost, Time now)
{
    this->usageOf(workspace).served.add(cost, now);
}

double FairShare::level(double capacity, Time now) const
{
    std::vector<double> asked;
    asked.reserve(this->usages.size());
    for (const auto &[workspace, usage] : this->usages) {
        asked.push_back(usage.asked.rate(now));
    }
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

bool FairShare::isOverShare(const std::string &workspace, double capacity, Time now) const
{
    const auto found = this->usages.find(workspace);
    return found != this->usages.end() && found->second.served.rate(now) > this->level(capacity, now);
}

}
