#pragma once

/** @file One attempt at a backend server over HTTP. */

#include "request/attempt.h"
#include "version/configuration.h"

#include <cpprest/http_client.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace eelgrassnotch::request
{

/** @brief A request to a backend server. */
struct BackendCall {
    std::string requestId; ///< The backend server must return it in its answer.
    std::string method;
    std::string path; ///< Path and query.
    std::string contentType;
    std::string idempotencyKey; ///< Sent as Idempotency-Key; empty for none.
    std::vector<unsigned char> body;
    bool idempotent = true;
    bool streamed = false; ///< Whether server-sent events are expected.
    Duration timeout {0};
};

/** @brief Callbacks for an answer; called on threads of the HTTP library, one at a time. */
struct AnswerSink {
    /** @brief Receives the complete answer of a call that is not streamed. */
    std::function<void(int status, const std::string &contentType, std::vector<unsigned char> body)> onAnswer;
    /** @brief Receives one checked event of a streamed answer, with its blank line. @returns false if the caller has disconnected. */
    std::function<bool(const std::string &text)> onEvent;
    /** @brief Receives the outcome; called last, exactly once. */
    std::function<void(const AttemptOutcome &outcome)> onEnd;
};

/** @brief Aborts an attempt. */
using AbortHandle = std::shared_ptr<pplx::cancellation_token_source>;

/**
 * @brief Sends requests to backend servers.
 *
 * Each non-idempotent call uses a new client with a new connection, because the
 * library silently sends a request again when a reused connection turns out to
 * be closed.
 */
class BackendClient
{
public:
    /** @brief Starts an attempt. @returns a handle that aborts it. */
    AbortHandle start(const version::BackendServer &backend, const BackendCall &call, AnswerSink sink);

private:
    std::shared_ptr<web::http::client::http_client> clientFor(const std::string &address, bool idempotent);

    std::mutex mutex;
    std::map<std::string, std::shared_ptr<web::http::client::http_client>> sharedClients;
};

}
