#include "process/proxy/proxied_request.h"

#include "process/clock.h"
#include "process/event_log.h"
#include "process/proxy/admission.h"

#include <algorithm>
#include <cmath>

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
constexpr unsigned firstServerErrorStatus = 500;
constexpr unsigned firstNonSuccessStatus = 300;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusRequestTimeout = 408;

/** Several round trips between regions. */
constexpr Duration connectTimeout = 400ms;
/** A request that cannot be retried is sent only on a connection used this recently: the server may be about to close an older one. */
constexpr Duration maxIdleNonRetryable = 1500ms;
constexpr Duration maxIdleRetryable = 5s;
/** A request waits for a backend server to become usable for the latency target divided by this. */
constexpr int backendWaitDivisor = 8;
constexpr Duration minBackendWait = 10ms;
constexpr Duration pollInterval = 10ms;
/** A retryable request is attempted elsewhere when no answer header has arrived after this multiple of the latency target. */
constexpr int attemptTimeoutFactor = 3;
/** The least time for which a request waits for its own answer after one without an id, on a reused connection. */
constexpr Duration minOwnAnswerWait = 500ms;
/** Includes attempts that were refused as not run, but for connections that were refused: those put no load on a backend server, and each
 * is asked again after a pause only. */
constexpr std::uint32_t maxAttemptsPerRequest = 4;
/** For requests without a deadline. */
constexpr Duration defaultTimeLimit = 30s;
/** Callers come back until their deadlines, as they measure them. */
constexpr Duration streamNoteMargin = 2s;
/** A request that arrives before the first configuration waits for it this long: a daemon that has just started receives it shortly. */
constexpr Duration maxConfigurationWait = 100ms;
/** Retry-after time when the configuration, confirmed keys or usable backend servers are missing. */
constexpr Duration missingStateRetryAfter = 500ms;
/** All requests are accepted for this long after a stop request; later ones only if they can end within the grace period. */
constexpr Duration acceptAllAfterStop = 2500ms;
/** The process exits this long before the end of the grace period, when it would be killed. */
constexpr Duration stopMargin = 500ms;

/** An answer that goes on for this long after its first event shows that no part of its prompt ends the backend server. */
constexpr Duration minWritingTime = 100ms;

/** Size limit of one event of a stream, in bytes. */
constexpr std::size_t maxEventBytes = 256u << 10;
/** Weight of a generated token in the cost of a request, relative to a prompt token. */
constexpr double outputTokenWeight = 2.0;

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
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

ProxiedRequest::ProxiedRequest(Proxy &owner, http::AnswerWriterPtr callerSession, http::Request callerRequest, Time readAt)
    : proxy(owner)
    , session(std::move(callerSession))
    , request(std::move(callerRequest))
    , deadlineTimer(owner.context().get_executor())
    , attemptTimer(owner.context().get_executor())
    , pollTimer(owner.context().get_executor())
    , receivedAt(readAt)
{
}

void ProxiedRequest::start()
{
    this->memory = this->session->takeRequestHolding();
    this->attributes = this->proxy.dialect().readRequest(this->request);
    this->table = this->proxy.routeTable();
    const version::RoutedWorkspace *sender = this->table ? this->table->workspaceOf(this->attributes.apiKey) : nullptr;
    // A neighbour hands over only what this daemon has told it to have room for.
    const bool isLocal = this->session->handedOverBy().empty();
    if (isLocal && !this->proxy.acceptsNextRequest(sender == nullptr ? WorkspaceHandle() : handleOf<WorkspaceHandle>(sender->name))) {
        this->workspace = sender;
        if (this->handOver(readClock())) {
            return;
        }
        this->proxy.recordShed();
        this->identify(readClock());
        this->refuse(RefusalReason::DaemonOverloaded, localRefusalRetryAfter,
                     "this daemon can't keep up with its callers: lag_ms " + milliseconds(this->proxy.timerLag()) + " accepted_fraction "
                         + std::to_string(this->proxy.acceptedFraction()));
        return;
    }
    this->prepare();
}

const version::Route *ProxiedRequest::matchRoute() const
{
    return this->table ? this->table->match(hostWithoutPort(viewOf(this->request[field::host])), this->path()) : nullptr;
}

bool ProxiedRequest::isAllowedOn(const version::Route *matched) const
{
    return matched != nullptr && (this->workspace != nullptr || matched->isPublic || !this->table->hasWorkspaces());
}

bool ProxiedRequest::handOver(Time now)
{
    const version::Route *matched = this->matchRoute();
    if (!this->isAllowedOn(matched)) {
        return false;
    }
    // A daemon that reads late finds requests whose callers have given up.
    if (this->session->hasCallerLeft()) {
        this->session->abort();
        this->finish("caller_left", 0);
        return true;
    }
    const Duration callerLimit = this->attributes.callerTimeout.value_or(defaultTimeLimit);
    const Duration timeLimit = matched->timeout > Duration(0) ? std::min(callerLimit, matched->timeout) : callerLimit;
    const Duration waited = now - this->receivedAt + this->proxy.timerLag();
    if (!this->proxy.handOver(this->session, this->request, {this->attributes.id, waited, timeLimit - waited, this->table->version()})) {
        return false;
    }
    this->isFinished = true;
    this->proxy.removeActive(*this);
    return true;
}

void ProxiedRequest::identify(Time now)
{
    this->route = this->matchRoute();
    if (this->isAllowedOn(this->route)) {
        this->findService();
        this->recordDemand(now);
    }
}

void ProxiedRequest::findService()
{
    // A stream that is taken up goes on at the service that began it.
    const std::string &serviceName = this->route->serviceFor(hashName(this->isTakenUp() ? this->attributes.resumes : this->attributes.id));
    this->service = this->table->service(serviceName);
    if (this->service == nullptr) {
        this->undeclaredService.name = serviceName;
        this->service = &this->undeclaredService;
    }
}

void ProxiedRequest::recordDemand(Time now)
{
    if (this->isEngineService()) {
        this->proxy.shares().recordDemand(this->workspaceHandle(), this->cost(), now);
        this->proxy.costs().recordRequest(this->route->name, this->cost(), now);
        this->proxy.prefixValueOf(this->service->name).recordRequest(this->attributes.prompt.sharedPrefixId(), now);
        this->proxy.metrics().countDemand(this->workspaceName(), this->cost());
    }
}

void ProxiedRequest::prepare()
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
    const Duration callerTimeLeft
        = std::max(this->attributes.callerTimeout.value_or(defaultTimeLimit) - this->proxy.timerLag() - waited, minBackendWait);
    this->deadline = now + (this->route->timeout > Duration(0) ? std::min(callerTimeLeft, this->route->timeout) : callerTimeLeft);
    this->backendWaitDeadline = now + std::max(this->route->latencyTarget / backendWaitDivisor, minBackendWait);
    if (!this->checkStopGrace(now)) {
        return;
    }
    this->findService();
    this->recordDemand(now);
    if (this->isEngineService()) {
        this->proxy.shares().recordOffered(this->workspaceHandle(), this->cost(), now);
    }
    this->session->watchCaller([weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onCallerLeft();
        }
    });
    this->deadlineTimer.start(this->deadline - now, [self = this->shared_from_this()] { self->onDeadline(); });
    if (this->canBeTakenUp() && this->attributes.lastEventId) {
        this->findStreamVersion(now);
        return;
    }
    this->admit();
}

bool ProxiedRequest::canBeTakenUp() const
{
    return this->isStream() && this->route->isResumable;
}

bool ProxiedRequest::isTakenUp() const
{
    return this->canBeTakenUp() && this->attributes.lastEventId && !this->attributes.resumes.empty();
}

streams::StreamKey ProxiedRequest::streamKey() const
{
    return streams::streamKey(this->isTakenUp() ? this->attributes.resumes : this->attributes.id, this->service->name,
                              this->workspaceName());
}

void ProxiedRequest::findStreamVersion(Time now)
{
    if (!this->isTakenUp()) {
        this->onStreamFound({});
        return;
    }
    this->proxy.streamVersions().find(
        this->streamKey(), this->shared_from_this(), [this](const streams::StreamFinding &finding) { this->onStreamFound(finding); }, now);
}

void ProxiedRequest::onStreamFound(const streams::StreamFinding &finding)
{
    if (this->isFinished) {
        return;
    }
    const bool isKnown = finding.version && *finding.version != streams::uncertainVersion;
    this->proxy.metrics().countTakenUp(isKnown ? "known" : (finding.version ? "uncertain" : "unknown"));
    if (!isKnown) {
        const bool mayBeFound = finding.silent > 0;
        this->refuse(RefusalReason::StreamUnknown, mayBeFound ? missingStateRetryAfter : Duration(0),
                     "the version that began stream " + this->attributes.resumes + " is " + (finding.version ? "uncertain" : "unknown")
                         + " silent_keepers " + std::to_string(finding.silent));
        return;
    }
    logEvent("stream_taken_up",
             {{"request", this->attributes.id}, {"resumes", this->attributes.resumes}, {"silent_keepers", std::to_string(finding.silent)}});
    this->streamVersion = finding.version;
    this->admit();
}

void ProxiedRequest::recordStreamVersion(Time now)
{
    if (!this->canBeTakenUp()) {
        return;
    }
    if (!this->streamVersion) {
        const directory::BackendServer &backend = *this->currentAttempt->backend;
        this->streamVersion = backend.isCertainlyOf(backend.version) ? backend.version : streams::uncertainVersion;
        if (*this->streamVersion == streams::uncertainVersion) {
            logEvent("stream_version_uncertain", {{"request", this->attributes.id}, {"backend", backend.record.id}});
        }
    }
    const Duration callerTimeLeft = this->attributes.callerTimeout.value_or(defaultTimeLimit) - (now - this->receivedAt);
    this->proxy.streamVersions().record({this->streamKey(), *this->streamVersion, callerTimeLeft + streamNoteMargin}, now);
}

void ProxiedRequest::onBackendRestarted(const std::string &backendId)
{
    if (this->isFinished || !this->streamVersion || !this->currentAttempt || !this->currentAttempt->hasFirstEvent
        || this->currentAttempt->backend->record.id != backendId) {
        return;
    }
    this->streamVersion = streams::uncertainVersion;
    this->recordStreamVersion(readClock());
}

void ProxiedRequest::leaveDoubtfulBackend(Time now)
{
    ++this->possibleExecutions;
    this->verdict = std::max(this->verdict, Verdict::MayHaveRun);
    if (this->possibleExecutions < this->route->maxAttempts && this->retry(RetryReason::InvalidAnswer, Verdict::MayHaveRun, now)) {
        return;
    }
    this->endAttempt(now, true);
    if (this->hasAnswerStarted) {
        this->abortStream("the version of the backend server is in doubt");
        return;
    }
    this->refuse(RefusalReason::BackendFailed, Duration(0), "the version of the backend server is in doubt");
}

void ProxiedRequest::admit()
{
    const Time now = readClock();
    if (this->isEngineService() && (!this->checkQuarantine(now) || !(this->isTrial() || this->checkPace(now)))) {
        return;
    }
    this->proxy.recordServiceDemand(this->service->name, now);
    this->proxy.rollouts().recordRequest(this->service->name);
    this->place();
}

bool ProxiedRequest::checkQuarantine(Time now)
{
    using Kind = dispatch::QuarantineRuling::Kind;
    const dispatch::QuarantineRuling ruling = this->proxy.quarantine().rule(this->attributes.prompt, now);
    if (ruling.kind == Kind::Claim && ruling.retryAfter < this->remainingTime(now)) {
        this->pollTimer.start(ruling.retryAfter, [self = this->shared_from_this()] { self->admit(); });
        return false;
    }
    if (ruling.kind == Kind::Claim || ruling.kind == Kind::Refused) {
        this->refuse(RefusalReason::PartQuarantined, ruling.retryAfter, "a part of the prompt ends backend servers");
        return false;
    }
    if (ruling.kind == Kind::Trial) {
        this->triedPart = ruling.part;
        logEvent("part_trial", {{"request", this->attributes.id}, {"part", Proxy::formatPart(ruling.part)}});
    }
    return true;
}

bool ProxiedRequest::isBeingWritten(Time now) const
{
    return this->currentAttempt->hasFirstEvent && now - this->currentAttempt->firstEventAt >= minWritingTime;
}

void ProxiedRequest::giveUpIfQuarantined()
{
    const Time now = readClock();
    if (this->isFinished || this->isTrial() || !this->currentAttempt || this->isBeingWritten(now)
        || !this->proxy.quarantine().quarantinedPart(this->attributes.prompt)) {
        return;
    }
    this->giveUpAttempt(RefusalReason::BackendFailed, "a part of the prompt was found to end backend servers", now);
}

void ProxiedRequest::giveUpAttempt(RefusalReason reason, const std::string &cause, Time now)
{
    this->verdict = std::max(this->verdict, Verdict::MayHaveRun);
    this->endAttempt(now, true);
    if (this->hasAnswerStarted) {
        this->abortStream(cause);
        return;
    }
    this->refuse(reason, Duration(0), cause);
}

void ProxiedRequest::endForStop()
{
    if (this->isFinished) {
        return;
    }
    if (!this->currentAttempt && this->verdict == Verdict::NotRun) {
        this->refuse(RefusalReason::Stopping, localRefusalRetryAfter, "this daemon stops");
        return;
    }
    this->giveUpAttempt(RefusalReason::DeadlineExpired, "the daemon's grace period has ended", readClock());
}

bool ProxiedRequest::checkPace(Time now)
{
    const Duration paceDelay = this->proxy.pacer().delay(this->workspaceHandle(), now);
    if (paceDelay == Duration(0) || this->route->latencyTarget == Duration(0)) {
        return true;
    }
    AdmissionInput input = this->admissionInput(now);
    input.paceDelay = paceDelay;
    this->refuseAdmission(input, decideAdmission(input), now);
    return false;
}

void ProxiedRequest::waitForConfiguration(Time now)
{
    if (now - this->receivedAt >= maxConfigurationWait || this->proxy.isStopping()) {
        this->refuse(RefusalReason::NoConfiguration, missingStateRetryAfter, "no configuration is known yet");
        return;
    }
    this->pollTimer.start(pollInterval, [self = this->shared_from_this()] { self->prepare(); });
}

std::string_view ProxiedRequest::path() const
{
    const std::string_view target = viewOf(this->request.target());
    return target.substr(0, std::min(target.find('?'), target.size()));
}

bool ProxiedRequest::findRoute()
{
    this->route = this->matchRoute();
    if (this->route == nullptr) {
        this->refuse(RefusalReason::UnknownRoute, Duration(0), "no route matches host and path");
        return false;
    }
    return true;
}

bool ProxiedRequest::checkKey(Time now)
{
    if (this->route->isPublic || !this->table->hasWorkspaces()) {
        return true;
    }
    if (!this->proxy.areKeysFresh(now)) {
        this->refuse(RefusalReason::KeysUnconfirmed, missingStateRetryAfter, "keys were confirmed too long ago");
        return false;
    }
    this->workspace = this->table->workspaceOf(this->attributes.apiKey);
    if (this->workspace == nullptr) {
        this->refuse(RefusalReason::UnknownKey, Duration(0), "no workspace holds this key");
        return false;
    }
    return true;
}

bool ProxiedRequest::checkStopGrace(Time now)
{
    const Duration timeSinceStop = this->proxy.timeSinceStop(now);
    const Duration graceLeft = this->proxy.settings().bounds.stopGrace - stopMargin - timeSinceStop;
    if (!this->proxy.isStopping() || timeSinceStop < acceptAllAfterStop || this->deadline - now <= graceLeft) {
        return true;
    }
    this->refuse(RefusalReason::Stopping, localRefusalRetryAfter, "this daemon stops before the request would end");
    return false;
}

bool ProxiedRequest::isStream() const
{
    return this->route->kind == version::RouteKind::Streaming;
}

bool ProxiedRequest::isEngineService() const
{
    return this->service->engine.has_value();
}

bool ProxiedRequest::isRetryable() const
{
    return this->route->kind == version::RouteKind::Idempotent || (this->isStream() && this->route->isResumable);
}

Duration ProxiedRequest::remainingTime(Time now) const
{
    return std::max(this->deadline - now, Duration(0));
}

std::string ProxiedRequest::workspaceName() const
{
    return this->workspace == nullptr ? std::string() : this->workspace->name;
}

WorkspaceHandle ProxiedRequest::workspaceHandle() const
{
    return handleOf<WorkspaceHandle>(this->workspaceName());
}

double ProxiedRequest::cost() const
{
    return this->attributes.prompt.tokens + outputTokenWeight * this->attributes.prompt.maxOutputTokens;
}

double ProxiedRequest::expectedOutput() const
{
    const request::Prompt &prompt = this->attributes.prompt;
    return this->isEngineService() ? this->proxy.outputLengths().expected(this->route->name, prompt.outputHint, prompt.maxOutputTokens) : 0;
}

bool ProxiedRequest::isForwardedStream() const
{
    const request::AnswerAttributes &answer = this->currentAttempt->answer;
    return answer.isEventStream && this->currentAttempt->header.result_int() == statusOk && answer.isSigned && !answer.hasContentEncoding;
}

BackendChoice ProxiedRequest::chooseBackend(Time now)
{
    return this->proxy.chooseBackend({this->route, this->service, this->workspace, &this->attributes.prompt, this->request.body().size(),
                                      hashName(this->attributes.id), &this->triedBackends, this->expectedOutput(), this->streamVersion,
                                      this->hasFailedToConnect},
                                     now);
}

void ProxiedRequest::place()
{
    const Time now = readClock();
    const BackendChoice choice = this->chooseBackend(now);
    if (!choice.backend) {
        this->waitForUsableBackend(choice, now);
        return;
    }
    // A trial decides on all requests with its parts, and there is one at a time.
    if (this->isEngineService() && !this->isTrial() && !this->checkAdmission(choice, now)) {
        return;
    }
    this->startAttempt(choice, now);
}

void ProxiedRequest::waitForUsableBackend(const BackendChoice &choice, Time now)
{
    const bool isOpeningBeyondWait = choice.earliestOpening && *choice.earliestOpening > this->backendWaitDeadline;
    if (now >= this->backendWaitDeadline || isOpeningBeyondWait) {
        const Duration retryAfter = this->computeRetryAfter(choice, now);
        const std::string detail = "none of " + std::to_string(choice.candidateCount) + " backend servers is usable";
        this->refuse(RefusalReason::NoBackend, retryAfter, detail);
        return;
    }
    this->pollTimer.start(pollInterval, [self = this->shared_from_this()] { self->place(); });
}

Duration ProxiedRequest::computeRetryAfter(const BackendChoice &choice, Time now) const
{
    const Duration untilOpen
        = choice.earliestOpening ? std::max(*choice.earliestOpening - now, localRefusalRetryAfter) : missingStateRetryAfter;
    return jitterRetryAfter(untilOpen, hashName(this->attributes.id));
}

AdmissionInput ProxiedRequest::admissionInput(Time now) const
{
    AdmissionInput input;
    input.latencyTarget = this->route->latencyTarget;
    input.shareUsage = this->proxy.shares().shareUsage(this->workspaceHandle(), now);
    input.relativeCost = this->proxy.costs().relativeCost(this->cost(), now);
    input.isUnderserved = this->proxy.costs().isUnderserved(this->route->name, this->cost(), now);
    input.isRetry = this->attempts > 0;
    return input;
}

bool ProxiedRequest::checkAdmission(const BackendChoice &choice, Time now)
{
    AdmissionInput input = this->admissionInput(now);
    input.queueDelay = choice.prediction.queueDelay;
    input.ownPrefillDelay = choice.prediction.ownPrefillDelay;
    input.fleetQueueDelay = choice.meanQueueDelay;
    input.paceDelay = this->proxy.pacer().delay(this->workspaceHandle(), now);
    const AdmissionDecision decision = decideAdmission(input);
    if (!decision.isAdmitted) {
        this->refuseAdmission(input, decision, now);
    }
    return decision.isAdmitted;
}

void ProxiedRequest::refuseAdmission(const AdmissionInput &input, const AdmissionDecision &decision, Time now)
{
    const std::optional<Duration> loadAge = this->proxy.loadAge(now);
    const std::string detail = "queue_ms " + milliseconds(input.queueDelay) + " fleet_queue_ms " + milliseconds(input.fleetQueueDelay)
        + " max_queue_ms " + milliseconds(decision.maxQueueDelay) + " max_fleet_queue_ms " + milliseconds(decision.maxFleetQueueDelay)
        + " pace_ms " + milliseconds(input.paceDelay) + " exceeded " + std::string(nameOf(decision.exceeded)) + " load_age_ms "
        + (loadAge ? milliseconds(*loadAge) : "unknown") + " share_of_served " + std::to_string(input.shareUsage.ofServed)
        + " share_of_guaranteed " + std::to_string(input.shareUsage.ofGuaranteed) + " relative_cost " + std::to_string(input.relativeCost)
        + " behind " + (input.isUnderserved ? "true" : "false");
    this->proxy.metrics().countAdmissionRefusal(nameOf(decision.exceeded));
    this->refuse(RefusalReason::Overloaded, jitterRetryAfter(decision.retryAfter, hashName(this->attributes.id)), detail);
}

void ProxiedRequest::startAttempt(const BackendChoice &choice, Time now)
{
    if (!this->wasCounted) {
        this->wasCounted = true;
        this->proxy.countRequest(this->service->name, now);
        if (this->isEngineService()) {
            this->proxy.shares().recordServed(this->workspaceHandle(), this->cost(), now);
            this->proxy.pacer().recordAdmitted(this->workspaceHandle(), this->cost(), now);
            this->proxy.costs().recordAdmitted(this->route->name, this->cost(), now);
            this->proxy.metrics().countAdmitted(this->workspaceName(), this->cost());
        }
    }
    ++this->attempts;
    if (this->isEngineService()) {
        this->proxy.addUnanswered(this->shared_from_this());
        this->proxy.prefixValueOf(this->service->name).recordSent(choice.prediction.uncachedTokens, now);
    }
    this->triedBackends.push_back(choice.backend);
    this->lastPrediction = choice.prediction;
    this->versionChoice = choice.version;
    this->isOutcomeRecorded = false;
    this->proxy.rollouts().recordSent(this->service->name, choice.backend->record.version);
    const Duration maxIdleTime = this->isRetryable() ? maxIdleRetryable : maxIdleNonRetryable;
    this->currentAttempt = std::make_unique<BackendAttempt>(
        this->proxy.pool(), this->proxy.answerBufferBudget(), choice.backend, choice.prediction, this->attributes.prompt,
        this->isEngineService() ? this->attributes.prompt.tokens + this->expectedOutput() : 0, maxIdleTime, now);

    BackendRequestFields fields;
    fields.expectedInstance = choice.backend->record.id;
    fields.workspace = this->workspaceName();
    fields.remainingTime = this->remainingTime(now);
    fields.prefixSourceAddress = choice.fetchSource ? choice.fetchSource->record.address : std::string();
    fields.resumeAfterEventId = this->splitter.lastEventId();
    const auto outgoing = std::make_shared<const http::Request>(this->proxy.dialect().toBackendRequest(this->request, fields));

    http::ExchangeHooks hooks;
    hooks.onHeader = [self = this->shared_from_this()](const http::AnswerHeader &header) { return self->onHeader(header); };
    hooks.onBody = [self = this->shared_from_this()](std::string_view part) { self->onBody(part); };
    hooks.onEnd = [self = this->shared_from_this()](const http::ExchangeEnd &end) { self->onEnd(end); };
    this->armAttemptTimer();
    this->currentAttempt->connection->send(outgoing, connectTimeout, std::move(hooks));
}

void ProxiedRequest::armAttemptTimer()
{
    if (!this->isRetryable() || this->route->latencyTarget == Duration(0)) {
        return;
    }
    this->limitWaitForHeader(this->route->latencyTarget * attemptTimeoutFactor, [this] { this->onAttemptTimeout(); });
}

void ProxiedRequest::limitWaitForHeader(Duration timeout, std::function<void()> onExpiry)
{
    this->attemptTimer.start(timeout, [self = this->shared_from_this(), onExpiry = std::move(onExpiry)] { onExpiry(); });
}

void ProxiedRequest::onOwnAnswerMissing()
{
    this->currentAttempt->connection->cancel();
    this->onFailedAttempt({EndKind::Malformed, "only an answer without a request id came"}, readClock());
}

bool ProxiedRequest::onHeader(const http::AnswerHeader &header)
{
    BackendAttempt &attempt = *this->currentAttempt;
    const request::AnswerAttributes answer = this->proxy.dialect().readAnswer(header);
    // On a reused connection, an answer without a request id may be a late duplicate of an earlier one, also a refusal.
    const bool namesNone = answer.id.empty() && !attempt.connection->wasUsed();
    if (answer.id != this->attributes.id && !namesNone) {
        logEvent("foreign_answer", {{"request", this->attributes.id}, {"backend", attempt.backend->record.id}, {"answers", answer.id}});
        if (answer.id.empty()) {
            this->limitWaitForHeader(std::max(this->route->latencyTarget * attemptTimeoutFactor, minOwnAnswerWait),
                                     [this] { this->onOwnAnswerMissing(); });
        }
        return false;
    }
    const Time now = readClock();
    attempt.backend->versionCertainty.recordBytes(attempt.connection->createdAt() + connectTimeout, now);
    attempt.onHeader(header, answer, now);
    this->recordAvailability(answer, now);
    this->attemptTimer.cancel();
    if (answer.running) {
        this->lastRunning = *answer.running;
        this->lastWaiting = answer.waiting.value_or(0);
    }
    return true;
}

void ProxiedRequest::recordAvailability(const request::AnswerAttributes &answer, Time now)
{
    if (answer.isDraining) {
        this->proxy.backends().onDrainAnnounced(this->currentAttempt->backend, now);
    }
    // A refusal that is not the backend server's own, or a field that can't be read, says nothing about a limit.
    if (answer.rateLimit || (answer.isSigned && !answer.hasInvalidRateLimit)) {
        this->proxy.recordAnnouncedRate(*this->currentAttempt->backend, answer.rateLimit, now);
    }
    if (answer.retryAfter) {
        logEvent("backend_closed",
                 {{"request", this->attributes.id},
                  {"backend", this->currentAttempt->backend->record.id},
                  {"for_ms", milliseconds(*answer.retryAfter)}});
    }
}

void ProxiedRequest::onBody(std::string_view part)
{
    BackendAttempt &attempt = *this->currentAttempt;
    if (!this->isForwardedStream()) {
        attempt.body += part;
        if (!attempt.bufferUsage.add(part.size())) {
            attempt.connection->cancel();
            this->onFailedAttempt({EndKind::Malformed, "answer is too large"}, readClock());
        }
        return;
    }
    const Time now = readClock();
    attempt.backend->versionCertainty.recordBytes(attempt.connection->createdAt() + connectTimeout, now);
    if (this->streamVersion && !attempt.hasFirstEvent && !attempt.backend->isCertainlyOf(*this->streamVersion)) {
        this->leaveDoubtfulBackend(now);
        return;
    }
    const std::string_view events = this->splitter.add(part);
    if (!events.empty()) {
        this->forwardEvents(events, now);
    } else if (this->splitter.partialEventBytes() > maxEventBytes) {
        attempt.connection->cancel();
        this->onFailedAttempt({EndKind::Malformed, "event is too large"}, readClock());
    }
}

void ProxiedRequest::forwardEvents(std::string_view events, Time now)
{
    BackendAttempt &attempt = *this->currentAttempt;
    if (!attempt.hasFirstEvent) {
        attempt.onFirstEvent(now);
        this->proxy.metrics().observePredictionError(this->route->name, now - attempt.startedAt - attempt.prediction.firstEventDelay);
        if (!events.empty()) {
            this->recordStreamVersion(now);
        }
    }
    if (!this->hasAnswerStarted) {
        this->hasAnswerStarted = true;
        this->timeToFirstEvent = now - this->receivedAt;
        this->proxy.metrics().observeFirstEvent(this->route->name, this->timeToFirstEvent);
        this->session->startStream(this->proxy.dialect().toCallerHeader(attempt.header));
    }
    if (!attempt.isShownSound && this->isBeingWritten(now)) {
        attempt.isShownSound = true;
        this->proxy.quarantine().recordWritten(this->attributes.prompt, now);
        this->proxy.removeUnanswered(*this);
    }
    this->session->sendPart(events);
}

void ProxiedRequest::onEnd(const http::ExchangeEnd &end)
{
    const Time now = readClock();
    if (end.kind != EndKind::Complete) {
        this->onFailedAttempt(end, now);
        return;
    }
    if (this->currentAttempt->answer.isNotRun) {
        this->onNotRun(now);
        return;
    }
    if (this->isForwardedStream()) {
        this->onStreamEnd(now);
        return;
    }
    this->onCompleteAnswer(now);
}

void ProxiedRequest::onStreamEnd(Time now)
{
    if (this->splitter.partialEventBytes() > 0) {
        this->onFailedAttempt({EndKind::BrokenOff, "the stream ends inside an event"}, now);
        return;
    }
    if (!this->currentAttempt->hasFirstEvent) {
        this->forwardEvents({}, now);
    }
    if (this->isFinished) {
        return; // The session was aborted, as the caller read the last part too slowly.
    }
    this->verdict = Verdict::Ran;
    this->proxy.quarantine().recordWritten(this->attributes.prompt, now);
    this->currentAttempt->backend->recordSuccess(now, this->service->coldPeriod);
    if (const auto lastId = this->splitter.lastEventId(); this->isEngineService() && this->attributes.prompt.outputHint && lastId) {
        this->proxy.outputLengths().record(this->route->name, *this->attributes.prompt.outputHint, *lastId, now);
    }
    this->recordOutcome(false, now);
    this->currentAttempt->backend->recordSlotTime(now - this->currentAttempt->startedAt, now);
    this->endAttempt(now, false);
    this->session->finishStream();
    this->finish("served", statusOk);
}

void ProxiedRequest::onCompleteAnswer(Time now)
{
    BackendAttempt &attempt = *this->currentAttempt;
    const unsigned status = attempt.header.result_int();
    const bool isSuccess = status < firstNonSuccessStatus;
    if (isSuccess && (!attempt.answer.isSigned || attempt.answer.hasContentEncoding)) {
        this->onFailedAttempt({EndKind::Malformed, attempt.answer.hasContentEncoding ? "encoded body" : "unsigned answer"}, now);
        return;
    }
    ++this->possibleExecutions;
    this->verdict = Verdict::Ran;
    this->recordOutcome(status >= firstServerErrorStatus, now);
    if (status >= firstServerErrorStatus) {
        attempt.backend->recordErrorAnswer(now);
        const bool hadTime = this->remainingTime(now) > this->route->latencyTarget / 2;
        if (this->isRetryable() && hadTime && this->possibleExecutions < this->route->maxAttempts
            && this->retry(RetryReason::BackendFailed, Verdict::Ran, now)) {
            return;
        }
    } else {
        attempt.backend->recordSuccess(now, this->service->coldPeriod);
        attempt.backend->recordServiceTime(now - attempt.startedAt, attempt.startedAt, now);
    }
    this->forwardAnswer();
}

void ProxiedRequest::forwardAnswer()
{
    const Time now = readClock();
    const unsigned status = this->currentAttempt->header.result_int();
    const bool impliesNotRun = status == statusTooManyRequests || status == statusUnavailable || status == statusRequestTimeout;
    if (this->hasAnswerStarted) {
        this->endAttempt(now, false);
        this->abortStream("resumed stream answered with status " + std::to_string(status));
        return;
    }
    if (impliesNotRun) {
        // Callers take this status to mean that the request has not run, which the backend server did not state.
        this->endAttempt(now, false);
        this->refuse(RefusalReason::BackendFailed, Duration(0), "backend server answered " + std::to_string(status));
        return;
    }
    http::Answer answer(this->proxy.dialect().toCallerHeader(this->currentAttempt->header));
    answer.body() = std::move(this->currentAttempt->body);
    this->endAttempt(now, false);
    this->proxy.metrics().observeAnswer(this->route->name, now - this->receivedAt);
    this->session->sendAnswer(std::move(answer));
    this->finish(status < firstNonSuccessStatus ? "served" : "backend_status", status);
}

void ProxiedRequest::onNotRun(Time now)
{
    BackendAttempt &attempt = *this->currentAttempt;
    if (attempt.answer.isWrongInstance) {
        this->proxy.backends().onWrongInstance(attempt.backend, now);
    } else {
        attempt.backend->recordErrorAnswer(now);
    }
    const unsigned status = attempt.header.result_int();
    const bool isRetryableElsewhere = attempt.answer.isWrongInstance || status == statusUnavailable || status == statusTooManyRequests;
    if (isRetryableElsewhere && this->retry(RetryReason::BackendRefused, Verdict::NotRun, now)) {
        return;
    }
    if (this->hasAnswerStarted) {
        this->endAttempt(now, false);
        this->abortStream("no backend server resumed the stream");
        return;
    }
    const bool isQueueTimeout = this->remainingTime(now) <= Duration(0);
    if (!isRetryableElsewhere && !isQueueTimeout) {
        this->forwardAnswer();
        return;
    }
    this->endAttempt(now, false);
    const bool neverRan = this->verdict == Verdict::NotRun;
    this->refuse(neverRan ? RefusalReason::Overloaded : RefusalReason::BackendFailed,
                 neverRan ? this->computeRetryAfter(this->chooseBackend(now), now) : Duration(0),
                 "backend server refused with status " + std::to_string(status));
}

void ProxiedRequest::onFailedAttempt(const http::ExchangeEnd &end, Time now)
{
    const bool isUnsent = end.kind == EndKind::ConnectFailed;
    this->recordOutcome(true, now);
    if (!isUnsent) {
        ++this->possibleExecutions;
        this->verdict = std::max(this->verdict, Verdict::MayHaveRun);
    }
    this->currentAttempt->backend->recordFailure(this->currentAttempt->startedAt, now);
    // Entries may name any number of backend servers that aren't there.
    const auto log = end.isRefused ? logBounded : logEvent;
    log("send_failed",
        {{"request", this->attributes.id},
         {"backend", this->currentAttempt->backend->record.id},
         {"cause", end.detail},
         {"verdict", std::string(nameOf(isUnsent ? Verdict::NotRun : Verdict::MayHaveRun))},
         {"after_ms", milliseconds(now - this->currentAttempt->startedAt)},
         {"kept_connection", this->currentAttempt->connection->wasUsed() ? "true" : "false"}});
    const bool isLostUnanswered = (end.kind == EndKind::Lost || end.kind == EndKind::BrokenOff) && !this->isBeingWritten(now);
    this->hasFailedToConnect = this->hasFailedToConnect || isUnsent;
    if (end.isRefused) {
        ++this->refusedConnections;
        this->currentAttempt->backend->recordRefusedConnection(now);
    }
    if (isLostUnanswered && this->isEngineService()) {
        this->recordLoss(now);
    }
    // A request that may end the next backend server, too, is not sent to it.
    const bool isSuspect = isLostUnanswered && this->proxy.quarantine().isSuspect(this->attributes.prompt);
    const RetryReason reason = isUnsent ? RetryReason::ConnectFailed
                                        : (end.kind == EndKind::Malformed ? RetryReason::InvalidAnswer : RetryReason::ConnectionLost);
    const bool isRetryAllowed = isUnsent || (!isSuspect && this->isRetryable() && this->possibleExecutions < this->route->maxAttempts);
    if (isRetryAllowed && this->retry(reason, isUnsent ? Verdict::NotRun : Verdict::MayHaveRun, now)) {
        return;
    }
    this->endAttempt(now, true);
    if (this->hasAnswerStarted) {
        this->abortStream(end.detail);
        return;
    }
    const bool neverRan = this->verdict == Verdict::NotRun;
    if (isUnsent && neverRan && this->hasAttemptsLeft()) {
        this->waitForUsableBackend(this->chooseBackend(now), now);
        return;
    }
    this->refuse(neverRan ? RefusalReason::NoBackend : RefusalReason::BackendFailed, neverRan ? missingStateRetryAfter : Duration(0),
                 end.detail);
}

void ProxiedRequest::recordLoss(Time now)
{
    directory::BackendServer &backend = *this->currentAttempt->backend;
    const std::uint32_t incarnation = backend.recordLoss();
    logEvent("backend_lost",
             {{"request", this->attributes.id},
              {"backend", backend.record.id},
              {"incarnation", std::to_string(incarnation)},
              {"started_at", std::to_string(backend.record.startedAt)},
              {"shared_parts", std::to_string(this->attributes.prompt.sharedParts().size())}});
    this->proxy.quarantine().recordLoss(incarnation, this->attributes.prompt, now);
}

bool ProxiedRequest::hasAttemptsLeft() const
{
    return this->attempts - this->refusedConnections < maxAttemptsPerRequest;
}

bool ProxiedRequest::retry(RetryReason reason, Verdict attemptVerdict, Time now)
{
    if (!this->hasAttemptsLeft() || this->remainingTime(now) <= Duration(0)) {
        return false;
    }
    if (this->hasAnswerStarted && !this->splitter.lastEventId()) {
        return false; // Without event ids the stream cannot be resumed at another backend server.
    }
    const BackendChoice choice = this->chooseBackend(now);
    if (!choice.backend) {
        return false;
    }
    // A failed connection attempt puts no load on a backend server, so it needs no retry budget.
    const bool isWithheld = reason != RetryReason::ConnectFailed && !this->proxy.consumeRetryBudget(this->service->name, now);
    const RetryBudgetStats budget = this->proxy.retryBudgetStats(this->service->name);
    if (isWithheld) {
        this->proxy.metrics().countWithheldRetry(this->service->name, reason);
        logEvent("retry_withheld",
                 {{"request", this->attributes.id},
                  {"service", this->service->name},
                  {"reason", std::string(nameOf(reason))},
                  {"budget_left", std::to_string(budget.left)},
                  {"budget_capacity", std::to_string(budget.capacity)},
                  {"daemons", std::to_string(budget.daemons)}});
        return false;
    }
    this->proxy.metrics().countRetry(reason);
    const auto log = reason == RetryReason::ConnectFailed ? logBounded : logEvent;
    log("retry",
        {{"request", this->attributes.id},
         {"reason", std::string(nameOf(reason))},
         {"verdict", std::string(nameOf(attemptVerdict))},
         {"from", this->currentAttempt->backend->record.id},
         {"to", choice.backend->record.id},
         {"send", std::to_string(this->attempts + 1)},
         {"budget_left", std::to_string(budget.left)},
         {"budget_capacity", std::to_string(budget.capacity)},
         {"daemons", std::to_string(budget.daemons)}});
    this->endAttempt(now, attemptVerdict != Verdict::NotRun);
    this->splitter.discardPartialEvent();
    this->startAttempt(choice, now);
    return true;
}

void ProxiedRequest::endAttempt(Time now, bool isCancelled)
{
    if (!this->currentAttempt) {
        return;
    }
    const std::unique_ptr<BackendAttempt> attempt = std::move(this->currentAttempt);
    this->proxy.removeUnanswered(*this);
    this->attemptTimer.cancel();
    attempt->end(isCancelled, now);
}

void ProxiedRequest::recordOutcome(bool isFailure, Time now)
{
    if (std::exchange(this->isOutcomeRecorded, true)) {
        return;
    }
    const BackendAttempt &attempt = *this->currentAttempt;
    const double size = this->isEngineService()
        ? attempt.prediction.uncachedTokens + outputTokenWeight * this->attributes.prompt.maxOutputTokens
        : static_cast<double>(this->request.body().size());
    this->proxy.rollouts().recordOutcome(
        this->service->name, attempt.backend->record.version,
        {this->versionChoice, false, hashName(this->route->name), isFailure, now - attempt.startedAt, size}, now);
}

void ProxiedRequest::onAttemptTimeout()
{
    const Time now = readClock();
    const directory::BackendServerPtr backend = this->currentAttempt->backend;
    const Time sentAt = this->currentAttempt->startedAt;
    if (this->possibleExecutions + 1 >= this->route->maxAttempts) {
        return;
    }
    this->recordOutcome(false, now);
    if (this->retry(RetryReason::TimedOut, Verdict::MayHaveRun, now)) {
        ++this->possibleExecutions;
        this->verdict = std::max(this->verdict, Verdict::MayHaveRun);
        backend->recordFailure(sentAt, now);
    }
}

void ProxiedRequest::onDeadline()
{
    const Time now = readClock();
    if (!this->currentAttempt) {
        this->refuse(RefusalReason::DeadlineExpired, Duration(0), "time limit reached before a send");
        return;
    }
    if (!this->currentAttempt->hasHeader && this->currentAttempt->backend->isUnresponsive(now)) {
        this->currentAttempt->backend->recordFailure(this->currentAttempt->startedAt, now);
    }
    this->recordOutcome(false, now);
    this->giveUpAttempt(RefusalReason::DeadlineExpired, "time limit reached", now);
}

void ProxiedRequest::onCallerLeft()
{
    if (this->isFinished) {
        return;
    }
    const Time now = readClock();
    if (this->currentAttempt && !this->currentAttempt->hasHeader && this->currentAttempt->backend->isUnresponsive(now)) {
        this->currentAttempt->backend->recordFailure(this->currentAttempt->startedAt, now);
    }
    this->endAttempt(now, true);
    this->finish("caller_left", 0);
}

void ProxiedRequest::abortStream(const std::string &cause)
{
    this->session->abort();
    this->finish("broken_off: " + cause, 0);
}

void ProxiedRequest::refuse(RefusalReason reason, Duration retryAfter, const std::string &detail)
{
    this->session->sendAnswer(this->proxy.makeRefusal(reason, retryAfter, detail, this->attributes.id));
    this->finish("refused: " + std::string(nameOf(reason)) + ": " + detail, static_cast<unsigned>(statusOf(reason)));
}

void ProxiedRequest::finish(const std::string &outcome, unsigned status)
{
    if (this->isFinished) {
        return;
    }
    this->isFinished = true;
    if (this->triedPart && this->attempts == 0) {
        this->proxy.quarantine().returnTrial(*this->triedPart);
    }
    this->memory.set(0);
    this->proxy.removeActive(*this);
    this->deadlineTimer.cancel();
    this->attemptTimer.cancel();
    this->pollTimer.cancel();
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
              {"backend", this->triedBackends.empty() ? "" : this->triedBackends.back()->record.id},
              {"sends", std::to_string(this->attempts)},
              {"predicted_ms", milliseconds(this->lastPrediction.firstEventDelay)},
              {"queue_ms", milliseconds(this->lastPrediction.queueDelay)},
              {"tokens", std::to_string(this->attributes.prompt.tokens)},
              {"cost", std::to_string(std::llround(this->cost()))},
              {"target_ms", this->route == nullptr ? "0" : milliseconds(this->route->latencyTarget)},
              {"uncached", std::to_string(this->lastPrediction.uncachedTokens)},
              {"home", this->lastPrediction.isHome ? "true" : "false"},
              {"copied", this->lastPrediction.fetchSource ? "true" : "false"},
              {"running", std::to_string(this->lastRunning)},
              {"waiting", std::to_string(this->lastWaiting)},
              {"first_ms", milliseconds(this->timeToFirstEvent)},
              {"total_ms", milliseconds(now - this->receivedAt)},
              {"handed_over_by", this->session->handedOverBy()},
              {"connection_requests", std::to_string(this->session->requestCount())},
              {"version", this->table ? std::to_string(this->table->version()) : "none"},
              {"version_age_ms", milliseconds(this->proxy.configurationAge(now))}});
}

}
