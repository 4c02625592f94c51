#include "process/proxy/admission.h"

#include <algorithm>
#include <cmath>

namespace eelgrassnotch::process::proxy
{

namespace
{

using namespace std::chrono_literals;

/** Parts of the latency target that a queue may take; the rest is for the prompt and the network. */
struct QueueParts {
    double withinShare;
    double overGuaranteed;
    double overServed;
};

/** The queue at the best backend server. */
constexpr QueueParts bestQueueParts {0.65, 0.15, 0.05};
/** The mean queue of all engines, beyond what is on its way to and from engines that keep up. */
constexpr QueueParts fleetQueueParts {0.65, 0.08, 0.0};
/** Prompts count as unread for the time to a first event also where nothing waits: that time at six tenths of the engines' throughput. */
constexpr Duration promptsUnderWay = 45ms;
/** Between these multiples of its fair share, a workspace's part goes from the first to the second. */
constexpr double shareUnbound = 0.8;
constexpr double shareBound = 1.1;
/** Bounds on the factor by which a request's cost changes the limit of a workspace over its share. */
constexpr double leastCostFactor = 0.5;
constexpr double mostCostFactor = 3.0;
/** Part of that factor for a workspace that is over its promised share alone: it has a right to as much as the others get. */
constexpr double promisedCostPart = 0.3;
/** A workspace's limit falls with the multiple of its share of what is served, to this part at least. */
constexpr double leastLimitPart = 0.2;
/** Shortest time after which a refused caller is asked back. */
constexpr Duration shortestReturn = 150ms;
constexpr std::uint64_t spreadSteps = 1024;

/** How far a workspace is beyond its share, from 0 to 1. */
double excessOf(double shareUsed)
{
    return std::clamp((shareUsed - shareUnbound) / (shareBound - shareUnbound), 0.0, 1.0);
}

double partAt(double shareUsed, double within, double over)
{
    return within + (over - within) * excessOf(shareUsed);
}

/** Longest queue of this kind for a workspace that uses these multiples of its shares. */
Duration longestQueue(const QueueParts &parts, const dispatch::ShareUsage &shareUsed, Duration latencyTarget)
{
    const double part = std::min(partAt(shareUsed.ofGuaranteed, parts.withinShare, parts.overGuaranteed),
                                 partAt(shareUsed.ofServed, parts.withinShare, parts.overServed));
    return Duration(static_cast<std::int64_t>(static_cast<double>(latencyTarget.count()) * part));
}

/** Longest mean queue of the engines at which a request is still sent. */
Duration longestFleetQueue(const AdmissionInput &input)
{
    const Duration limit = promptsUnderWay + longestQueue(fleetQueueParts, input.shareUsed, input.latencyTarget);
    const double excess = std::max(excessOf(input.shareUsed.ofServed), promisedCostPart * excessOf(input.shareUsed.ofGuaranteed));
    const double byCost = std::clamp(1.0 / std::sqrt(input.relativeCost), leastCostFactor, mostCostFactor);
    const double factor = input.isBehind ? mostCostFactor : byCost;
    const double byShare = std::max(1.0 / std::max(input.shareUsed.ofServed, 1.0), leastLimitPart);
    return Duration(std::llround(static_cast<double>(limit.count()) * (1.0 + (factor - 1.0) * excess) * byShare));
}

}

AdmissionDecision decideAdmission(const AdmissionInput &input)
{
    if (input.isRepeat || input.latencyTarget == Duration(0)) {
        return {};
    }
    const Duration ownUnderWay = std::min(input.ownUnread, promptsUnderWay);
    const Duration beyondBest = input.queueDelay - ownUnderWay - longestQueue(bestQueueParts, input.shareUsed, input.latencyTarget);
    const Duration beyondFleet = input.fleetQueue - longestFleetQueue(input);
    const Duration beyond = std::max(beyondBest, beyondFleet);
    if (beyond <= Duration(0)) {
        return {};
    }
    return {false, std::max(beyond, shortestReturn)};
}

Duration spreadReturn(Duration comeBackAfter, std::uint64_t draw)
{
    const Duration least = std::max(comeBackAfter, shortestReturn);
    return least + Duration(least.count() * static_cast<std::int64_t>(draw % spreadSteps) / static_cast<std::int64_t>(spreadSteps));
}

}
