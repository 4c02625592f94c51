/** @file Stand-in for a model engine: batches requests, starts cold, streams completions as server-sent events, and misbehaves on demand.
 */

#include "standin/http_server.h"

#include <cpprest/producerconsumerstream.h>
#include <tclap/CmdLine.h>

#include <atomic>
#include <cmath>
#include <iostream>
#include <map>

namespace
{

using eelgrassnotch::standin::after;
using eelgrassnotch::standin::Faults;
using eelgrassnotch::standin::headerOf;
using eelgrassnotch::standin::reply;
using web::http::http_request;
using web::http::http_response;
using web::http::status_codes;
using Clock = std::chrono::steady_clock;
using Stream = concurrency::streams::producer_consumer_buffer<unsigned char>;

constexpr int defaultTokens = 16;
constexpr int maxTokens = 4096;

struct Limits {
    double capacity = 8; ///< Concurrent requests at full speed when warm.
    double coldCapacity = 2; ///< The same right after a start.
    double warmUpSeconds = 5;
    double fallOver = 3; ///< Multiple of the capacity at which the engine restarts itself.
    double tokenMs = 5; ///< Between two tokens at full speed.
};

/** One streamed completion. */
struct Completion {
    std::string id;
    int tokens = 0;
    int sent = 0;
    std::uint32_t generation = 0;
    Stream stream;
    bool closed = false;
};
using CompletionPointer = std::shared_ptr<Completion>;

class Engine
{
public:
    Engine(Faults &faults, Limits limits)
        : faults(faults)
        , limits(limits)
        , startedAt(Clock::now())
    {
    }

    void handle(http_request request)
    {
        const std::string path = request.relative_uri().path();
        if (path == "/load") {
            this->describeLoad(request);
        } else if (path == "/executions") {
            const std::lock_guard lock(this->mutex);
            reply(request, status_codes::OK, nlohmann::json(this->executions).dump());
        } else if (request.method() == web::http::methods::POST) {
            request.extract_utf8string(true).then([this, request](const std::string &body) { this->complete(request, body); });
        } else {
            reply(request, status_codes::NotFound, "{}");
        }
    }

private:
    double capacityNow() const
    {
        const double age = std::chrono::duration<double>(Clock::now() - this->startedAt).count();
        const double warmth = this->limits.warmUpSeconds <= 0 ? 1.0 : std::min(1.0, age / this->limits.warmUpSeconds);
        return this->limits.coldCapacity + warmth * (this->limits.capacity - this->limits.coldCapacity);
    }

    void restart()
    {
        ++this->generation;
        ++this->fallenOver;
        this->startedAt = Clock::now();
    }

    void complete(http_request request, const std::string &body)
    {
        const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
        const std::lock_guard lock(this->mutex);
        if (this->faults.take("refuse")) {
            reply(request, status_codes::TooManyRequests, "{}");
            return;
        }
        if (this->faults.take("restart")) {
            this->restart();
        }
        const auto completion = std::make_shared<Completion>();
        completion->id = this->faults.take("crossHeader") ? "another-request" : headerOf(request, "X-Request-Id");
        const int asked = document.is_object() ? document.value("max_tokens", defaultTokens) : defaultTokens;
        completion->tokens = std::clamp(asked, 1, maxTokens);
        completion->generation = this->generation;
        ++this->active;
        ++this->executions[headerOf(request, "X-Request-Id")];
        this->maxActive = std::max(this->maxActive, this->active);
        this->worstLoad = std::max(this->worstLoad, this->active / this->capacityNow());
        if (this->active > this->capacityNow() * this->limits.fallOver) {
            this->restart();
        }
        http_response response(status_codes::OK);
        response.headers().add("X-Request-Id", completion->id);
        response.headers().add("X-Engine-Generation", std::to_string(this->generation));
        response.set_body(completion->stream.create_istream(), "text/event-stream");
        reply(request, response);
        this->scheduleToken(completion);
    }

    void scheduleToken(const CompletionPointer &completion)
    {
        const double overload = std::max(1.0, this->active / this->capacityNow());
        const double slowdown = std::max(1.0, this->faults.number("slowdown"));
        const auto pause = std::chrono::microseconds(static_cast<int>(this->limits.tokenMs * 1000 * overload * overload * slowdown));
        after(std::chrono::duration_cast<std::chrono::milliseconds>(pause), [this, completion] { this->sendToken(completion); });
    }

    void sendToken(const CompletionPointer &completion)
    {
        const std::lock_guard lock(this->mutex);
        const bool restarted = completion->generation != this->generation;
        const bool truncates = completion->sent == completion->tokens / 2 && this->faults.take("truncate");
        if (restarted || truncates) {
            this->finish(completion, true);
            return;
        }
        if (completion->sent == 1 && this->faults.take("crossEvent")) {
            this->write(completion, this->event("another-request", 1, false, completion->tokens));
        }
        const bool last = completion->sent + 1 == completion->tokens;
        const std::string text = this->event(completion->id, completion->sent, last, completion->tokens);
        bool alive = this->write(completion, text);
        if (completion->sent == 1 && this->faults.take("duplicateEvent")) {
            alive = this->write(completion, text);
        }
        ++completion->sent;
        if (!alive) {
            this->finish(completion, true);
        } else if (last) {
            this->write(completion, "data: [DONE]\n\n");
            this->finish(completion, false);
        } else {
            this->scheduleToken(completion);
        }
    }

    std::string event(const std::string &id, int sequence, bool last, int tokens) const
    {
        nlohmann::json choice {{"index", 0}, {"text", "word" + std::to_string(sequence) + " "}, {"finish_reason", nullptr}};
        nlohmann::json document {{"id", id}, {"object", "text_completion"}};
        if (last) {
            choice["finish_reason"] = "stop";
            document["usage"] = {{"completion_tokens", tokens}, {"total_tokens", tokens}};
        }
        document["choices"] = nlohmann::json::array({choice});
        return "id: " + std::to_string(sequence) + "\ndata: " + document.dump() + "\n\n";
    }

    bool write(const CompletionPointer &completion, const std::string &text)
    {
        if (!completion->stream.can_write()) {
            return false;
        }
        completion->stream.putn_nocopy(reinterpret_cast<const unsigned char *>(text.data()), text.size()).wait();
        completion->stream.sync().wait();
        return true;
    }

    void finish(const CompletionPointer &completion, bool cut)
    {
        if (std::exchange(completion->closed, true)) {
            return;
        }
        this->active -= 1;
        if (cut) {
            completion->stream.close(std::ios_base::out, std::make_exception_ptr(std::runtime_error("cut"))).wait();
        } else {
            this->completed += 1;
            this->tokensServed += completion->tokens;
            completion->stream.close(std::ios_base::out).wait();
        }
    }

    void describeLoad(const http_request &request)
    {
        const std::lock_guard lock(this->mutex);
        const nlohmann::json document {{"active", this->active},         {"maxActive", this->maxActive},   {"worstLoad", this->worstLoad},
                                       {"generation", this->generation}, {"fallenOver", this->fallenOver}, {"completed", this->completed},
                                       {"tokens", this->tokensServed},   {"capacity", this->capacityNow()}};
        reply(request, status_codes::OK, document.dump());
    }

    Faults &faults;
    const Limits limits;
    std::mutex mutex;
    Clock::time_point startedAt;
    std::uint32_t generation = 1;
    std::uint32_t fallenOver = 0;
    double active = 0;
    double maxActive = 0;
    double worstLoad = 0;
    std::uint64_t completed = 0;
    std::uint64_t tokensServed = 0;
    std::map<std::string, int> executions;
};

}

int main(int argumentCount, char **arguments)
{
    try {
        TCLAP::CmdLine line(
            "Stand-in for a model engine. Faults: refuse, restart, truncate, crossEvent, crossHeader, duplicateEvent, slowdown.", ' ',
            EELGRASSNOTCH_VERSION);
        TCLAP::ValueArg<int> port("p", "port", "Port on 127.0.0.1", true, 0, "port", line);
        TCLAP::ValueArg<double> capacity("c", "capacity", "Concurrent requests at full speed", false, 8, "requests", line);
        TCLAP::ValueArg<double> cold("", "cold-capacity", "The same right after a start", false, 2, "requests", line);
        TCLAP::ValueArg<double> warmUp("", "warm-up", "Seconds from cold to full capacity", false, 5, "seconds", line);
        TCLAP::ValueArg<double> tokenMs("t", "token-ms", "Milliseconds between two tokens", false, 5, "ms", line);
        line.parse(argumentCount, arguments);
        eelgrassnotch::standin::prepareSignals();
        Faults faults({{"refuse", 0},
                       {"restart", 0},
                       {"truncate", 0},
                       {"crossEvent", 0},
                       {"crossHeader", 0},
                       {"duplicateEvent", 0},
                       {"slowdown", 1}});
        Limits limits;
        limits.capacity = capacity.getValue();
        limits.coldCapacity = cold.getValue();
        limits.warmUpSeconds = warmUp.getValue();
        limits.tokenMs = tokenMs.getValue();
        Engine engine(faults, limits);
        return eelgrassnotch::standin::serve("127.0.0.1", static_cast<std::uint16_t>(port.getValue()), faults,
                                             [&engine](const http_request &request) { engine.handle(request); });
    } catch (const std::exception &error) {
        std::cerr << "standin-engine: " << error.what() << "\n";
        return 1;
    }
}
