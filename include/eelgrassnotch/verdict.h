#pragma once

/** @file Whether a request may have run, and why it was refused or retried. */

#include "eelgrassnotch/types.h"

#include <string>
#include <string_view>

namespace eelgrassnotch
{

/** @brief Whether a backend server has run a request. Order matters: later values are less certain to be safe to repeat. */
enum class Verdict {
    NotRun, ///< No byte of the request reached a backend server, or the backend server said that it did nothing.
    MayHaveRun, ///< The request was sent, and its outcome is unknown.
    Ran, ///< The backend server answered in full.
};

/** @brief Reason of a refusal; each has a counter of its own. */
enum class RefusalReason {
    BadRequest,
    UnknownWorkspace,
    UnknownService,
    BodyTooLarge,
    DaemonFull,
    QueueFull,
    DeadlineUnreachable,
    DeadlineExpired,
    NoBackend,
    NoConfiguration,
    Stopping,
    ClaimUnavailable,
    ClaimConflict,
    ClaimInProgress,
    RetriesExhausted,
    BackendFailed,
    AnswerInvalid,
    CallerGone,
    UnknownRoute,
    UnknownKey,
    KeysUnconfirmed, ///< Whether keys still hold has not been confirmed for too long.
    Overloaded, ///< The backend servers can't begin with the request in time.
    DaemonOverloaded, ///< This daemon can't; others may.
    PartQuarantined, ///< A part of the prompt ends the backend servers that begin to answer it.
    StreamUnknown, ///< Which version of the backend servers began the stream that the caller takes up can't be found out.
    count,
};

/** @brief Reason for trying a request again; each has a counter of its own. */
enum class RetryReason {
    BackendRefused,
    ConnectFailed,
    ConnectionLost,
    TimedOut,
    InvalidAnswer,
    GrantStale,
    BackendFailed, ///< The backend server answered that it failed.
    count,
};

/** @brief Final answer to a request that got no answer from a backend server. */
struct Refusal {
    RefusalReason reason = RefusalReason::BadRequest;
    Verdict verdict = Verdict::NotRun;
    Duration retryAfter {0}; ///< Zero where a repeat can't help.
    std::string detail; ///< For people; not parsed.

    bool operator==(const Refusal &) const = default;
};

/** @returns the name in answers, logs and metrics, such as "not run". */
std::string_view nameOf(Verdict verdict);
std::string_view nameOf(RefusalReason reason);
std::string_view nameOf(RetryReason reason);

/** @returns the HTTP status code that goes with a reason. */
int statusOf(RefusalReason reason);

}
