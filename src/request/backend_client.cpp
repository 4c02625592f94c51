#include "request/backend_client.h"

#include "eelgrassnotch/config.h"
#include "process/clock.h"
#include "request/answer_check.h"

#include <cpprest/streams.h>

#include <charconv>

namespace eelgrassnotch::request
{

using web::http::http_request;
using web::http::http_response;

namespace
{

constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;
constexpr auto requestIdHeader = "X-Request-Id";
constexpr auto generationHeader = "X-Engine-Generation";
constexpr auto costHeader = "X-Cost";

template <class Number>
Number headerNumber(const http_response &response, const char *name)
{
    Number value = 0;
    if (const auto found = response.headers().find(name); found != response.headers().end()) {
        const std::string &text = found->second;
        std::from_chars(text.data(), text.data() + text.size(), value);
    }
    return value;
}

std::string headerText(const http_response &response, const char *name)
{
    const auto found = response.headers().find(name);
    return found == response.headers().end() ? std::string() : found->second;
}

/** One attempt; the continuations of its tasks own it. */
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(std::shared_ptr<web::http::client::http_client> client, BackendCall call, AnswerSink sink)
        : client(std::move(client))
        , call(std::move(call))
        , sink(std::move(sink))
        , check(this->call.requestId)
        , startedAt(process::readClock())
    {
    }

    void run(const AbortHandle &abort)
    {
        const auto self = this->shared_from_this();
        this->client->request(this->buildRequest(), abort->get_token()).then([self](const pplx::task<http_response> &task) {
            self->runGuarded([&] { self->onResponse(task.get()); });
        });
    }

private:
    http_request buildRequest() const
    {
        http_request message(this->call.method);
        message.set_request_uri(web::uri(this->call.path));
        message.headers().add(requestIdHeader, this->call.requestId);
        if (!this->call.idempotencyKey.empty()) {
            message.headers().add("Idempotency-Key", this->call.idempotencyKey);
        }
        if (!this->call.body.empty()) {
            message.set_body(this->call.body);
            message.headers().set_content_type(this->call.contentType.empty() ? "application/json" : this->call.contentType);
        }
        return message;
    }

    /** Runs a step; an exception ends the attempt with the matching result. */
    template <class Step>
    void runGuarded(Step &&step)
    {
        try {
            step();
        } catch (const web::http::http_exception &error) {
            this->end(this->classify(error.error_code()));
        } catch (const pplx::task_canceled &) {
            this->end(AttemptResult::CallerGone);
        } catch (const std::exception &) {
            this->end(AttemptResult::ConnectionLost);
        }
    }

    AttemptResult classify(const std::error_code &code) const
    {
        if (code == std::errc::timed_out) {
            return AttemptResult::TimedOut;
        }
        const bool isRefused
            = code == std::errc::connection_refused || code == std::errc::host_unreachable || code == std::errc::network_unreachable;
        return isRefused && !this->hasResponded ? AttemptResult::ConnectFailed : AttemptResult::ConnectionLost;
    }

    void onResponse(const http_response &response)
    {
        this->hasResponded = true;
        this->outcome.status = response.status_code();
        this->outcome.generation = headerNumber<std::uint32_t>(response, generationHeader);
        const bool isRefused = response.status_code() == statusTooManyRequests || response.status_code() == statusUnavailable;
        if (isRefused) {
            const bool isCertainlyNotRun = response.status_code() == statusTooManyRequests || this->call.streamed;
            this->outcome.verdict = isCertainlyNotRun ? Verdict::NotRun : Verdict::MayHaveRun;
            this->end(AttemptResult::BackendRefused, this->outcome.verdict);
            return;
        }
        const bool matchesRequest = headerText(response, requestIdHeader) == this->call.requestId;
        if (!matchesRequest) {
            this->end(AttemptResult::InvalidAnswer);
            return;
        }
        const bool isStream = this->call.streamed && response.headers().content_type().find("text/event-stream") != std::string::npos;
        if (isStream) {
            this->readLine(response);
        } else {
            this->readBody(response);
        }
    }

    void readBody(const http_response &response)
    {
        const auto self = this->shared_from_this();
        response.extract_vector().then([self, response](const pplx::task<std::vector<unsigned char>> &task) {
            self->runGuarded([&] {
                std::vector<unsigned char> body = task.get();
                const auto expected = response.headers().find("Content-Length");
                if (expected != response.headers().end() && response.headers().content_length() != body.size()) {
                    self->end(AttemptResult::InvalidAnswer);
                    return;
                }
                self->outcome.cost = headerNumber<std::uint32_t>(response, costHeader);
                self->outcome.firstToken = process::readClock() - self->startedAt;
                self->outcome.answer.assign(body.begin(), body.end());
                self->sink.onAnswer(response.status_code(), response.headers().content_type(), std::move(body));
                self->end(AttemptResult::Completed, Verdict::Ran);
            });
        });
    }

    void readLine(const http_response &response)
    {
        const auto self = this->shared_from_this();
        const auto line = std::make_shared<concurrency::streams::container_buffer<std::string>>();
        response.body().read_line(*line).then([self, response, line](const pplx::task<size_t> &task) {
            self->runGuarded([&] {
                const std::size_t size = task.get();
                const bool atEnd = size == 0 && response.body().is_eof();
                if (atEnd) {
                    self->onStreamEnd();
                } else if (self->processLine(line->collection())) {
                    self->readLine(response);
                }
            });
        });
    }

    /** @returns whether to read the next line. */
    bool processLine(std::string line)
    {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (line.size() + this->data.size() > config::maxEventBytes) {
            this->end(AttemptResult::InvalidAnswer);
            return false;
        }
        if (line.starts_with("id:")) {
            this->eventId = line.substr(line.find_first_not_of(' ', 3) == std::string::npos ? line.size() : line.find_first_not_of(' ', 3));
        } else if (line.starts_with("data:")) {
            const std::size_t start = line.find_first_not_of(' ', 5);
            this->data += start == std::string::npos ? "" : line.substr(start);
        } else if (line.empty() && !this->data.empty()) {
            return this->processEvent();
        }
        return true;
    }

    bool processEvent()
    {
        const std::string eventId = std::exchange(this->eventId, {});
        const std::string data = std::exchange(this->data, {});
        switch (this->check.accept(eventId, data)) {
        case EventAction::Skip:
            return true;
        case EventAction::Invalid:
            this->end(AttemptResult::InvalidAnswer);
            return false;
        case EventAction::Forward:
            break;
        }
        const Time now = process::readClock();
        if (!this->outcome.answerStarted) {
            this->outcome.firstToken = now - this->startedAt;
            this->firstTokenAt = now;
        }
        this->lastTokenAt = now;
        this->outcome.answerStarted = true;
        const std::string text = (eventId.empty() ? "" : "id: " + eventId + "\n") + "data: " + data + "\n\n";
        if (!this->sink.onEvent(text)) {
            this->end(AttemptResult::CallerGone);
            return false;
        }
        if (this->check.isWhole()) {
            this->onStreamEnd();
            return false;
        }
        return true;
    }

    void onStreamEnd()
    {
        if (!this->check.isWhole()) {
            this->end(AttemptResult::InvalidAnswer);
            return;
        }
        this->outcome.cost = std::max(this->check.cost(), this->check.generated());
        if (this->check.generated() > 1) {
            this->outcome.perToken = (this->lastTokenAt - this->firstTokenAt) / (this->check.generated() - 1);
        }
        this->end(AttemptResult::Completed, Verdict::Ran);
    }

    void end(AttemptResult result)
    {
        const bool isUnsent = result == AttemptResult::ConnectFailed;
        this->end(result, isUnsent ? Verdict::NotRun : Verdict::MayHaveRun);
    }

    void end(AttemptResult result, Verdict verdict)
    {
        if (std::exchange(this->hasEnded, true)) {
            return;
        }
        this->outcome.result = result;
        this->outcome.verdict = verdict;
        if (this->outcome.cost == 0 && this->check.generated() > 0) {
            this->outcome.cost = this->check.generated();
        }
        this->sink.onEnd(this->outcome);
    }

    std::shared_ptr<web::http::client::http_client> client;
    BackendCall call;
    AnswerSink sink;
    AnswerCheck check;
    AttemptOutcome outcome;
    Time startedAt;
    Time firstTokenAt {0};
    Time lastTokenAt {0};
    std::string eventId;
    std::string data;
    bool hasResponded = false;
    bool hasEnded = false;
};

}

AbortHandle BackendClient::start(const version::BackendServer &backend, const BackendCall &call, AnswerSink sink)
{
    const std::string address = "http://" + backend.address + ":" + std::to_string(backend.port);
    auto abort = std::make_shared<pplx::cancellation_token_source>();
    const auto attempt = std::make_shared<Attempt>(this->clientFor(address, call.idempotent), call, std::move(sink));
    attempt->run(abort);
    return abort;
}

std::shared_ptr<web::http::client::http_client> BackendClient::clientFor(const std::string &address, bool idempotent)
{
    web::http::client::http_client_config settings;
    settings.set_timeout(std::chrono::duration_cast<std::chrono::seconds>(config::maxDeadline));
    if (!idempotent) {
        return std::make_shared<web::http::client::http_client>(web::uri(address), settings);
    }
    const std::lock_guard lock(this->mutex);
    auto &client = this->sharedClients[address];
    if (!client) {
        client = std::make_shared<web::http::client::http_client>(web::uri(address), settings);
    }
    return client;
}

}
