#pragma once

/** @file One send of a request to one backend server. */

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
 * @brief Holds a connection, and keeps the account of what the request adds to its backend server's load.
 * @remarks end() must be called once; nothing is undone by the destructor, which does not know the time.
 */
class BackendAttempt
{
public:
    /** @param maxIdleTime A connection that was idle for longer is not used. */
    BackendAttempt(BackendConnectionPool &backendPool, AnswerBufferBudget &answerBufferBudget, directory::BackendServerPtr target,
                   const dispatch::Placement &placement, const request::Prompt &prompt, Duration maxIdleTime, Time now);

    /** @brief Takes the header of the answer, with what it tells of the backend server. */
    void onHeader(const connection::http::AnswerHeader &answerHeader, const request::AnswerAttributes &attributes, Time now);
    /** @brief Notes that the first whole event has come. */
    void onFirstEvent(Time now);
    /** @brief Ends the account and gives the connection back. @param isCancelled Closes it, so that the backend server stops its work. */
    void end(bool isCancelled, Time now);

    directory::BackendServerPtr backend;
    std::shared_ptr<connection::http::ClientConnection> connection;
    dispatch::Placement prediction;
    Time startedAt {0};
    connection::http::AnswerHeader header;
    request::AnswerAttributes answer;
    std::string body;
    AnswerBufferBudget::Usage bufferUsage; ///< Size of the body.
    bool hasHeader = false; ///< The header of the answer is here.
    bool hasFirstEvent = false; ///< A whole event is here.

private:
    void removePendingPrefill();

    BackendConnectionPool &pool;
};

}
