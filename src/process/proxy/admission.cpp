#include "process/proxy/admission.h"

#include <algorithm>
#include <cmath>

namespace eelgrassnotch::process::proxy
{

namespace
{

using namespace std::chrono_literals;

/** Parts of the latency target that a queue may take; the rest is for the prompt and the network. */
struct QueueFractions {
    double withinShare;
    double overGuaranteed;
    double overServed;
};

/** The queue at the best backend server. */
constexpr QueueFractions bestBackendQueueFractions {0.65, 0.15, 0.05};
/** The mean queue of all engines, beyond what is on its way to and from engines that keep up. */
constexpr QueueFractions fleetQueueFractions {0.65, 0.08, 0.0};
/** Prompts count as unread for the time to a first event also where nothing waits: that time at six tenths of the engines' throughput. */
constexpr Duration baselinePrefillDelay = 45ms;
/** Between these multiples of its fair share, a workspace's part goes from the first to the second. */
constexpr double shareRampStart = 0.8;
constexpr double shareRampEnd = 1.1;
/** Bounds on the factor by which a request's cost changes the limit of a workspace over its share. */
constexpr double minCostFactor = 0.5;
constexpr double maxCostFactor = 3.0;
/** Part of that factor for a workspace that is over its promised share alone: it has a right to as much as the others get. */
constexpr double guaranteedExcessWeight = 0.3;
/** A workspace's limit falls with the multiple of its share of what is served, to this part at least. */
constexpr double minLimitFraction = 0.2;
/** Shortest time after which a refused caller is asked back. */
constexpr Duration minRetryAfter = 150ms;
constexpr std::uint64_t jitterSteps = 1024;

/** How far a workspace is beyond its share, from 0 to 1. */
double shareExcessOf(double shareUsed)
{
    return std::clamp((shareUsed - shareRampStart) / (shareRampEnd - shareRampStart), 0.0, 1.0);
}

double fractionAt(double shareUsed, double within, double over)
{
    return within + (over - within) * shareExcessOf(shareUsed);
}

/** Longest queue of this kind for a workspace that uses these multiples of its shares. */
Duration maxQueueDelay(const QueueFractions &fractions, const dispatch::ShareUsage &shareUsed, Duration latencyTarget)
{
    const double fraction = std::min(fractionAt(shareUsed.ofGuaranteed, fractions.withinShare, fractions.overGuaranteed),
                                     fractionAt(shareUsed.ofServed, fractions.withinShare, fractions.overServed));
    return Duration(static_cast<std::int64_t>(static_cast<double>(latencyTarget.count()) * fraction));
}

/** Longest mean queue of the engines at which a request is still sent. */
Duration maxFleetQueueDelay(const AdmissionInput &input)
{
    const Duration limit = baselinePrefillDelay + maxQueueDelay(fleetQueueFractions, input.shareUsed, input.latencyTarget);
    const double shareExcess
        = std::max(shareExcessOf(input.shareUsed.ofServed), guaranteedExcessWeight * shareExcessOf(input.shareUsed.ofGuaranteed));
    const double costFactor = std::clamp(1.0 / std::sqrt(input.relativeCost), minCostFactor, maxCostFactor);
    const double factor = input.isUnderserved ? maxCostFactor : costFactor;
    const double shareFactor = std::max(1.0 / std::max(input.shareUsed.ofServed, 1.0), minLimitFraction);
    return Duration(std::llround(static_cast<double>(limit.count()) * (1.0 + (factor - 1.0) * shareExcess) * shareFactor));
}

}

AdmissionDecision decideAdmission(const AdmissionInput &input)
{
    if (input.isRetry || input.latencyTarget == Duration(0)) {
        return {};
    }
    const Duration ownBaseline = std::min(input.ownPrefillDelay, baselinePrefillDelay);
    const Duration bestBackendExcess
        = input.queueDelay - ownBaseline - maxQueueDelay(bestBackendQueueFractions, input.shareUsed, input.latencyTarget);
    const Duration fleetExcess = input.fleetQueueDelay - maxFleetQueueDelay(input);
    const Duration queueExcess = std::max(bestBackendExcess, fleetExcess);
    if (queueExcess <= Duration(0)) {
        return {};
    }
    return {false, std::max(queueExcess, minRetryAfter)};
}

Duration jitterRetryAfter(Duration retryAfter, std::uint64_t requestHash)
{
    const Duration minDelay = std::max(retryAfter, minRetryAfter);
    return minDelay
        + Duration(minDelay.count() * static_cast<std::int64_t>(requestHash % jitterSteps) / static_cast<std::int64_t>(jitterSteps));
}

}
