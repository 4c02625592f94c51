#include "process/budget/closing_order.h"

#include <algorithm>

namespace eelgrassnotch::process::budget
{

namespace
{

bool isStalled(const ClosingCandidate &candidate)
{
    return (candidate.activity == Activity::Receiving || candidate.activity == Activity::Writing) && candidate.standstill >= stallTime;
}

double weightOf(const ClosingCandidate &candidate)
{
    return static_cast<double>(candidate.heldBytes) * std::chrono::duration<double>(candidate.standstill).count();
}

}

std::vector<std::size_t> chooseForDescriptors(const std::vector<ClosingCandidate> &candidates, std::size_t count)
{
    std::vector<std::size_t> chosen;
    const auto isUnused
        = [](const ClosingCandidate &candidate) { return candidate.activity == Activity::Idle || candidate.activity == Activity::Closing; };
    for (std::size_t place = 0; place < candidates.size(); ++place) {
        if (isUnused(candidates[place]) || isStalled(candidates[place])) {
            chosen.push_back(place);
        }
    }
    const auto comesFirst = [&](std::size_t left, std::size_t right) {
        const bool isLeftUnused = isUnused(candidates[left]);
        const bool isRightUnused = isUnused(candidates[right]);
        return isLeftUnused != isRightUnused ? isLeftUnused : candidates[left].standstill > candidates[right].standstill;
    };
    const auto end = chosen.begin() + static_cast<std::ptrdiff_t>(std::min(count, chosen.size()));
    std::partial_sort(chosen.begin(), end, chosen.end(), comesFirst);
    chosen.erase(end, chosen.end());
    return chosen;
}

std::vector<std::size_t> chooseForMemory(const std::vector<ClosingCandidate> &candidates, std::size_t bytes)
{
    std::vector<std::size_t> stalled;
    for (std::size_t place = 0; place < candidates.size(); ++place) {
        if (isStalled(candidates[place])) {
            stalled.push_back(place);
        }
    }
    std::sort(stalled.begin(), stalled.end(),
              [&](std::size_t left, std::size_t right) { return weightOf(candidates[left]) > weightOf(candidates[right]); });
    std::size_t freed = 0;
    std::size_t count = 0;
    while (count < stalled.size() && freed < bytes) {
        freed += candidates[stalled[count++]].heldBytes;
    }
    stalled.resize(count);
    return stalled;
}

bool isUntaken(const ClosingCandidate &candidate)
{
    return candidate.activity == Activity::Writing && candidate.standstill >= untakenTime;
}

}
