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

/** @brief What is sent to a backend server. */
struct BackendCall {
    std::string requestId; ///< Echoed by the backend server.
    std::string method;
    std::string path; ///< Path and query.
    std::string contentType;
    std::string idempotencyKey; ///< Passed on; empty for none.
    std::vector<unsigned char> body;
    bool idempotent = true;
    bool streamed = false; ///< Server-sent events are expected.
    Duration timeout {0};
};

/** @brief Where an answer goes; called from the threads of HTTP, one call after the other. */
struct AnswerSink {
    /** @brief A whole answer of a plain call. */
    std::function<void(int status, const std::string &contentType, std::vector<unsigned char> body)> onAnswer;
    /** @brief One checked event of a streamed answer, with its blank line. @returns false when the caller is gone. */
    std::function<bool(const std::string &text)> onEvent;
    /** @brief The attempt has ended; comes last, exactly once. */
    std::function<void(const AttemptOutcome &outcome)> onEnd;
};

/** @brief Lets an attempt be aborted. */
using AbortHandle = std::shared_ptr<pplx::cancellation_token_source>;

/**
 * @brief Sends requests to backend servers.
 *
 * A non-idempotent call goes out on a client of its own, whose connection was
 * never used before: the library sends a request again by itself when a kept
 * connection turns out to be closed.
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
