#include "process/proxy/admission.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace eelgrassnotch::process::proxy
{

namespace
{

using namespace std::chrono_literals;

/** Fractions of the latency target that a queue may use up; the rest is for prefill of the prompt and for the network. */
struct QueueFractions {
    double withinShare;
    double overGuaranteed; ///< For a workspace over its guaranteed share.
    double overServed; ///< For a workspace over its fair share of what is served.
};

/** For the predicted queue at the chosen backend server. */
constexpr QueueFractions bestBackendQueueFractions {0.65, 0.15, 0.05};
/** For the mean queue of all engines, in addition to baselinePrefillDelay. */
constexpr QueueFractions fleetQueueFractions {0.65, 0.08, 0.0};
/**
 * Pending prefill that does not count as a queue: a prompt is pending until its first event arrives, even at an engine without
 * a queue. The value is for 60% of the engines' throughput.
 */
constexpr Duration baselinePrefillDelay = 45ms;
/** Between these multiples of a workspace's share, its queue limit falls linearly from the value within the share to the one over it. */
constexpr double shareRampStart = 0.8;
constexpr double shareRampEnd = 1.1;
/** Bounds of the factor by which the request's cost scales the queue limit of a workspace over its share. */
constexpr double minCostFactor = 0.5;
constexpr double maxCostFactor = 3.0;
/**
 * The excess over the guaranteed share counts in full from the upper one of these multiples of the served share on, and with a reduced
 * weight below the lower one: a workspace far below its share would otherwise lose the free capacity to those that ask for it more often.
 */
constexpr double servedRampStart = 0.6;
constexpr double servedRampEnd = 0.9;
constexpr double laggardExcessWeight = 0.8;
/**
 * Weight of the excess over the guaranteed share when it scales the cost factor; the excess over the served share has weight 1.
 * A workspace that is over its guaranteed share only is still entitled to as much as the others get.
 */
constexpr double guaranteedExcessWeight = 0.3;
/** The limit is divided by the workspace's use of its served share, but not reduced below this fraction. */
constexpr double minLimitFraction = 0.2;
constexpr Duration minRetryAfter = 150ms;
constexpr std::uint64_t jitterSteps = 1024;

/** How far a workspace is over its share, from 0 (within) to 1 (over). */
double shareExcessOf(double shareUsed)
{
    return std::clamp((shareUsed - shareRampStart) / (shareRampEnd - shareRampStart), 0.0, 1.0);
}

/** The same for the guaranteed share, of a workspace that uses this multiple of the served share. */
double guaranteedExcessOf(const dispatch::ShareUsage &shareUsage)
{
    const bool areDemandsMet = shareUsage.ofServed == 0;
    const double ramp = std::clamp((shareUsage.ofServed - servedRampStart) / (servedRampEnd - servedRampStart), 0.0, 1.0);
    const double weight = areDemandsMet ? 1.0 : laggardExcessWeight + (1.0 - laggardExcessWeight) * ramp;
    return shareExcessOf(shareUsage.ofGuaranteed) * weight;
}

double fractionAt(double shareExcess, double within, double over)
{
    return within + (over - within) * shareExcess;
}

/** Queue limit for a workspace that uses these multiples of its shares. */
Duration maxQueueDelay(const QueueFractions &fractions, const dispatch::ShareUsage &shareUsage, Duration latencyTarget)
{
    const double fraction = std::min(fractionAt(guaranteedExcessOf(shareUsage), fractions.withinShare, fractions.overGuaranteed),
                                     fractionAt(shareExcessOf(shareUsage.ofServed), fractions.withinShare, fractions.overServed));
    return Duration(static_cast<std::int64_t>(static_cast<double>(latencyTarget.count()) * fraction));
}

/** Limit on the mean queue of all engines up to which the request is admitted. */
Duration maxFleetQueueDelay(const AdmissionInput &input)
{
    const Duration limit = baselinePrefillDelay + maxQueueDelay(fleetQueueFractions, input.shareUsage, input.latencyTarget);
    const double shareExcess
        = std::max(shareExcessOf(input.shareUsage.ofServed), guaranteedExcessWeight * guaranteedExcessOf(input.shareUsage));
    const double costFactor = std::clamp(1.0 / std::sqrt(input.relativeCost), minCostFactor, maxCostFactor);
    const double factor = input.isUnderserved ? maxCostFactor : costFactor;
    const double shareFactor = std::max(1.0 / std::max(input.shareUsage.ofServed, 1.0), minLimitFraction);
    return Duration(std::llround(static_cast<double>(limit.count()) * (1.0 + (factor - 1.0) * shareExcess) * shareFactor));
}

}

std::string_view nameOf(AdmissionLimit limit)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(AdmissionLimit::count)> names {"none", "backend_queue", "fleet_queue",
                                                                                                   "pace"};
    return names.at(static_cast<std::size_t>(limit));
}

AdmissionDecision decideAdmission(const AdmissionInput &input)
{
    if (input.isRetry || input.latencyTarget == Duration(0)) {
        return {};
    }
    const Duration ownBaseline = std::min(input.ownPrefillDelay, baselinePrefillDelay);
    AdmissionDecision decision;
    decision.maxQueueDelay = ownBaseline + maxQueueDelay(bestBackendQueueFractions, input.shareUsage, input.latencyTarget);
    decision.maxFleetQueueDelay = maxFleetQueueDelay(input);
    const Duration backendExcess = input.queueDelay - decision.maxQueueDelay;
    const Duration fleetExcess = input.fleetQueueDelay - decision.maxFleetQueueDelay;
    const std::array<std::pair<Duration, AdmissionLimit>, 3> excesses {{{backendExcess, AdmissionLimit::BackendQueue},
                                                                        {fleetExcess, AdmissionLimit::FleetQueue},
                                                                        {input.paceDelay, AdmissionLimit::Pace}}};
    if (const auto &[excess, limit] = *std::max_element(excesses.begin(), excesses.end()); excess > Duration(0)) {
        decision.isAdmitted = false;
        decision.retryAfter = std::max(excess, minRetryAfter);
        decision.exceeded = limit;
    }
    return decision;
}

Duration jitterRetryAfter(Duration retryAfter, std::uint64_t requestHash)
{
    const Duration minDelay = std::max(retryAfter, minRetryAfter);
    return minDelay
        + Duration(minDelay.count() * static_cast<std::int64_t>(requestHash % jitterSteps) / static_cast<std::int64_t>(jitterSteps));
}

}
