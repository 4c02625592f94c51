#pragma once

/** @file One attempt at a backend server over HTTP. */

#include "request/attempt.h"
#include "version/configuration.h"

#include <functional>
#include <memory>
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

/** @brief Callbacks for an answer; called on the thread of the client, one at a time. */
struct AnswerSink {
    /** @brief Receives the complete answer of a call that is not streamed. */
    std::function<void(int status, const std::string &contentType, std::vector<unsigned char> body)> onAnswer;
    /** @brief Receives one checked event of a streamed answer, with its blank line. @returns false if the caller has disconnected. */
    std::function<bool(const std::string &text)> onEvent;
    /** @brief Receives the outcome; called last, exactly once. */
    std::function<void(const AttemptOutcome &outcome)> onEnd;
};

/** @brief Aborts an attempt; called on any thread while the client exists, also when the attempt has ended. */
using AbortAttempt = std::function<void()>;

/**
 * @brief Sends requests to backend servers, and never a request twice.
 *
 * Connections are kept for idempotent calls. Each non-idempotent call uses a new
 * one, because a backend server may close a kept connection at any moment, and
 * a call that is lost with it may have run.
 */
class BackendClient
{
public:
    BackendClient();
    /** @brief Ends all attempts; their sinks are not called any more. */
    ~BackendClient();

    /** @brief Starts an attempt. @returns what aborts it. */
    AbortAttempt start(const version::BackendServer &backend, const BackendCall &call, AnswerSink sink);

private:
    class Parts;
    std::unique_ptr<Parts> parts;
};

}
