#pragma once

/** @file One request of a caller on its way to backend servers and back. */

#include "connection/http/server_session.h"
#include "eelgrassnotch/verdict.h"
#include "process/proxy/backend_attempt.h"
#include "process/proxy/proxy.h"
#include "request/event_splitter.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace eelgrassnotch::process::proxy
{

/** @brief Lives from a whole request to the end of its answer. */
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest>
{
public:
    ProxiedRequest(Proxy &owner, connection::http::ServerSessionPtr callerSession, connection::http::Request callerRequest);

    void start();

private:
    void prepare();
    void waitForConfiguration(Time now);
    bool findRoute();
    bool checkKey(Time now);
    /** @brief Refuses a request that would outlive a stopping daemon. */
    bool checkStopGrace(Time now);
    /** @returns whether the present answer is passed on event by event. */
    bool isForwardedStream() const;
    BackendChoice chooseBackend(Time now);
    void place();
    void waitForUsableBackend(const BackendChoice &choice, Time now);
    /** @returns when a caller for whom no backend server is usable should come back. */
    Duration computeRetryAfter(const BackendChoice &choice, Time now) const;
    bool checkAdmission(const BackendChoice &choice, Time now);
    void startAttempt(const BackendChoice &choice, Time now);
    bool onHeader(const connection::http::AnswerHeader &header);
    /** @brief Takes what a backend server's answer states of its own availability. */
    void recordAvailability(const request::AnswerAttributes &answer, Time now);
    void onBody(std::string_view part);
    void forwardEvents(std::string_view events, Time now);
    void onEnd(const connection::http::ExchangeEnd &end);
    void onCompleteAnswer(Time now);
    void onStreamEnd(Time now);
    void onNotRun(Time now);
    void onFailedAttempt(const connection::http::ExchangeEnd &end, Time now);
    /** @brief Sends again where the verdict and the bounds allow it. @returns whether it does. */
    bool retry(RetryReason reason, Verdict verdict, Time now);
    void endAttempt(Time now, bool isCancelled);
    void forwardAnswer();
    void refuse(RefusalReason reason, Duration retryAfter, const std::string &detail);
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
    std::string workspaceName() const;
    WorkspaceHandle workspaceHandle() const;
    double cost() const;

    Proxy &proxy;
    connection::http::ServerSessionPtr session;
    connection::http::Request request;
    request::RequestAttributes attributes;
    version::RouteTablePtr table;
    const version::Route *route = nullptr;
    const version::Service *service = nullptr;
    const version::RoutedWorkspace *workspace = nullptr;
    version::Service undeclaredService; ///< Stands in for a service that the configuration does not describe.
    boost::asio::steady_timer deadlineTimer;
    boost::asio::steady_timer attemptTimer;
    boost::asio::steady_timer pollTimer;
    Time receivedAt {0};
    Time deadline {0}; ///< The caller or the route waits no longer.
    Time backendWaitDeadline {0}; ///< Longest wait for a backend server to become usable.
    std::vector<directory::BackendServerPtr> triedBackends;
    std::unique_ptr<BackendAttempt> currentAttempt;
    request::EventSplitter splitter;
    Verdict verdict = Verdict::NotRun; ///< The least certain of all sends so far.
    std::uint32_t attempts = 0;
    std::uint32_t possibleExecutions = 0; ///< Sends that a backend server may have run.
    dispatch::Placement lastPrediction;
    std::uint32_t lastRunning = 0; ///< Requests at the backend server when it last answered.
    std::uint32_t lastWaiting = 0;
    Duration timeToFirstEvent {0};
    bool hasAnswerStarted = false; ///< The caller has got a part of the answer.
    bool isFinished = false;
    bool wasCounted = false;
};

}
