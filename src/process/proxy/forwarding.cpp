#include "process/proxy/forwarding.h"

#include "process/clock.h"
#include "process/event_log.h"
#include "process/proxy/admission.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace eelgrassnotch::process::proxy
{

namespace http = connection::http;
using boost::beast::http::field;
using directory::Availability;
using http::EndKind;

namespace
{

using namespace std::chrono_literals;

constexpr unsigned statusOk = 200;
constexpr unsigned firstErrorStatus = 500;
constexpr unsigned firstFailureStatus = 300;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusRequestTimeout = 408;

/** Time for a connection: several round trips between regions. */
constexpr Duration connectTimeout = 400ms;
/** A request that can't be repeated goes only over a connection that was in use this recently. */
constexpr Duration longestIdleUnrepeatable = 1500ms;
constexpr Duration longestIdleRepeatable = 5s;
/** Part of the latency target for which a request may wait for a backend server to become usable. */
constexpr int waitingPart = 8;
constexpr Duration shortestRoomWait = 10ms;
constexpr Duration roomCheckPeriod = 10ms;
/** A repeatable request is tried elsewhere when its answer takes this many times its latency target. */
constexpr int attemptTargets = 3;
/** Sends of one request, those that were refused as not run included. */
constexpr std::uint32_t mostSends = 4;
/** Time limit of requests that name none, on routes without a timeout. */
constexpr Duration defaultLimit = 30s;
/** A request that comes before the first configuration waits for it this long: a daemon that has just started has it a moment later. */
constexpr Duration configurationWait = 100ms;
/** Callers are asked back after this long when knowledge of keys or backend servers is missing. */
constexpr Duration returnWithoutKnowledge = 500ms;
/** A refusal of this daemon alone: another one takes the request at once. */
constexpr Duration shortestReturn = 50ms;
/** After a stop was asked for, all requests are taken for this long; later ones must be able to end within the grace. */
constexpr Duration acceptAfterStop = 2500ms;
/** The process ends this long before it would be killed. */
constexpr Duration stopMargin = 500ms;

/** Largest event of a stream, in bytes. */
constexpr std::size_t mostEventBytes = 256u << 10;
/** Generated tokens count twice in the cost of a request. Source: the platform's measure of throughput. */
constexpr double generatedTokenCost = 2.0;

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string retryAfterText(Duration duration)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << std::chrono::duration<double>(duration).count();
    return text.str();
}

std::string_view hostWithoutPort(std::string_view host)
{
    return host.substr(0, std::min(host.find(':'), host.size()));
}

std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

}

Forwarding::Forwarding(Proxy &owner, http::ServerSessionPtr callerSession, http::Request callerRequest)
    : proxy(owner)
    , session(std::move(callerSession))
    , request(std::move(callerRequest))
    , limitTimer(owner.context())
    , attemptTimer(owner.context())
    , roomTimer(owner.context())
    , receivedAt(readClock())
{
}

void Forwarding::start()
{
    this->attributes = this->proxy.dialect().readRequest(this->request);
    if (!this->proxy.takesNext()) {
        this->refuse(RefusalReason::DaemonOverloaded, shortestReturn, "this daemon can't keep up with its callers");
        return;
    }
    this->begin();
}

void Forwarding::begin()
{
    const Time now = readClock();
    this->table = this->proxy.routeTable();
    if (!this->table) {
        this->waitForConfiguration(now);
        return;
    }
    if (!this->findRoute() || !this->checkKey(now)) {
        return;
    }
    if (this->session->hasCallerLeft()) {
        this->session->abort();
        this->finish("caller_left", 0);
        return;
    }
    const Duration waited = now - this->receivedAt;
    const Duration patience
        = std::max(this->attributes.callerTimeout.value_or(defaultLimit) - this->proxy.lag() - waited, shortestRoomWait);
    this->limit = now + (this->route->timeout > Duration(0) ? std::min(patience, this->route->timeout) : patience);
    this->roomUntil = now + std::max(this->route->latencyTarget / waitingPart, shortestRoomWait);
    if (!this->checkStop(now)) {
        return;
    }
    const std::uint64_t draw = hashName(this->attributes.id);
    const std::string &serviceName = this->route->serviceFor(draw);
    this->service = this->table->service(serviceName);
    if (this->service == nullptr) {
        this->undescribed.name = serviceName;
        this->service = &this->undescribed;
    }
    if (this->isEngine()) {
        this->proxy.shares().recordDemand(this->workspaceHandle(), this->cost(), now);
        this->proxy.costs().recordRequest(this->route->name, this->cost(), now);
    }
    this->session->watchCaller([weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onCallerLeft();
        }
    });
    this->limitTimer.expires_after(this->limit - now);
    this->limitTimer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && !self->isFinished) {
            self->onTimeLimit();
        }
    });
    this->place();
}

void Forwarding::waitForConfiguration(Time now)
{
    if (now - this->receivedAt >= configurationWait || this->proxy.isStopping()) {
        this->refuse(RefusalReason::NoConfiguration, returnWithoutKnowledge, "no configuration is known yet");
        return;
    }
    this->roomTimer.expires_after(roomCheckPeriod);
    this->roomTimer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && !self->isFinished) {
            self->begin();
        }
    });
}

bool Forwarding::findRoute()
{
    const std::string_view target = viewOf(this->request.target());
    const std::string_view path = target.substr(0, std::min(target.find('?'), target.size()));
    this->route = this->table->match(hostWithoutPort(viewOf(this->request[field::host])), path);
    if (this->route == nullptr) {
        this->refuse(RefusalReason::UnknownRoute, Duration(0), "no route matches host and path");
        return false;
    }
    return true;
}

bool Forwarding::checkKey(Time now)
{
    if (this->route->isPublic || !this->table->hasWorkspaces()) {
        return true;
    }
    if (!this->proxy.areKeysFresh(now)) {
        this->refuse(RefusalReason::KeysUnconfirmed, returnWithoutKnowledge, "keys were confirmed too long ago");
        return false;
    }
    this->workspace = this->table->workspaceOf(this->attributes.apiKey);
    if (this->workspace == nullptr) {
        this->refuse(RefusalReason::UnknownKey, Duration(0), "no workspace holds this key");
        return false;
    }
    return true;
}

bool Forwarding::checkStop(Time now)
{
    const Duration since = this->proxy.stoppingFor(now);
    const Duration graceLeft = this->proxy.settings().bounds.stopGrace - stopMargin - since;
    if (!this->proxy.isStopping() || since < acceptAfterStop || this->limit - now <= graceLeft) {
        return true;
    }
    this->refuse(RefusalReason::Stopping, shortestReturn, "this daemon stops before the request would end");
    return false;
}

bool Forwarding::isStream() const
{
    return this->route->kind == version::RouteKind::Streaming;
}

bool Forwarding::isEngine() const
{
    return this->service->engine.has_value();
}

bool Forwarding::isRepeatable() const
{
    return this->route->kind == version::RouteKind::Idempotent || (this->isStream() && this->route->isResumable);
}

Duration Forwarding::timeLeft(Time now) const
{
    return std::max(this->limit - now, Duration(0));
}

std::string Forwarding::workspaceName() const
{
    return this->workspace == nullptr ? std::string() : this->workspace->name;
}

WorkspaceHandle Forwarding::workspaceHandle() const
{
    return handleOf<WorkspaceHandle>(this->workspaceName());
}

double Forwarding::cost() const
{
    return this->attributes.prompt.tokens + generatedTokenCost * this->attributes.prompt.maxOutputTokens;
}

bool Forwarding::isForwardedStream() const
{
    const request::AnswerAttributes &answer = this->current->answer;
    return answer.isEventStream && this->current->header.result_int() == statusOk && answer.isSigned && !answer.hasContentEncoding;
}

PlacedBackend Forwarding::choose(Time now)
{
    return this->proxy.choose({this->route, this->service, this->workspace, &this->attributes.prompt, this->request.body().size(),
                               hashName(this->attributes.id), &this->tried},
                              now);
}

void Forwarding::place()
{
    const Time now = readClock();
    const PlacedBackend placed = this->choose(now);
    if (!placed.backend) {
        this->waitForRoom(placed, now);
        return;
    }
    if (this->isEngine() && !this->isAdmitted(placed, now)) {
        return;
    }
    this->send(placed, now);
}

void Forwarding::waitForRoom(const PlacedBackend &placed, Time now)
{
    const bool isClosedForLonger = placed.reopensAt && *placed.reopensAt > this->roomUntil;
    if (now >= this->roomUntil || isClosedForLonger) {
        const Duration comeBackAfter = this->returnAfter(placed, now);
        const std::string detail = "none of " + std::to_string(placed.candidates) + " backend servers is usable";
        this->refuse(RefusalReason::NoBackend, comeBackAfter, detail);
        return;
    }
    this->roomTimer.expires_after(roomCheckPeriod);
    this->roomTimer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
        if (!error && !self->isFinished) {
            self->place();
        }
    });
}

Duration Forwarding::returnAfter(const PlacedBackend &placed, Time now) const
{
    const Duration untilOpen = placed.reopensAt ? std::max(*placed.reopensAt - now, shortestReturn) : returnWithoutKnowledge;
    return spreadReturn(untilOpen, hashName(this->attributes.id));
}

bool Forwarding::isAdmitted(const PlacedBackend &placed, Time now)
{
    AdmissionInput input;
    input.queueDelay = placed.prediction.queueDelay;
    input.ownUnread = placed.prediction.ownPrefillDelay;
    input.fleetQueue = placed.meanQueue;
    input.latencyTarget = this->route->latencyTarget;
    input.shareUsed = this->proxy.shares().shareUsage(this->workspaceHandle(), now);
    input.relativeCost = this->proxy.costs().relativeCost(this->cost(), now);
    input.isBehind = this->proxy.costs().isUnderserved(this->route->name, this->cost(), now);
    input.isRepeat = this->sends > 0;
    const AdmissionDecision decision = decideAdmission(input);
    if (!decision.isAdmitted) {
        const std::string detail = "queue_ms " + milliseconds(input.queueDelay) + " fleet_queue_ms " + milliseconds(input.fleetQueue)
            + " share_of_served " + std::to_string(input.shareUsed.ofServed) + " share_of_guaranteed "
            + std::to_string(input.shareUsed.ofGuaranteed) + " relative_cost " + std::to_string(input.relativeCost) + " behind "
            + (input.isBehind ? "true" : "false");
        this->refuse(RefusalReason::Overloaded, spreadReturn(decision.comeBackAfter, hashName(this->attributes.id)), detail);
    }
    return decision.isAdmitted;
}

void Forwarding::send(const PlacedBackend &placed, Time now)
{
    if (!this->wasCounted) {
        this->wasCounted = true;
        this->proxy.countRequest(this->service->name, now);
        if (this->isEngine()) {
            this->proxy.shares().recordServed(this->workspaceHandle(), this->cost(), now);
            this->proxy.costs().recordAdmitted(this->route->name, this->cost(), now);
        }
    }
    ++this->sends;
    this->tried.push_back(placed.backend);
    this->lastPrediction = placed.prediction;
    const Duration longestIdle = this->isRepeatable() ? longestIdleRepeatable : longestIdleUnrepeatable;
    this->current = std::make_unique<BackendSend>(this->proxy.pool(), this->proxy.answerMemory(), placed.backend, placed.prediction,
                                                  this->attributes.prompt, longestIdle, now);

    BackendCall call;
    call.expectedInstance = placed.backend->record.id;
    call.workspace = this->workspaceName();
    call.timeLeft = this->timeLeft(now);
    call.fetchFrom = placed.source ? placed.source->record.address : std::string();
    call.resumeAfter = this->splitter.lastEventId();
    const auto outgoing = std::make_shared<const http::Request>(this->proxy.dialect().toBackend(this->request, call));

    http::ExchangeHooks hooks;
    hooks.onHeader = [self = this->shared_from_this()](const http::AnswerHeader &header) { return self->onHeader(header); };
    hooks.onBody = [self = this->shared_from_this()](std::string_view part) { self->onBody(part); };
    hooks.onEnd = [self = this->shared_from_this()](const http::ExchangeEnd &end) { self->onEnd(end); };
    this->armAttemptTimer();
    this->current->connection->send(outgoing, connectTimeout, std::move(hooks));
}

void Forwarding::armAttemptTimer()
{
    if (!this->isRepeatable() || this->route->latencyTarget == Duration(0)) {
        return;
    }
    this->attemptTimer.expires_after(this->route->latencyTarget * attemptTargets);
    this->attemptTimer.async_wait([self = this->shared_from_this(), sent = this->sends](boost::system::error_code error) {
        if (!error && !self->isFinished && self->current && sent == self->sends && !self->current->hasAnswered) {
            self->onAttemptTimeout();
        }
    });
}

bool Forwarding::onHeader(const http::AnswerHeader &header)
{
    BackendSend &sent = *this->current;
    const request::AnswerAttributes answer = this->proxy.dialect().readAnswer(header);
    // On a connection that carried other requests, a success that names none may be a late copy of an earlier answer.
    const bool namesNone = answer.id.empty() && (!sent.connection->wasUsed() || header.result_int() >= firstFailureStatus);
    if (answer.id != this->attributes.id && !namesNone) {
        logEvent("foreign_answer", {{"request", this->attributes.id}, {"backend", sent.backend->record.id}, {"answers", answer.id}});
        return false;
    }
    const Time now = readClock();
    sent.noteHeader(header, answer, now);
    this->noteStatements(answer, now);
    this->attemptTimer.cancel();
    if (answer.running) {
        this->lastRunning = *answer.running;
        this->lastWaiting = answer.waiting.value_or(0);
    }
    return true;
}

void Forwarding::noteStatements(const request::AnswerAttributes &answer, Time now)
{
    if (answer.isLeaving) {
        this->proxy.backends().onLeaving(this->current->backend, now);
    }
    if (answer.retryAfter) {
        logEvent("backend_closed",
                 {{"request", this->attributes.id},
                  {"backend", this->current->backend->record.id},
                  {"for_ms", milliseconds(*answer.retryAfter)}});
    }
}

void Forwarding::onBody(std::string_view part)
{
    BackendSend &sent = *this->current;
    if (!this->isForwardedStream()) {
        sent.body += part;
        if (!sent.held.add(part.size())) {
            sent.connection->cancel();
            this->onFailedSend({EndKind::Malformed, "answer is too large"}, readClock());
        }
        return;
    }
    const std::string_view events = this->splitter.add(part);
    if (!events.empty()) {
        this->forwardEvents(events, readClock());
    } else if (this->splitter.partialEventBytes() > mostEventBytes) {
        sent.connection->cancel();
        this->onFailedSend({EndKind::Malformed, "event is too large"}, readClock());
    }
}

void Forwarding::forwardEvents(std::string_view events, Time now)
{
    BackendSend &sent = *this->current;
    if (!sent.hasEvent) {
        sent.noteFirstEvent(now);
        this->proxy.metrics().observePredictionError(this->route->name, now - sent.at - sent.prediction.firstEventDelay);
    }
    if (!this->hasStarted) {
        this->hasStarted = true;
        this->firstEventAfter = now - this->receivedAt;
        this->proxy.metrics().observeFirstEvent(this->route->name, this->firstEventAfter);
        this->session->startStream(this->proxy.dialect().toCaller(sent.header));
    }
    this->session->sendPart(events);
}

void Forwarding::onEnd(const http::ExchangeEnd &end)
{
    const Time now = readClock();
    if (end.kind != EndKind::Complete) {
        this->onFailedSend(end, now);
        return;
    }
    if (this->current->answer.isNotRun) {
        this->onNotRun(now);
        return;
    }
    if (this->isForwardedStream()) {
        this->onStreamEnd(now);
        return;
    }
    this->onWholeAnswer(now);
}

void Forwarding::onStreamEnd(Time now)
{
    const std::string rest(this->splitter.partialEvent());
    this->splitter.discardPartialEvent();
    if (!rest.empty() || !this->current->hasEvent) {
        this->forwardEvents(rest, now);
    }
    if (this->isFinished) {
        return; // The caller read too slowly for the last part, and was cut off.
    }
    this->verdict = Verdict::Ran;
    this->current->backend->recordSuccess(now, this->service->coldPeriod);
    this->current->backend->recordSlotHold(now - this->current->at, now);
    this->endSend(now, false);
    this->session->finishStream();
    this->finish("served", statusOk);
}

void Forwarding::onWholeAnswer(Time now)
{
    BackendSend &sent = *this->current;
    const unsigned status = sent.header.result_int();
    const bool isSuccess = status < firstFailureStatus;
    if (isSuccess && (!sent.answer.isSigned || sent.answer.hasContentEncoding)) {
        this->onFailedSend({EndKind::Malformed, sent.answer.hasContentEncoding ? "encoded body" : "unsigned answer"}, now);
        return;
    }
    ++this->arrivals;
    this->verdict = Verdict::Ran;
    if (status >= firstErrorStatus) {
        sent.backend->recordErrorAnswer(now);
        const bool hadTime = this->timeLeft(now) > this->route->latencyTarget / 2;
        if (this->isRepeatable() && hadTime && this->arrivals < this->route->maxAttempts
            && this->tryAgain(RetryReason::BackendFailed, Verdict::Ran, now)) {
            return;
        }
    } else {
        sent.backend->recordSuccess(now, this->service->coldPeriod);
        sent.backend->answerTime.add(static_cast<double>((now - sent.at).count()), now);
    }
    this->passAnswer();
}

void Forwarding::passAnswer()
{
    const Time now = readClock();
    const unsigned status = this->current->header.result_int();
    const bool promisesNotRun = status == statusTooManyRequests || status == statusUnavailable || status == statusRequestTimeout;
    if (this->hasStarted) {
        this->endSend(now, false);
        this->breakOff("resumed stream answered with status " + std::to_string(status));
        return;
    }
    if (promisesNotRun) {
        // The status would promise that the request has not run, which its backend server did not say.
        this->endSend(now, false);
        this->refuse(RefusalReason::BackendFailed, Duration(0), "backend server answered " + std::to_string(status));
        return;
    }
    http::Answer answer(this->proxy.dialect().toCaller(this->current->header));
    answer.body() = std::move(this->current->body);
    this->endSend(now, false);
    this->proxy.metrics().observeAnswer(this->route->name, now - this->receivedAt);
    this->session->sendAnswer(std::move(answer));
    this->finish(status < firstFailureStatus ? "served" : "backend_status", status);
}

void Forwarding::onNotRun(Time now)
{
    BackendSend &sent = *this->current;
    if (sent.answer.isWrongInstance) {
        this->proxy.backends().onWrongInstance(sent.backend);
    } else {
        sent.backend->recordErrorAnswer(now);
    }
    const unsigned status = sent.header.result_int();
    const bool mayBeTakenElsewhere = sent.answer.isWrongInstance || status == statusUnavailable || status == statusTooManyRequests;
    if (mayBeTakenElsewhere && this->tryAgain(RetryReason::BackendRefused, Verdict::NotRun, now)) {
        return;
    }
    if (this->hasStarted) {
        this->endSend(now, false);
        this->breakOff("no backend server resumed the stream");
        return;
    }
    const bool isQueueTimeout = this->timeLeft(now) <= Duration(0);
    if (!mayBeTakenElsewhere && !isQueueTimeout) {
        this->passAnswer();
        return;
    }
    this->endSend(now, false);
    const bool neverRan = this->verdict == Verdict::NotRun;
    this->refuse(neverRan ? RefusalReason::Overloaded : RefusalReason::BackendFailed,
                 neverRan ? this->returnAfter(this->choose(now), now) : Duration(0),
                 "backend server refused with status " + std::to_string(status));
}

void Forwarding::onFailedSend(const http::ExchangeEnd &end, Time now)
{
    const bool isUnsent = end.kind == EndKind::ConnectFailed;
    if (!isUnsent) {
        ++this->arrivals;
        this->verdict = std::max(this->verdict, Verdict::MayHaveRun);
    }
    this->current->backend->recordFailure(now);
    logEvent("send_failed",
             {{"request", this->attributes.id},
              {"backend", this->current->backend->record.id},
              {"cause", end.detail},
              {"verdict", std::string(nameOf(isUnsent ? Verdict::NotRun : Verdict::MayHaveRun))},
              {"after_ms", milliseconds(now - this->current->at)},
              {"kept_connection", this->current->connection->wasUsed() ? "true" : "false"}});
    const RetryReason reason = isUnsent ? RetryReason::ConnectFailed
                                        : (end.kind == EndKind::Malformed ? RetryReason::InvalidAnswer : RetryReason::ConnectionLost);
    const bool mayRepeat = isUnsent || (this->isRepeatable() && this->arrivals < this->route->maxAttempts);
    if (mayRepeat && this->tryAgain(reason, isUnsent ? Verdict::NotRun : Verdict::MayHaveRun, now)) {
        return;
    }
    this->endSend(now, true);
    if (this->hasStarted) {
        this->breakOff(end.detail);
        return;
    }
    const bool neverRan = this->verdict == Verdict::NotRun;
    this->refuse(neverRan ? RefusalReason::NoBackend : RefusalReason::BackendFailed, neverRan ? returnWithoutKnowledge : Duration(0),
                 end.detail);
}

bool Forwarding::tryAgain(RetryReason reason, Verdict sendVerdict, Time now)
{
    if (this->sends >= mostSends || this->timeLeft(now) <= Duration(0)) {
        return false;
    }
    if (this->hasStarted && !this->splitter.lastEventId()) {
        return false; // Without event ids the stream can't go on elsewhere.
    }
    const PlacedBackend placed = this->choose(now);
    if (!placed.backend) {
        return false;
    }
    // A send that never left costs no backend server anything.
    if (reason != RetryReason::ConnectFailed && !this->proxy.mayRepeat(this->service->name, now)) {
        return false;
    }
    this->proxy.metrics().countRetry(reason);
    logEvent("retry",
             {{"request", this->attributes.id},
              {"reason", std::string(nameOf(reason))},
              {"verdict", std::string(nameOf(sendVerdict))},
              {"from", this->current->backend->record.id},
              {"to", placed.backend->record.id},
              {"send", std::to_string(this->sends + 1)}});
    this->endSend(now, sendVerdict != Verdict::NotRun);
    this->splitter.discardPartialEvent();
    this->send(placed, now);
    return true;
}

void Forwarding::endSend(Time now, bool isCancelled)
{
    if (!this->current) {
        return;
    }
    const std::unique_ptr<BackendSend> sent = std::move(this->current);
    this->attemptTimer.cancel();
    sent->end(isCancelled, now);
}

void Forwarding::onAttemptTimeout()
{
    const Time now = readClock();
    const directory::BackendServerPtr backend = this->current->backend;
    if (this->arrivals + 1 >= this->route->maxAttempts) {
        return;
    }
    if (this->tryAgain(RetryReason::TimedOut, Verdict::MayHaveRun, now)) {
        ++this->arrivals;
        this->verdict = std::max(this->verdict, Verdict::MayHaveRun);
        backend->recordFailure(now);
    }
}

void Forwarding::onTimeLimit()
{
    const Time now = readClock();
    if (!this->current) {
        this->refuse(RefusalReason::DeadlineExpired, Duration(0), "time limit reached before a send");
        return;
    }
    if (!this->current->hasAnswered && this->current->backend->isUnresponsive(now)) {
        this->current->backend->recordFailure(now);
    }
    this->verdict = std::max(this->verdict, Verdict::MayHaveRun);
    this->endSend(now, true);
    if (this->hasStarted) {
        this->breakOff("time limit reached");
        return;
    }
    this->refuse(RefusalReason::DeadlineExpired, Duration(0), "time limit reached");
}

void Forwarding::onCallerLeft()
{
    if (this->isFinished) {
        return;
    }
    const Time now = readClock();
    if (this->current && !this->current->hasAnswered && this->current->backend->isUnresponsive(now)) {
        this->current->backend->recordFailure(now);
    }
    this->endSend(now, true);
    this->finish("caller_left", 0);
}

void Forwarding::breakOff(const std::string &cause)
{
    this->session->abort();
    this->finish("broken_off: " + cause, 0);
}

void Forwarding::refuse(RefusalReason reason, Duration comeBackAfter, const std::string &detail)
{
    const unsigned status = static_cast<unsigned>(statusOf(reason));
    http::Answer answer(static_cast<boost::beast::http::status>(status), 11);
    this->proxy.dialect().markOwnAnswer(answer, this->attributes.id);
    answer.set(field::content_type, "text/plain");
    if (comeBackAfter > Duration(0)) {
        answer.set(field::retry_after, retryAfterText(comeBackAfter));
    }
    answer.body() = std::string(nameOf(reason)) + ": " + detail + "\n";
    this->proxy.metrics().countRefusal(reason);
    this->session->sendAnswer(std::move(answer));
    this->finish("refused: " + std::string(nameOf(reason)) + ": " + detail, status);
}

void Forwarding::finish(const std::string &outcome, unsigned status)
{
    if (this->isFinished) {
        return;
    }
    this->isFinished = true;
    this->limitTimer.cancel();
    this->attemptTimer.cancel();
    this->roomTimer.cancel();
    const Time now = readClock();
    const std::string routeName = this->route == nullptr ? "" : this->route->name;
    this->proxy.metrics().countAnswer(routeName, status);
    logEvent("request",
             {{"request", this->attributes.id},
              {"route", routeName},
              {"workspace", this->workspaceName()},
              {"outcome", outcome},
              {"status", std::to_string(status)},
              {"verdict", std::string(nameOf(this->verdict))},
              {"backend", this->tried.empty() ? "" : this->tried.back()->record.id},
              {"sends", std::to_string(this->sends)},
              {"predicted_ms", milliseconds(this->lastPrediction.firstEventDelay)},
              {"queue_ms", milliseconds(this->lastPrediction.queueDelay)},
              {"tokens", std::to_string(this->attributes.prompt.tokens)},
              {"target_ms", this->route == nullptr ? "0" : milliseconds(this->route->latencyTarget)},
              {"uncached", std::to_string(this->lastPrediction.uncachedTokens)},
              {"home", this->lastPrediction.isHome ? "true" : "false"},
              {"copied", this->lastPrediction.fetchSource ? "true" : "false"},
              {"running", std::to_string(this->lastRunning)},
              {"waiting", std::to_string(this->lastWaiting)},
              {"first_ms", milliseconds(this->firstEventAfter)},
              {"total_ms", milliseconds(now - this->receivedAt)},
              {"version", this->table ? std::to_string(this->table->version()) : "none"},
              {"version_age_ms", milliseconds(this->proxy.configurationAge(now))}});
}

}
