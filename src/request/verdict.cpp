#include "eelgrassnotch/verdict.h"

#include <array>

namespace eelgrassnotch
{

namespace
{

struct RefusalInfo {
    std::string_view name;
    int status;
};

constexpr std::array<RefusalInfo, static_cast<std::size_t>(RefusalReason::count)> refusalInfos {{
    {"bad_request", 400},          {"unknown_workspace", 403}, {"unknown_service", 404},
    {"body_too_large", 413},       {"daemon_full", 503},       {"queue_full", 429},
    {"deadline_unreachable", 503}, {"deadline_expired", 504},  {"no_backend", 503},
    {"no_configuration", 503},     {"stopping", 503},          {"claim_unavailable", 503},
    {"claim_conflict", 422},       {"claim_in_progress", 409}, {"retries_exhausted", 502},
    {"backend_failed", 502},       {"answer_invalid", 502},    {"caller_gone", 499},
    {"unknown_route", 404},        {"unknown_key", 401},       {"keys_unconfirmed", 503},
    {"overloaded", 503},           {"daemon_overloaded", 503}, {"part_quarantined", 503},
    {"stream_unknown", 503},
}};

constexpr std::array<std::string_view, static_cast<std::size_t>(RetryReason::count)> retryNames {
    "backend_refused", "connect_failed", "connection_lost", "timed_out", "invalid_answer", "grant_stale", "backend_failed",
};

}

std::string_view nameOf(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not run";
    case Verdict::MayHaveRun:
        return "may have run";
    case Verdict::Ran:
        return "ran";
    }
    return "may have run";
}

std::string_view nameOf(RefusalReason reason)
{
    return refusalInfos.at(static_cast<std::size_t>(reason)).name;
}

std::string_view nameOf(RetryReason reason)
{
    return retryNames.at(static_cast<std::size_t>(reason));
}

int statusOf(RefusalReason reason)
{
    return refusalInfos.at(static_cast<std::size_t>(reason)).status;
}

}
