#include "connection/caller.h"

#include <nlohmann/json.hpp>

namespace eelgrassnotch::connection
{

namespace
{

std::int64_t retryAfterSeconds(const Refusal &refusal)
{
    return std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count();
}

}

std::string describeRefusal(const std::string &requestId, const Refusal &refusal)
{
    nlohmann::json document {{"requestId", requestId},
                             {"reason", std::string(nameOf(refusal.reason))},
                             {"verdict", std::string(nameOf(refusal.verdict))},
                             {"detail", refusal.detail}};
    if (refusal.retryAfter.count() > 0) {
        document["retryAfterSeconds"] = retryAfterSeconds(refusal);
    }
    return nlohmann::json {{"error", document}}.dump();
}

Caller::Caller(const web::http::http_request &incoming)
    : request(incoming)
{
}

void Caller::setRequestId(std::string newId)
{
    this->id = std::move(newId);
    this->call.requestId = this->id;
}

web::http::http_response Caller::responseWith(int status) const
{
    web::http::http_response response(static_cast<web::http::status_code>(status));
    if (!this->id.empty()) {
        response.headers().add(headers::requestId, this->id);
    }
    return response;
}

void Caller::answer(int status, const std::string &contentType, const std::vector<unsigned char> &body, bool isReplay)
{
    const std::lock_guard lock(this->mutex);
    if (std::exchange(this->answered, true)) {
        return;
    }
    web::http::http_response response = this->responseWith(status);
    response.headers().add(headers::verdict, std::string(nameOf(Verdict::Ran)));
    if (isReplay) {
        response.headers().add(headers::replayed, "true");
    }
    response.set_body(body);
    response.headers().set_content_type(contentType.empty() ? "application/json" : contentType);
    this->request.reply(response).then([](const pplx::task<void> &task) {
        try {
            task.get();
        } catch (const std::exception &) {
            return; // The caller went away; its answer has nowhere to go.
        }
    });
}

bool Caller::sendEvent(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    if (this->gone || (this->answered && !this->streaming)) {
        return false;
    }
    if (!std::exchange(this->streaming, true)) {
        this->answered = true;
        web::http::http_response response = this->responseWith(web::http::status_codes::OK);
        response.set_body(this->stream.create_istream(), "text/event-stream");
        this->request.reply(response).then([](const pplx::task<void> &task) {
            try {
                task.get();
            } catch (const std::exception &) {
                return; // Noticed by the next write.
            }
        });
    }
    try {
        this->stream.putn_nocopy(reinterpret_cast<const unsigned char *>(text.data()), text.size()).get();
        this->stream.sync().get();
    } catch (const std::exception &) {
        this->gone = true;
    }
    return !this->gone;
}

void Caller::finishStream()
{
    const std::lock_guard lock(this->mutex);
    if (this->streaming) {
        this->stream.close(std::ios_base::out).wait();
    }
}

void Caller::refuse(const Refusal &refusal)
{
    const std::string document = describeRefusal(this->id, refusal);
    const std::lock_guard lock(this->mutex);
    if (this->streaming) {
        const std::string text = "event: error\ndata: " + document + "\n\n";
        this->stream.putn_nocopy(reinterpret_cast<const unsigned char *>(text.data()), text.size()).wait();
        this->stream.sync().wait();
        this->stream.close(std::ios_base::out, std::make_exception_ptr(std::runtime_error("answer cut"))).wait();
        return;
    }
    if (std::exchange(this->answered, true)) {
        return;
    }
    web::http::http_response response = this->responseWith(statusOf(refusal.reason));
    response.headers().add(headers::verdict, std::string(nameOf(refusal.verdict)));
    if (refusal.retryAfter.count() > 0) {
        response.headers().add("Retry-After", std::to_string(retryAfterSeconds(refusal)));
    }
    response.set_body(document, "application/json");
    this->request.reply(response).then([](const pplx::task<void> &task) {
        try {
            task.get();
        } catch (const std::exception &) {
            return; // The caller went away; its answer has nowhere to go.
        }
    });
}

}
