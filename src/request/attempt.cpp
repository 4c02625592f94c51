#include "request/attempt.h"

namespace eelgrassnotch::request
{

std::optional<RetryReason> retryReasonOf(AttemptResult result)
{
    switch (result) {
    case AttemptResult::BackendRefused:
        return RetryReason::BackendRefused;
    case AttemptResult::ConnectFailed:
        return RetryReason::ConnectFailed;
    case AttemptResult::ConnectionLost:
        return RetryReason::ConnectionLost;
    case AttemptResult::TimedOut:
        return RetryReason::TimedOut;
    case AttemptResult::InvalidAnswer:
        return RetryReason::InvalidAnswer;
    case AttemptResult::NeverStarted:
        return RetryReason::GrantStale;
    case AttemptResult::Completed:
    case AttemptResult::BackendError:
    case AttemptResult::CallerGone:
        return std::nullopt;
    }
    return std::nullopt;
}

bool mayRepeat(const RequestInfo &info, const AttemptOutcome &outcome)
{
    if (outcome.answerStarted) {
        return false;
    }
    return outcome.verdict == Verdict::NotRun || (outcome.verdict == Verdict::MayHaveRun && info.idempotent);
}

}
