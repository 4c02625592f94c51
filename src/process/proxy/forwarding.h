#pragma once

/** @file One request of a caller on its way to backend servers and back. */

#include "connection/http/server_session.h"
#include "eelgrassnotch/verdict.h"
#include "process/proxy/backend_send.h"
#include "process/proxy/proxy.h"
#include "request/event_splitter.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace eelgrassnotch::process::proxy
{

/** @brief Lives from a whole request to the end of its answer. */
class Forwarding : public std::enable_shared_from_this<Forwarding>
{
public:
    Forwarding(Proxy &owner, connection::http::ServerSessionPtr callerSession, connection::http::Request callerRequest);

    void start();

private:
    void begin();
    void waitForConfiguration(Time now);
    bool findRoute();
    bool checkKey(Time now);
    /** @brief Refuses a request that would outlive a stopping daemon. */
    bool checkStop(Time now);
    /** @returns whether the present answer is passed on event by event. */
    bool isForwardedStream() const;
    PlacedBackend choose(Time now);
    void place();
    void waitForRoom(const PlacedBackend &placed, Time now);
    /** @returns when a caller for whom no backend server is usable should come back. */
    Duration returnAfter(const PlacedBackend &placed, Time now) const;
    bool isAdmitted(const PlacedBackend &placed, Time now);
    void send(const PlacedBackend &placed, Time now);
    bool onHeader(const connection::http::AnswerHeader &header);
    /** @brief Takes what a backend server's answer states of its own availability. */
    void noteStatements(const request::AnswerAttributes &answer, Time now);
    void onBody(std::string_view part);
    void forwardEvents(std::string_view events, Time now);
    void onEnd(const connection::http::ExchangeEnd &end);
    void onWholeAnswer(Time now);
    void onStreamEnd(Time now);
    void onNotRun(Time now);
    void onFailedSend(const connection::http::ExchangeEnd &end, Time now);
    /** @brief Sends again where the verdict and the bounds allow it. @returns whether it does. */
    bool tryAgain(RetryReason reason, Verdict verdict, Time now);
    void endSend(Time now, bool isCancelled);
    void passAnswer();
    void refuse(RefusalReason reason, Duration comeBackAfter, const std::string &detail);
    void breakOff(const std::string &cause);
    void onTimeLimit();
    void onAttemptTimeout();
    void onCallerLeft();
    void armAttemptTimer();
    void finish(const std::string &outcome, unsigned status);

    bool isRepeatable() const;
    bool isStream() const;
    bool isEngine() const;
    Duration timeLeft(Time now) const;
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
    version::Service undescribed; ///< Stands in for a service that the configuration does not describe.
    boost::asio::steady_timer limitTimer;
    boost::asio::steady_timer attemptTimer;
    boost::asio::steady_timer roomTimer;
    Time receivedAt {0};
    Time limit {0}; ///< The caller or the route waits no longer.
    Time roomUntil {0}; ///< Longest wait for a backend server to become usable.
    std::vector<directory::BackendServerPtr> tried;
    std::unique_ptr<BackendSend> current;
    request::EventSplitter splitter;
    Verdict verdict = Verdict::NotRun; ///< The least certain of all sends so far.
    std::uint32_t sends = 0;
    std::uint32_t arrivals = 0; ///< Sends that a backend server may have run.
    dispatch::Placement lastPrediction;
    std::uint32_t lastRunning = 0; ///< Requests at the backend server when it last answered.
    std::uint32_t lastWaiting = 0;
    Duration firstEventAfter {0};
    bool hasStarted = false; ///< The caller has got a part of the answer.
    bool isFinished = false;
    bool wasCounted = false;
};

}
