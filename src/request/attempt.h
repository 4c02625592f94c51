#pragma once

/** @file A caller's request, and the outcome of one attempt to serve it. */

#include "connection/wire/generated/frame_generated.h"
#include "eelgrassnotch/types.h"
#include "eelgrassnotch/verdict.h"

#include <optional>
#include <string>

namespace eelgrassnotch::request
{

using connection::wire::AttemptResult;

/** @brief Properties of a caller's request that admission and retries depend on. */
struct RequestInfo {
    WorkspaceHandle workspace;
    ServiceHandle service;
    std::uint32_t costHint = 0; ///< Cost units; zero without a hint.
    Time deadline {0};
    bool idempotent = true;
    std::string claimName; ///< Name of the claim, for a non-idempotent request with an idempotency key; empty without one.
    std::string fingerprint; ///< Hash of method, path and body, which must match for a repeat to use the same claim.

    bool operator==(const RequestInfo &) const = default;
};

/** @brief How one attempt ended. */
struct AttemptOutcome {
    AttemptResult result = AttemptResult::Completed;
    Verdict verdict = Verdict::Ran;
    std::uint32_t cost = 0; ///< Cost units that the backend server reported; for streams at least the generated tokens.
    Duration firstToken {0};
    Duration perToken {0};
    std::uint32_t generation = 0; ///< Start counter of the backend server; zero when unknown.
    bool answerStarted = false; ///< Whether part of the answer was sent to the caller.
    int status = 0; ///< HTTP status of the backend server; zero without one.
    std::string answer; ///< Body of a plain answer, stored with the claim for repeats of the request.

    bool operator==(const AttemptOutcome &) const = default;
};

/** @returns the retry reason for a failed attempt, or nothing if a retry could not help. */
std::optional<RetryReason> retryReasonOf(AttemptResult result);

/** @returns whether the request can be sent again: no part of the answer was sent, and running twice is impossible or harmless. */
bool mayRepeat(const RequestInfo &info, const AttemptOutcome &outcome);

}
