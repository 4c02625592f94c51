#pragma once

/** @file One attempt of a request at one backend server. */

#include "connection/http/client_connection.h"
#include "process/dispatch/placement.h"
#include "process/proxy/answer_buffer_budget.h"
#include "process/proxy/backend_connection_pool.h"
#include "request/attributes.h"

#include <memory>
#include <string>

namespace eelgrassnotch::process::proxy
{

/**
 * @brief Holds a connection, and accounts for the load that the request adds to its backend server.
 * @remarks end() must be called exactly once. The destructor releases neither connection nor load, as it does not know the time.
 */
class BackendAttempt
{
public:
    /**
     * @param expectedTokens Prompt and expected output; zero for a service without model engines.
     * @param maxIdleTime A pooled connection that was idle for longer is not used.
     */
    BackendAttempt(BackendConnectionPool &backendPool, AnswerBufferBudget &answerBufferBudget, directory::BackendServerPtr target,
                   const dispatch::Placement &placement, const request::Prompt &prompt, double expectedTokens, Duration maxIdleTime,
                   Time now);

    /** @brief Stores the answer header, and updates the backend server's state from what it reports. */
    void onHeader(const connection::http::AnswerHeader &answerHeader, const request::AnswerAttributes &attributes, Time now);
    /** @brief Records the arrival of the first complete event. */
    void onFirstEvent(Time now);
    /**
     * @brief Removes the attempt from the backend server's load and releases the connection.
     * @param isCancelled Closes the connection, so that the backend server stops its work.
     */
    void end(bool isCancelled, Time now);

    directory::BackendServerPtr backend;
    std::shared_ptr<connection::http::ClientConnection> connection;
    dispatch::Placement prediction;
    Time startedAt {0};
    connection::http::AnswerHeader header;
    request::AnswerAttributes answer;
    std::string body;
    AnswerBufferBudget::Usage bufferUsage; ///< Bytes of body.
    bool hasHeader = false; ///< The answer's header has arrived.
    bool hasFirstEvent = false; ///< A complete event has arrived.
    Time firstEventAt {0};
    bool isShownSound = false; ///< The answer was written for long enough to show that the prompt's parts are sound.

private:
    void removePendingPrefill();

    BackendConnectionPool &pool;
    double committedTokens;
};

}
