#include "process/router.h"

#include "process/units.h"

#include <algorithm>

namespace eelgrassnotch::process
{

using connection::wire::AttemptResult;
using connection::wire::DenyReason;
using request::AttemptOutcome;

namespace
{

/** Weight of a new sample in the moving average of service times. */
constexpr double serviceTimeGain = 0.1;

RefusalReason refusalOf(DenyReason reason)
{
    switch (reason) {
    case DenyReason::QueueFull:
        return RefusalReason::QueueFull;
    case DenyReason::DeadlineUnreachable:
        return RefusalReason::DeadlineUnreachable;
    case DenyReason::DeadlineExpired:
        return RefusalReason::DeadlineExpired;
    case DenyReason::NoBackend:
    case DenyReason::NotDispatcher:
    case DenyReason::None:
        return RefusalReason::NoBackend;
    }
    return RefusalReason::NoBackend;
}

}

Router::Router(DataCentreHandle localDataCentre, const Policy &policy)
    : localDataCentre(localDataCentre)
    , policy(policy)
{
}

void Router::setServices(const std::set<ServiceHandle> &services)
{
    for (const ServiceHandle service : services) {
        this->leases.try_emplace({service, this->localDataCentre});
    }
}

std::uint64_t Router::submit(request::RequestInfo info, Time submittedAt)
{
    this->now = std::max(this->now, submittedAt);
    const std::uint64_t id = this->nextRequest++;
    ++this->counters.submitted;
    this->retryBudget.countRequest();
    const PoolKey pool {info.service, this->localDataCentre};
    this->deadlines.emplace(info.deadline, id);
    this->requests[id] = {std::move(info), Phase::Pending, pool, {}, 0, submittedAt, Verdict::NotRun};
    if (this->requests.size() > config::maxRequestsPerDaemon) {
        this->refuseRequest(id, {RefusalReason::DaemonFull, Verdict::NotRun, config::minRetryAfter, "too many requests in this daemon"});
    }
    return id;
}

void Router::requestSlot(std::uint64_t id)
{
    if (const auto found = this->requests.find(id); found != this->requests.end() && found->second.phase == Phase::Pending) {
        this->moveToWaiting(id, found->second, found->second.pool);
    }
}

void Router::remove(std::uint64_t id)
{
    this->erase(id);
}

void Router::refuse(std::uint64_t id, Refusal refusal)
{
    this->refuseRequest(id, std::move(refusal));
}

void Router::moveToWaiting(std::uint64_t id, Request &request, const PoolKey &pool)
{
    request.phase = Phase::Waiting;
    request.pool = pool;
    this->sendEnqueue(id, request);
}

void Router::sendEnqueue(std::uint64_t id, const Request &request)
{
    const auto found = this->leases.find(request.pool);
    if (found == this->leases.end() || !found->second.dispatcher.isValid()) {
        return;
    }
    const std::uint32_t remaining = toMilliseconds(request.info.deadline - this->now);
    const connection::wire::Enqueue message(id, request.info.service.id, request.info.workspace.id, request.info.costHint, remaining,
                                            request.backend.id, request.attempt);
    this->frameFor(found->second.dispatcher).enqueues.push_back(message);
}

void Router::onAttemptEnded(std::uint64_t id, const AttemptOutcome &outcome, Time endedAt)
{
    this->now = std::max(this->now, endedAt);
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
        return;
    }
    Request &request = found->second;
    if (request.phase == Phase::Aborting) {
        this->sendRelease(id, request, outcome);
        this->erase(id);
        return;
    }
    if (request.phase != Phase::Running) {
        return;
    }
    request.worstVerdict = std::max(request.worstVerdict, outcome.verdict);
    this->recordOutcome(request, outcome);
    this->sendRelease(id, request, outcome);
    request.phase = Phase::Pending;
    const bool isAnswered = outcome.result == AttemptResult::Completed || outcome.result == AttemptResult::BackendError;
    if (isAnswered) {
        ++this->counters.answered;
        this->erase(id);
        return;
    }
    this->retryOrRefuse(id, request, outcome);
}

void Router::retryOrRefuse(std::uint64_t id, Request &request, const AttemptOutcome &outcome)
{
    const std::optional<RetryReason> reason = request::retryReasonOf(outcome.result);
    const bool isRepeatable = reason && (request::mayRepeat(request.info, outcome) || !this->policy.retryRules);
    if (!isRepeatable) {
        const bool invalid = outcome.result == AttemptResult::InvalidAnswer;
        const RefusalReason refusalReason = invalid ? RefusalReason::AnswerInvalid : RefusalReason::BackendFailed;
        const Duration retryAfter
            = request.worstVerdict == Verdict::NotRun || request.info.idempotent ? config::minRetryAfter : Duration {0};
        this->refuseRequest(id, {refusalReason, request.worstVerdict, retryAfter, "the backend server failed"});
        return;
    }
    const bool isExhausted = request.attempt + 1 >= config::maxAttempts || !this->retryBudget.spend();
    if (isExhausted) {
        this->refuseRequest(id, {RefusalReason::RetriesExhausted, request.worstVerdict, config::minRetryAfter, "no retry left"});
        return;
    }
    ++this->counters.retries.at(static_cast<std::size_t>(*reason));
    ++request.attempt;
    this->moveToWaiting(id, request, {request.info.service, this->localDataCentre});
}

void Router::sendRelease(std::uint64_t id, const Request &request, const AttemptOutcome &outcome)
{
    const auto found = this->leases.find(request.pool);
    if (found == this->leases.end() || !found->second.dispatcher.isValid()) {
        return;
    }
    const auto duration = static_cast<double>((this->now - request.startedAt).count());
    double &mean = found->second.meanServiceTime;
    mean += mean == 0.0 ? duration : serviceTimeGain * (duration - mean);
    const connection::wire::Release message(id, request.info.service.id, request.backend.id, outcome.cost,
                                            toMicroseconds(outcome.firstToken), toMicroseconds(outcome.perToken), outcome.generation,
                                            outcome.result);
    this->frameFor(found->second.dispatcher).releases.push_back(message);
}

void Router::recordOutcome(const Request &request, const AttemptOutcome &outcome)
{
    const bool isConnectionLost = outcome.result == AttemptResult::ConnectFailed || outcome.result == AttemptResult::ConnectionLost;
    const auto found = this->observations.find(request.backend);
    if (found == this->observations.end()) {
        return;
    }
    const bool isRestarted = outcome.generation != 0 && found->second.generation != 0 && outcome.generation != found->second.generation;
    if (isConnectionLost || isRestarted) {
        this->observations.erase(found);
        return;
    }
    BackendObservation &observation = found->second;
    observation.generation = outcome.generation != 0 ? outcome.generation : observation.generation;
    const bool isFastest = observation.minTimePerToken.count() == 0 || outcome.perToken < observation.minTimePerToken;
    if (outcome.perToken.count() > 0 && isFastest) {
        observation.minTimePerToken = outcome.perToken;
    }
}

void Router::onCallerGone(std::uint64_t id)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
        return;
    }
    const Verdict verdict = found->second.phase == Phase::Running ? Verdict::MayHaveRun : found->second.worstVerdict;
    this->refuseRequest(id, {RefusalReason::CallerGone, verdict, Duration {0}, "the caller went away"});
}

void Router::refuseRequest(std::uint64_t id, Refusal refusal)
{
    const auto found = this->requests.find(id);
    if (found == this->requests.end()) {
        return;
    }
    Request &request = found->second;
    if (request.phase == Phase::Aborting) {
        return;
    }
    const bool wasRunning = request.phase == Phase::Running;
    refusal.verdict = std::max(refusal.verdict, request.worstVerdict);
    if (request.phase == Phase::Waiting) {
        const DaemonHandle dispatcher = this->leases[request.pool].dispatcher;
        if (dispatcher.isValid()) {
            this->frameFor(dispatcher).cancels.emplace_back(id, request.info.service.id);
        }
    }
    ++this->counters.refusals.at(static_cast<std::size_t>(refusal.reason));
    this->refusals.push_back({id, std::move(refusal)});
    if (wasRunning) {
        this->deadlines.erase({request.info.deadline, id});
        request.phase = Phase::Aborting;
    } else {
        this->erase(id);
    }
}

void Router::erase(std::uint64_t id)
{
    if (const auto found = this->requests.find(id); found != this->requests.end()) {
        this->deadlines.erase({found->second.info.deadline, id});
        this->requests.erase(found);
    }
}

void Router::onGrant(DaemonHandle dispatcher, const connection::wire::Grant &grant, Time grantedAt)
{
    this->now = std::max(this->now, grantedAt);
    const PoolKey *pool = this->poolOfSession(dispatcher, grant.session());
    if (pool == nullptr) {
        ++this->counters.staleGrants;
        return;
    }
    const ServiceHandle service = pool->service;
    const BackendServerHandle backend {grant.backend()};
    BackendObservation &observation = this->observations[backend];
    observation.observedAt = this->now;
    observation.occupancy = grant.occupancy();
    observation.limit = grant.limit();
    const auto found = this->requests.find(grant.request());
    if (found == this->requests.end() || found->second.phase != Phase::Waiting) {
        const connection::wire::Release unusedGrant(grant.request(), service.id, backend.id, 0, 0, 0, 0, AttemptResult::NeverStarted);
        this->frameFor(dispatcher).releases.push_back(unusedGrant);
        return;
    }
    Request &request = found->second;
    request.phase = Phase::Running;
    request.startedAt = this->now;
    request.backend = backend;
    this->starts.push_back({grant.request(), service, backend, request.attempt});
}

void Router::onDeny(DaemonHandle dispatcher, const connection::wire::Deny &denial)
{
    const PoolKey *pool = this->poolDispatchedBy(ServiceHandle {denial.service()}, dispatcher);
    const auto found = this->requests.find(denial.request());
    const bool isApplicable
        = pool != nullptr && found != this->requests.end() && found->second.phase == Phase::Waiting && found->second.pool == *pool;
    if (!isApplicable) {
        return;
    }
    if (denial.reason() == DenyReason::NotDispatcher) {
        this->sendInventory(*pool);
        return;
    }
    const Duration retryAfter = std::chrono::milliseconds(denial.retry_after_ms());
    this->refuseRequest(denial.request(), {refusalOf(denial.reason()), Verdict::NotRun, retryAfter, "refused by the dispatcher"});
}

void Router::onRedirect(DaemonHandle dispatcher, const connection::wire::Redirect &redirect, Time)
{
    const ServiceHandle service {redirect.service()};
    const PoolKey *from = this->poolDispatchedBy(service, dispatcher);
    const auto found = this->requests.find(redirect.request());
    const bool isApplicable
        = from != nullptr && found != this->requests.end() && found->second.phase == Phase::Waiting && found->second.pool == *from;
    if (!isApplicable) {
        return;
    }
    const PoolKey target {service, DataCentreHandle {redirect.data_centre()}};
    const DaemonHandle remote {redirect.dispatcher()};
    if (this->leases[target].dispatcher != remote) {
        this->switchDispatcher(target, remote);
    }
    this->moveToWaiting(redirect.request(), found->second, target);
}

void Router::refuseExpired()
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= this->now) {
        const std::uint64_t id = this->deadlines.begin()->second;
        const Phase phase = this->requests.at(id).phase;
        const Verdict verdict = phase == Phase::Running ? Verdict::MayHaveRun : Verdict::NotRun;
        this->refuseRequest(id, {RefusalReason::DeadlineExpired, verdict, config::minRetryAfter, "the deadline has passed"});
    }
}

std::map<DaemonHandle, connection::wire::FrameT> Router::takeFrames()
{
    return std::exchange(this->frames, {});
}

RequestCounts Router::requestCounts() const
{
    RequestCounts counts;
    for (const auto &[id, request] : this->requests) {
        counts.pending += request.phase == Phase::Pending ? 1 : 0;
        counts.waiting += request.phase == Phase::Waiting ? 1 : 0;
        counts.running += request.phase == Phase::Running ? 1 : 0;
        counts.aborting += request.phase == Phase::Aborting ? 1 : 0;
    }
    return counts;
}

const request::RequestInfo *Router::find(std::uint64_t id) const
{
    const auto found = this->requests.find(id);
    return found == this->requests.end() ? nullptr : &found->second.info;
}

connection::wire::FrameT &Router::frameFor(DaemonHandle daemon)
{
    return this->frames[daemon];
}

}
