#pragma once

/** @file Admission control: a request is sent now, or refused with a retry-after time. */

#include "eelgrassnotch/types.h"

#include "process/dispatch/fair_share_tracker.h"

#include <cstdint>
#include <string_view>

namespace eelgrassnotch::process::proxy
{

/** Retry-after time when only this daemon refuses: another one can accept the request at once. */
constexpr Duration localRefusalRetryAfter = std::chrono::milliseconds(50);

/** @brief Inputs to the admission decision on a request for a model engine. */
struct AdmissionInput {
    Duration queueDelay {0}; ///< Predicted at the chosen backend server, from what this daemon has observed.
    Duration ownPrefillDelay {0}; ///< Part of queueDelay: prompts sent there by this daemon whose first event has not arrived.
    /** Mean over the usable engines of the prefill time of pending prompts; those of other daemons count with reduced weight. */
    Duration fleetQueueDelay {0};
    Duration paceDelay {0}; ///< Time until this daemon may admit another request of the workspace; see dispatch::WorkspacePacer.
    Duration latencyTarget {0}; ///< Of the route; zero admits every request.
    dispatch::ShareUsage shareUsage; ///< Current use of the workspace, as multiples of its shares of the fleet.
    double relativeCost = 1; ///< Cost of the request as a multiple of the mean cost.
    bool isUnderserved = false; ///< Requests of this route and size are admitted much less often than others.
    bool isRetry = false; ///< The request has been sent to a backend server before.

    bool operator==(const AdmissionInput &) const = default;
};

/** @brief What a request exceeded when admission control refused it. */
enum class AdmissionLimit {
    None,
    BackendQueue, ///< Limit on the queue of the chosen backend server.
    FleetQueue, ///< Limit on the mean queue of all engines.
    Pace, ///< Rate at which this daemon admits requests of the workspace.
    count,
};

/** @returns the name in logs and metrics, such as "backend_queue". */
std::string_view nameOf(AdmissionLimit limit);

/** @brief Result of the admission decision. */
struct AdmissionDecision {
    bool isAdmitted = true;
    Duration retryAfter {0}; ///< Set on a refusal: estimated time until requests are admitted again.
    AdmissionLimit exceeded = AdmissionLimit::None; ///< Set on a refusal: the limit that it exceeded most.
    Duration maxQueueDelay {0}; ///< Limit on the chosen backend server's queue; zero where no limit applies.
    Duration maxFleetQueueDelay {0}; ///< The same for the mean queue of all engines.

    bool operator==(const AdmissionDecision &) const = default;
};

/**
 * @brief Compares the predicted queue delay with a fraction of the latency target, and the workspace's admissions with their pace.
 *
 * The limit applies to the queue and not to the request's own prompt, so that
 * within a workspace's share long prompts are refused no more often than short
 * ones. For workspaces over their share the limits are lower.
 * Beyond the share, cheap requests are admitted first, so that the capacity
 * serves more callers: the limit is raised for cheap requests and lowered for
 * expensive ones, and it is raised in full for routes and sizes that are
 * underserved. It also falls as the workspace's use of its share rises; otherwise
 * the workspace with the most requests would get most of the free capacity.
 *
 * @remarks Guards against overload: when more prompt tokens arrive than the engines can prefill and nothing is refused,
 *          all answers are late.
 */
AdmissionDecision decideAdmission(const AdmissionInput &input);

/**
 * @brief Adds jitter to a retry-after time, so that refused callers do not all retry at once.
 * @param retryAfter Estimated time until requests are admitted again.
 * @param requestHash Hash of the request's id, from which the jitter is derived.
 * @returns a time between retryAfter (150 ms at least) and twice that.
 */
Duration jitterRetryAfter(Duration retryAfter, std::uint64_t requestHash);

}
