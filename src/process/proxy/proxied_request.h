#pragma once

/** @file One request of a caller, from admission to the end of its answer. */

#include "connection/http/answer_writer.h"
#include "connection/one_shot_timer.h"
#include "eelgrassnotch/verdict.h"
#include "process/proxy/admission.h"
#include "process/proxy/backend_attempt.h"
#include "process/proxy/proxy.h"
#include "request/event_splitter.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassnotch::process::proxy
{

/**
 * @brief Authenticates, admits and places a request, attempts it at backend servers, and forwards the answer.
 * @remarks Created when the request has been received completely; kept alive by its timers and connection handlers.
 */
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest>
{
public:
    ProxiedRequest(Proxy &owner, connection::http::AnswerWriterPtr callerSession, connection::http::Request callerRequest, Time readAt);

    void start();
    /** @brief Ends an attempt that has not begun to be answered if a part of the prompt is quarantined. */
    void giveUpIfQuarantined();
    /** @brief Notes that the stream may have begun at the new incarnation of a backend server, whose version isn't known. */
    void onBackendRestarted(const std::string &backendId);
    /** @brief Answers the request, or breaks its stream off, since the process is about to end. */
    void endForStop();

private:
    /** @returns the route of the request's host and path in the table that is in force for it; null for none. */
    const version::Route *matchRoute() const;
    /** @returns whether the request's key, as far as it is known, may use a route. */
    bool isAllowedOn(const version::Route *matched) const;
    /** @brief Hands the request over to a neighbour. @returns whether one takes it; this object is done then. */
    bool handOver(Time now);
    /** @brief Finds the route of a request that is refused at once, for its log line, and records its demand. */
    void identify(Time now);
    void findService();
    /** @brief Records the request's cost as demand of its workspace, whether it is served or not. */
    void recordDemand(Time now);
    /** @brief Finds the route, checks the key, sets the time limits and places the request; repeated until a configuration is known. */
    void prepare();
    void waitForConfiguration(Time now);
    /** @returns whether the caller takes up a stream that another attempt has begun. */
    bool isTakenUp() const;
    /** @returns whether callers may take the stream up later. */
    bool canBeTakenUp() const;
    streams::StreamKey streamKey() const;
    /** @brief Finds the version that began the stream, and goes on with admission. */
    void findStreamVersion(Time now);
    void onStreamFound(const streams::StreamFinding &finding);
    /** @brief Notes which version begins the stream, before the caller has anything of it. */
    void recordStreamVersion(Time now);
    /** @brief Leaves a backend server whose version is in doubt before anything of its answer is passed on. */
    void leaveDoubtfulBackend(Time now);
    /** @returns false when no route matches and the request was refused. */
    bool findRoute();
    /** @returns false when the API key is not accepted and the request was refused. */
    bool checkKey(Time now);
    /** @brief Refuses a request that could not end before a stopping daemon exits. @returns false when it was refused. */
    bool checkStopGrace(Time now);
    /** @returns whether the current answer is forwarded event by event. */
    bool isForwardedStream() const;
    BackendChoice chooseBackend(Time now);
    void place();
    void waitForUsableBackend(const BackendChoice &choice, Time now);
    /** @returns the retry-after time for a request for which no backend server is usable. */
    Duration computeRetryAfter(const BackendChoice &choice, Time now) const;
    /** @brief Refuses a request with a quarantined part. @returns false when it was refused, or waits to be sent as a trial. */
    bool checkQuarantine(Time now);
    bool isTrial() const
    {
        return this->triedPart.has_value();
    }
    /** @brief Places the request unless its prompt or its workspace's pace forbids it. */
    void admit();
    /** @returns whether the current attempt's answer has been written for long enough to show that the prompt's parts are sound. */
    bool isBeingWritten(Time now) const;
    /** @brief Refuses a request beyond its workspace's pace, before a backend server is chosen. @returns false when it was refused. */
    bool checkPace(Time now);
    /** @returns the inputs to admission control that don't depend on the chosen backend server. */
    AdmissionInput admissionInput(Time now) const;
    void refuseAdmission(const AdmissionInput &input, const AdmissionDecision &decision, Time now);
    /** @brief Applies admission control. @returns false when the request was refused. */
    bool checkAdmission(const BackendChoice &choice, Time now);
    void startAttempt(const BackendChoice &choice, Time now);
    /** @brief Calls a function if no header of the current attempt's answer has arrived after this time. */
    void limitWaitForHeader(Duration timeout, std::function<void()> onExpiry);
    /** @brief Gives the attempt up: an answer that may belong to an earlier request came, and its own one did not. */
    void onOwnAnswerMissing();
    /** @returns false when the answer belongs to another request and must be rejected. */
    bool onHeader(const connection::http::AnswerHeader &header);
    /** @brief Records what the answer states about its backend server's availability. */
    void recordAvailability(const request::AnswerAttributes &answer, Time now);
    void onBody(std::string_view part);
    void forwardEvents(std::string_view events, Time now);
    void onEnd(const connection::http::ExchangeEnd &end);
    void onCompleteAnswer(Time now);
    void onStreamEnd(Time now);
    void onNotRun(Time now);
    /** @brief Records that the current attempt's backend server was lost before it had begun to answer a prompt. */
    void recordLoss(Time now);
    void onFailedAttempt(const connection::http::ExchangeEnd &end, Time now);
    /** @returns whether the number of attempts so far allows another one. */
    bool hasAttemptsLeft() const;
    /** @brief Starts another attempt at another backend server if limits and retry budget allow it. @returns whether it was started. */
    bool retry(RetryReason reason, Verdict verdict, Time now);
    void endAttempt(Time now, bool isCancelled);
    /** @brief Records how the current attempt ended, for the comparison of versions; once for each attempt. */
    void recordOutcome(bool isFailure, Time now);
    void forwardAnswer();
    void refuse(RefusalReason reason, Duration retryAfter, const std::string &detail);
    /** @brief Cancels the attempt, which a backend server may have run, and ends the request with a refusal or a broken stream. */
    void giveUpAttempt(RefusalReason reason, const std::string &cause, Time now);
    void abortStream(const std::string &cause);
    void onDeadline();
    void onAttemptTimeout();
    void onCallerLeft();
    void armAttemptTimer();
    void finish(const std::string &outcome, unsigned status);

    bool isRetryable() const;
    bool isStream() const;
    bool isEngineService() const;
    Duration remainingTime(Time now) const;
    /** @returns the path of the request, without its query. */
    std::string_view path() const;
    std::string workspaceName() const;
    WorkspaceHandle workspaceHandle() const;
    double cost() const;
    /** @returns tokens that a model engine is expected to generate. */
    double expectedOutput() const;

    Proxy &proxy;
    connection::http::AnswerWriterPtr session;
    connection::http::Request request;
    request::RequestAttributes attributes;
    version::RouteTablePtr table;
    const version::Route *route = nullptr;
    const version::Service *service = nullptr;
    const version::RoutedWorkspace *workspace = nullptr;
    version::Service undeclaredService; ///< Used when the configuration does not declare the route's service.
    connection::OneShotTimer deadlineTimer;
    connection::OneShotTimer attemptTimer;
    connection::OneShotTimer pollTimer;
    Time receivedAt {0};
    Time deadline {0}; ///< Earlier one of the caller's deadline and the route's timeout.
    Time backendWaitDeadline {0}; ///< Until then the request waits for a backend server to become usable.
    std::vector<directory::BackendServerPtr> triedBackends;
    std::unique_ptr<BackendAttempt> currentAttempt;
    process::budget::MemoryBudget::Holding memory; ///< Of the head, the body and the copy that an attempt sends.
    request::EventSplitter splitter;
    Verdict verdict = Verdict::NotRun; ///< Whether any attempt so far has run or may have run.
    std::optional<streams::VersionKey> streamVersion; ///< Of the backend servers that began the stream, once it has begun.
    rollout::VersionChoice versionChoice; ///< Of the current attempt.
    bool isOutcomeRecorded = false; ///< Of the current attempt.
    std::uint32_t attempts = 0;
    std::uint32_t refusedConnections = 0; ///< Attempts that found no process at the backend server's address.
    bool hasFailedToConnect = false;
    std::uint32_t possibleExecutions = 0; ///< Number of attempts that a backend server may have run.
    dispatch::Placement lastPrediction;
    std::uint32_t lastRunning = 0; ///< Running requests that the backend server reported in its last answer.
    std::uint32_t lastWaiting = 0; ///< Waiting requests of the same report.
    Duration timeToFirstEvent {0};
    bool hasAnswerStarted = false; ///< A part of the answer has been sent to the caller.
    std::optional<std::uint64_t> triedPart; ///< Quarantined part of its prompt that it is to show as sound or not.
    bool isFinished = false;
    bool wasCounted = false; ///< The first attempt has been counted for retry budget, shares and costs.
};

}
