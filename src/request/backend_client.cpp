#include "request/backend_client.h"

#include "connection/http/client_connection.h"
#include "eelgrassnotch/config.h"
#include "process/clock.h"
#include "process/loop_thread.h"
#include "request/answer_check.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <map>

namespace eelgrassnotch::request
{

namespace http = connection::http;
using http::EndKind;

namespace
{

using namespace std::chrono_literals;

constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusUnavailable = 503;
constexpr auto requestIdHeader = "X-Request-Id";
constexpr auto generationHeader = "X-Engine-Generation";
constexpr auto costHeader = "X-Cost";

/** Several round trips between regions, and one lost packet. */
constexpr Duration connectTimeout = 2s;
/** Kept connections to one backend server; a connection beyond that is closed after its call. */
constexpr std::size_t maxKeptConnections = 64;

using ConnectionPointer = std::shared_ptr<http::ClientConnection>;

std::string fieldText(const http::AnswerHeader &header, const char *name)
{
    const auto value = header[name];
    return {value.data(), value.size()};
}

std::uint32_t fieldNumber(const http::AnswerHeader &header, const char *name)
{
    std::uint32_t value = 0;
    const std::string text = fieldText(header, name);
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

AttemptResult resultOf(EndKind kind)
{
    switch (kind) {
    case EndKind::ConnectFailed:
        return AttemptResult::ConnectFailed;
    case EndKind::Malformed:
        return AttemptResult::InvalidAnswer;
    case EndKind::Complete:
    case EndKind::Lost:
    case EndKind::BrokenOff:
        break;
    }
    return AttemptResult::ConnectionLost;
}

/** One attempt, on the client's thread; its connection and its timer own it until it ends. */
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    /** @param release Gets the connection back, unless the attempt gave it up. */
    Attempt(ConnectionPointer backendConnection, BackendCall backendCall, AnswerSink answerSink,
            std::function<void(const ConnectionPointer &)> release)
        : connection(std::move(backendConnection))
        , call(std::move(backendCall))
        , sink(std::move(answerSink))
        , onReleased(std::move(release))
        , timer(this->connection->executor())
        , check(this->call.requestId)
        , startedAt(process::readClock())
    {
    }

    void run(const std::string &host)
    {
        const auto self = this->shared_from_this();
        this->timer.start(config::maxDeadline, [self] { self->giveUp(AttemptResult::TimedOut); });
        http::ExchangeHooks hooks;
        hooks.onHeader = [self](const http::AnswerHeader &header) {
            self->onHeader(header);
            return true;
        };
        hooks.onBody = [self](std::string_view part) { self->onBody(part); };
        hooks.onEnd = [self](const http::ExchangeEnd &end) { self->onEnd(end); };
        this->connection->send(this->buildRequest(host), connectTimeout, std::move(hooks));
    }

    /** Closes the connection and ends the attempt, unless it has ended. */
    void giveUp(AttemptResult result)
    {
        this->giveUp(result, Verdict::MayHaveRun);
    }

private:
    std::shared_ptr<const http::Request> buildRequest(const std::string &host) const
    {
        const auto message = std::make_shared<http::Request>();
        message->version(11);
        message->method_string(this->call.method);
        message->target(this->call.path);
        message->set(boost::beast::http::field::host, host);
        message->set(requestIdHeader, this->call.requestId);
        if (!this->call.idempotencyKey.empty()) {
            message->set("Idempotency-Key", this->call.idempotencyKey);
        }
        if (!this->call.body.empty()) {
            message->body().assign(this->call.body.begin(), this->call.body.end());
            message->set(boost::beast::http::field::content_type,
                         this->call.contentType.empty() ? "application/json" : this->call.contentType);
        }
        message->prepare_payload();
        return message;
    }

    void onHeader(const http::AnswerHeader &answerHeader)
    {
        this->header = answerHeader;
        const unsigned status = answerHeader.result_int();
        this->outcome.status = static_cast<int>(status);
        this->outcome.generation = fieldNumber(answerHeader, generationHeader);
        if (status == statusTooManyRequests || status == statusUnavailable) {
            const bool isCertainlyNotRun = status == statusTooManyRequests || this->call.streamed;
            this->giveUp(AttemptResult::BackendRefused, isCertainlyNotRun ? Verdict::NotRun : Verdict::MayHaveRun);
            return;
        }
        if (fieldText(answerHeader, requestIdHeader) != this->call.requestId) {
            this->giveUp(AttemptResult::InvalidAnswer);
            return;
        }
        this->isStream = this->call.streamed && fieldText(answerHeader, "Content-Type").find("text/event-stream") != std::string::npos;
    }

    void onBody(std::string_view part)
    {
        if (!this->isStream) {
            this->body.insert(this->body.end(), part.begin(), part.end());
            if (this->body.size() > config::maxAnswerBytes) {
                this->giveUp(AttemptResult::InvalidAnswer);
            }
            return;
        }
        while (!part.empty() && !this->hasEnded) {
            const std::size_t size = std::min(part.find('\n'), part.size());
            this->line += part.substr(0, size);
            const bool isWhole = size < part.size();
            part.remove_prefix(isWhole ? size + 1 : size);
            if (isWhole) {
                this->processLine(std::exchange(this->line, {}));
            } else if (this->line.size() > config::maxEventBytes) {
                this->giveUp(AttemptResult::InvalidAnswer);
            }
        }
    }

    void onEnd(const http::ExchangeEnd &exchangeEnd)
    {
        if (exchangeEnd.kind != EndKind::Complete) {
            const bool isUnsent = exchangeEnd.kind == EndKind::ConnectFailed;
            this->end(resultOf(exchangeEnd.kind), isUnsent ? Verdict::NotRun : Verdict::MayHaveRun);
            return;
        }
        this->onReleased(this->connection);
        if (this->isStream) {
            this->onStreamEnd();
            return;
        }
        this->outcome.cost = fieldNumber(this->header, costHeader);
        this->outcome.firstToken = process::readClock() - this->startedAt;
        this->outcome.answer.assign(this->body.begin(), this->body.end());
        this->sink.onAnswer(this->outcome.status, fieldText(this->header, "Content-Type"), std::move(this->body));
        this->end(AttemptResult::Completed, Verdict::Ran);
    }

    void processLine(std::string line)
    {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (line.size() + this->data.size() > config::maxEventBytes) {
            this->giveUp(AttemptResult::InvalidAnswer);
        } else if (line.starts_with("id:")) {
            this->eventId = line.substr(line.find_first_not_of(' ', 3) == std::string::npos ? line.size() : line.find_first_not_of(' ', 3));
        } else if (line.starts_with("data:")) {
            const std::size_t start = line.find_first_not_of(' ', 5);
            this->data += start == std::string::npos ? "" : line.substr(start);
        } else if (line.empty() && !this->data.empty()) {
            this->processEvent();
        }
    }

    void processEvent()
    {
        const std::string eventId = std::exchange(this->eventId, {});
        const std::string data = std::exchange(this->data, {});
        switch (this->check.accept(eventId, data)) {
        case EventAction::Skip:
            return;
        case EventAction::Invalid:
            this->giveUp(AttemptResult::InvalidAnswer);
            return;
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
            this->giveUp(AttemptResult::CallerGone);
        } else if (this->check.isWhole()) {
            this->connection->cancel();
            this->onStreamEnd();
        }
    }

    void onStreamEnd()
    {
        if (!this->check.isWhole()) {
            this->end(AttemptResult::InvalidAnswer, Verdict::MayHaveRun);
            return;
        }
        this->outcome.cost = std::max(this->check.cost(), this->check.generated());
        if (this->check.generated() > 1) {
            this->outcome.perToken = (this->lastTokenAt - this->firstTokenAt) / (this->check.generated() - 1);
        }
        this->end(AttemptResult::Completed, Verdict::Ran);
    }

    void giveUp(AttemptResult result, Verdict verdict)
    {
        if (!this->hasEnded) {
            this->connection->cancel();
            this->end(result, verdict);
        }
    }

    void end(AttemptResult result, Verdict verdict)
    {
        if (std::exchange(this->hasEnded, true)) {
            return;
        }
        this->timer.cancel();
        this->outcome.result = result;
        this->outcome.verdict = verdict;
        if (this->outcome.cost == 0 && this->check.generated() > 0) {
            this->outcome.cost = this->check.generated();
        }
        this->sink.onEnd(this->outcome);
    }

    ConnectionPointer connection;
    BackendCall call;
    AnswerSink sink;
    std::function<void(const ConnectionPointer &)> onReleased;
    connection::OneShotTimer timer;
    AnswerCheck check;
    AttemptOutcome outcome;
    Time startedAt;
    Time firstTokenAt {0};
    Time lastTokenAt {0};
    http::AnswerHeader header;
    std::vector<unsigned char> body;
    std::string line; ///< Begun, of a stream.
    std::string eventId;
    std::string data;
    bool isStream = false;
    bool hasEnded = false;
};

}

/** The event loop, and the connections that only its thread uses. */
class BackendClient::Parts
{
public:
    Parts() = default;
    ~Parts()
    {
        this->thread.stop();
    }
    Parts(const Parts &) = delete;
    Parts &operator=(const Parts &) = delete;

    AbortAttempt start(const version::BackendServer &backend, const BackendCall &call, AnswerSink sink)
    {
        const auto attempt = std::make_shared<std::weak_ptr<Attempt>>();
        boost::asio::post(this->thread.context(), [this, attempt, backend, call = BackendCall(call), sink = std::move(sink)]() mutable {
            const std::string host = backend.address + ":" + std::to_string(backend.port);
            const http::Endpoint endpoint(boost::asio::ip::make_address(backend.address), backend.port);
            const bool mayReuse = call.idempotent;
            auto connection = mayReuse ? this->acquire(endpoint) : this->makeConnection(endpoint);
            const auto release = [this, endpoint, mayReuse](const ConnectionPointer &used) {
                if (mayReuse) {
                    this->keep(endpoint, used);
                } else {
                    used->cancel();
                }
            };
            const auto started = std::make_shared<Attempt>(std::move(connection), std::move(call), std::move(sink), release);
            *attempt = started;
            started->run(host);
        });
        return [this, attempt] {
            boost::asio::post(this->thread.context(), [attempt] {
                if (const auto running = attempt->lock()) {
                    running->giveUp(AttemptResult::CallerGone);
                }
            });
        };
    }

private:
    ConnectionPointer makeConnection(const http::Endpoint &endpoint)
    {
        return std::make_shared<http::ClientConnection>(this->thread.context().get_executor(), endpoint);
    }

    ConnectionPointer acquire(const http::Endpoint &endpoint)
    {
        std::vector<ConnectionPointer> &kept = this->keptConnections[endpoint];
        if (kept.empty()) {
            return this->makeConnection(endpoint);
        }
        ConnectionPointer connection = std::move(kept.back());
        kept.pop_back();
        return connection;
    }

    void keep(const http::Endpoint &endpoint, const ConnectionPointer &connection)
    {
        std::vector<ConnectionPointer> &kept = this->keptConnections[endpoint];
        if (!connection->isReusable() || kept.size() >= maxKeptConnections) {
            connection->cancel();
            return;
        }
        kept.push_back(connection);
        connection->watchIdle([this, endpoint, watched = connection.get()] {
            std::vector<ConnectionPointer> &left = this->keptConnections[endpoint];
            std::erase_if(left, [watched](const ConnectionPointer &each) { return each.get() == watched; });
            if (left.empty()) {
                this->keptConnections.erase(endpoint);
            }
        });
    }

    process::LoopThread thread;
    std::map<http::Endpoint, std::vector<ConnectionPointer>> keptConnections;
};

BackendClient::BackendClient()
    : parts(std::make_unique<Parts>())
{
}

BackendClient::~BackendClient() = default;

AbortAttempt BackendClient::start(const version::BackendServer &backend, const BackendCall &call, AnswerSink sink)
{
    return this->parts->start(backend, call, std::move(sink));
}

}
