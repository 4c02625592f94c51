#pragma once

/** @file One caller's HTTP request and its answer. */

#include "eelgrassnotch/verdict.h"
#include "request/attempt.h"
#include "request/backend_client.h"

#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace eelgrassnotch::connection
{

/** @brief Names of the headers that callers and the system exchange. */
namespace headers
{
constexpr auto workspace = "Eelgrass-Workspace";
constexpr auto service = "Eelgrass-Service";
constexpr auto deadline = "Eelgrass-Deadline-Ms";
constexpr auto costHint = "Eelgrass-Cost-Hint";
constexpr auto requestId = "Eelgrass-Request-Id";
constexpr auto verdict = "Eelgrass-Verdict";
constexpr auto replayed = "Eelgrass-Replayed";
constexpr auto idempotencyKey = "Idempotency-Key";
}

/**
 * @brief Answers one caller exactly once: whole, streamed or refused.
 * @remarks Callable from several threads; the first final answer wins.
 */
class Caller
{
public:
    explicit Caller(const web::http::http_request &request);

    /** @brief Sends a whole answer. */
    void answer(int status, const std::string &contentType, const std::vector<unsigned char> &body, bool isReplay);
    /** @brief Sends one event of a streamed answer, its headers before the first. @returns false when the caller is gone. */
    bool sendEvent(const std::string &text);
    /** @brief Ends a streamed answer that came whole. */
    void finishStream();
    /** @brief Sends a refusal; a stream that has begun gets it as an error event and is cut. */
    void refuse(const Refusal &refusal);

    void setRequestId(std::string id);
    const std::string &requestId() const
    {
        return this->id;
    }

    request::RequestInfo info;
    request::BackendCall call;
    request::AbortAttempt abort; ///< Of the running attempt; owned by the core's thread.

private:
    web::http::http_response responseWith(int status) const;

    web::http::http_request request;
    std::string id;
    std::mutex mutex;
    bool answered = false;
    bool streaming = false;
    concurrency::streams::producer_consumer_buffer<unsigned char> stream;
    std::atomic<bool> gone {false};
};

using CallerPointer = std::shared_ptr<Caller>;

/** @returns the JSON document of a refusal. */
std::string describeRefusal(const std::string &requestId, const Refusal &refusal);

}
