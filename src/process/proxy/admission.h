#pragma once

/** @file Whether a request is sent now, or refused with a time to come back. */

#include "eelgrassnotch/types.h"

#include "process/dispatch/fair_share_tracker.h"

#include <cstdint>

namespace eelgrassnotch::process::proxy
{

/** @brief What decides on a request for a model engine. */
struct AdmissionInput {
    Duration queueDelay {0}; ///< Predicted at the best backend server, from what this daemon saw.
    Duration ownPrefillDelay {0}; ///< Part of it: prompts that this daemon has sent there, and whose first event is not here yet.
    Duration fleetQueueDelay {0}; ///< Mean time in which the engines read what all daemons have sent them.
    Duration latencyTarget {0};
    dispatch::ShareUsage shareUsed; ///< What its workspace gets in the fleet.
    double relativeCost = 1; ///< Its cost as a multiple of the mean request's.
    bool isUnderserved = false; ///< Requests of its kind and size are taken much less often than others.
    bool isRetry = false; ///< It has been sent before.

    bool operator==(const AdmissionInput &) const = default;
};

/** @brief Outcome; a refusal names the time until there will be room. */
struct AdmissionDecision {
    bool isAdmitted = true;
    Duration retryAfter {0};

    bool operator==(const AdmissionDecision &) const = default;
};

/**
 * @brief Compares the predicted queue with a part of the latency target.
 *
 * The limit is on the queue, not on the request's own prompt, so that within
 * a workspace's share long prompts are turned away no more often than short
 * ones. Workspaces over their share are turned away from a shorter queue of
 * the engines on. What they get beyond it goes to more callers when small
 * requests are taken first: their limit is longer, and that of large ones
 * shorter, unless that kind and size has fallen behind. The limit also falls
 * with the multiple of the share, as who asks most would else find most of the
 * moments at which the queue is short.
 *
 * @remarks Load pattern: more prompt tokens arrive than the engines can read; without a limit all answers come late.
 */
AdmissionDecision decideAdmission(const AdmissionInput &input);

/**
 * @brief Spreads the times at which refused callers come back.
 * @param retryAfter Time until there will be room.
 * @param draw Uniform number, such as a hash of the request's id.
 */
Duration jitterRetryAfter(Duration retryAfter, std::uint64_t requestHash);

}
