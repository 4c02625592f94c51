#include "process/frontend.h"

#include "eelgrassnotch/config.h"
#include "process/clock.h"
#include "process/event_log.h"

#include <openssl/sha.h>

#include <charconv>

namespace eelgrassnotch::process
{

using connection::Caller;
using connection::CallerPointer;
using web::http::http_request;
using web::http::status_codes;

namespace
{

web::uri listenUri(const Endpoint &endpoint)
{
    return web::uri("http://" + endpoint.address + ":" + std::to_string(endpoint.port));
}

std::string header(const http_request &request, const char *name)
{
    const auto found = request.headers().find(name);
    return found == request.headers().end() ? std::string() : found->second;
}

/** @returns nothing for an absent header; throws nothing, an unreadable number gives no value. */
std::optional<std::uint32_t> numberHeader(const http_request &request, const char *name, std::uint32_t fallback)
{
    const std::string text = header(request, name);
    if (text.empty()) {
        return fallback;
    }
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    return whole ? std::optional(value) : std::nullopt;
}

std::string sha256(const std::string &text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (const unsigned char byte : digest) {
        hex += digits[byte >> 4];
        hex += digits[byte & 0xf];
    }
    return hex;
}

void ignoreFailure(const pplx::task<void> &task)
{
    try {
        task.get();
    } catch (const std::exception &) {
        return; // The other side went away.
    }
}

}

Frontend::Frontend(const Settings &settings, std::uint64_t incarnation, Metrics &metrics, FrontendHooks hooks)
    : settings(settings)
    , idPrefix(settings.name + "-" + std::to_string(incarnation) + "-")
    , metrics(metrics)
    , hooks(std::move(hooks))
    , callerListener(listenUri(settings.callers))
    , operatorListener(listenUri(settings.operators))
{
    this->callerListener.support([this](const http_request &request) { this->onRequest(request); });
    this->operatorListener.support([this](const http_request &request) { this->onOperatorRequest(request); });
    this->callerListener.open().wait();
    this->operatorListener.open().wait();
}

Frontend::~Frontend() = default;

void Frontend::stop()
{
    this->callerListener.close().wait();
    this->operatorListener.close().wait();
}

void Frontend::publish(const version::ConfigurationPointer &configuration)
{
    this->published.publish(std::make_unique<version::ConfigurationPointer>(configuration));
}

void Frontend::setReady(bool isReady)
{
    this->ready = isReady;
}

void Frontend::onRequest(const http_request &request)
{
    const std::string path = request.relative_uri().path();
    if (path == "/healthz") {
        request.reply(status_codes::OK, "alive\n").then(ignoreFailure);
        return;
    }
    if (path == "/readyz") {
        const bool isReady = this->ready;
        request.reply(isReady ? status_codes::OK : status_codes::ServiceUnavailable, isReady ? "ready\n" : "not ready\n")
            .then(ignoreFailure);
        return;
    }
    this->admit(request);
}

void Frontend::admit(const http_request &request)
{
    const auto caller = std::make_shared<Caller>(request);
    caller->setRequestId(this->idPrefix + std::to_string(++this->requestCount));
    if (!this->fillFromHeaders(request, caller)) {
        return;
    }
    struct Lookup {
        bool configured = false;
        bool workspace = false;
        bool service = false;
        bool idempotent = true;
        bool streamed = false;
    };
    const Lookup lookup = this->published.read([&](const version::ConfigurationPointer *current) {
        if (current == nullptr) {
            return Lookup {};
        }
        const version::Configuration &configuration = **current;
        const auto service = configuration.services.find(caller->info.service);
        const bool known = service != configuration.services.end();
        const bool isEngine = known && service->second.kind == version::ServiceKind::Engine;
        const bool idempotent = !known || service->second.isIdempotent(caller->call.path);
        return Lookup {true, configuration.workspaces.contains(caller->info.workspace), known, idempotent, isEngine};
    });
    if (!lookup.configured) {
        this->refuseEarly(caller, RefusalReason::NoConfiguration, "no configuration has arrived yet");
    } else if (!lookup.workspace) {
        this->refuseEarly(caller, RefusalReason::UnknownWorkspace, "the workspace is not declared");
    } else if (!lookup.service) {
        this->refuseEarly(caller, RefusalReason::UnknownService, "the service is not declared");
    } else {
        caller->info.idempotent = lookup.idempotent;
        caller->call.idempotent = lookup.idempotent;
        caller->call.streamed = lookup.streamed;
        this->readBody(request, caller);
    }
}

bool Frontend::fillFromHeaders(const http_request &request, const CallerPointer &caller)
{
    const auto defaultDeadlineMs
        = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(config::defaultDeadline).count());
    const std::optional<std::uint32_t> deadline = numberHeader(request, connection::headers::deadline, defaultDeadlineMs);
    const std::optional<std::uint32_t> costHint = numberHeader(request, connection::headers::costHint, 0);
    const std::string workspace = header(request, connection::headers::workspace);
    const std::string service = header(request, connection::headers::service);
    const std::string key = header(request, connection::headers::idempotencyKey);
    const bool tooLong
        = workspace.size() > config::maxHeaderBytes || service.size() > config::maxHeaderBytes || key.size() > config::maxHeaderBytes;
    if (!deadline || *deadline == 0 || !costHint || tooLong) {
        this->refuseEarly(caller, RefusalReason::BadRequest, "a header is not well formed or too long");
        return false;
    }
    const Duration allowed = std::min<Duration>(std::chrono::milliseconds(*deadline), config::maxDeadline);
    caller->info.workspace = handleOf<WorkspaceHandle>(workspace);
    caller->info.service = handleOf<ServiceHandle>(service);
    caller->info.costHint = std::min(*costHint, config::maxCost);
    caller->info.deadline = readClock() + allowed;
    caller->call.method = request.method();
    caller->call.path = request.relative_uri().to_string();
    caller->call.contentType = request.headers().content_type();
    caller->call.idempotencyKey = key;
    if (!key.empty()) {
        caller->info.claimName = sha256(workspace + "\n" + service + "\n" + key);
    }
    if (request.headers().content_length() > config::maxRequestBytes) {
        this->refuseEarly(caller, RefusalReason::BodyTooLarge, "the body is too large");
        return false;
    }
    return true;
}

void Frontend::readBody(http_request request, const CallerPointer &caller)
{
    request.extract_vector().then([this, caller](const pplx::task<std::vector<unsigned char>> &task) {
        try {
            caller->call.body = task.get();
        } catch (const std::exception &) {
            this->refuseEarly(caller, RefusalReason::BadRequest, "the body did not arrive");
            return;
        }
        if (caller->call.body.size() > config::maxRequestBytes) {
            this->refuseEarly(caller, RefusalReason::BodyTooLarge, "the body is too large");
            return;
        }
        this->submit(caller);
    });
}

void Frontend::submit(const CallerPointer &caller)
{
    if (caller->info.idempotent) {
        caller->info.claimName.clear();
    }
    if (!caller->info.claimName.empty()) {
        const std::string body(caller->call.body.begin(), caller->call.body.end());
        caller->info.fingerprint = sha256(caller->call.method + "\n" + caller->call.path + "\n" + body);
    }
    this->hooks.post([this, caller](Node &node, Time now) {
        const std::uint64_t id = node.submit(caller->info, now);
        this->callers[id] = caller;
    });
}

void Frontend::refuseEarly(const CallerPointer &caller, RefusalReason reason, const std::string &detail)
{
    this->metrics.countEarlyRefusal(reason);
    const bool mayHelp = reason == RefusalReason::NoConfiguration;
    caller->refuse({reason, Verdict::NotRun, mayHelp ? config::minRetryAfter : Duration {0}, detail});
}

void Frontend::handle(const Outbox &outbox, const version::ConfigurationPointer &configuration)
{
    if (outbox.newConfiguration) {
        this->publish(outbox.newConfiguration);
    }
    for (const StartAttempt &order : outbox.starts) {
        this->start(order, configuration);
    }
    for (const RefuseRequest &refused : outbox.refusals) {
        const auto entry = this->callers.extract(refused.request);
        if (entry.empty()) {
            continue;
        }
        logEvent("request_refused",
                 {{"request", entry.mapped()->requestId()},
                  {"reason", std::string(nameOf(refused.refusal.reason))},
                  {"verdict", std::string(nameOf(refused.refusal.verdict))}});
        entry.mapped()->refuse(refused.refusal);
        if (entry.mapped()->abort) {
            entry.mapped()->abort();
        }
    }
    for (const ReplayRequest &replay : outbox.replays) {
        const auto entry = this->callers.extract(replay.request);
        if (!entry.empty()) {
            const std::string &body = replay.answer.body;
            entry.mapped()->answer(replay.answer.status, "application/json", {body.begin(), body.end()}, true);
        }
    }
}

void Frontend::start(const StartAttempt &order, const version::ConfigurationPointer &configuration)
{
    const auto ended = [this, id = order.request](const request::AttemptOutcome &outcome) {
        this->hooks.post([this, id, outcome](Node &node, Time now) {
            const bool answered
                = outcome.result == request::AttemptResult::Completed || outcome.result == request::AttemptResult::BackendError;
            if (answered) {
                this->callers.erase(id);
            }
            node.onAttemptEnded(id, outcome, now);
        });
    };
    const auto found = this->callers.find(order.request);
    const auto service = configuration->services.find(order.service);
    const bool known = found != this->callers.end() && service != configuration->services.end()
        && service->second.backendServers.contains(order.backend);
    if (!known) {
        request::AttemptOutcome outcome;
        outcome.result = request::AttemptResult::NeverStarted;
        outcome.verdict = Verdict::NotRun;
        ended(outcome);
        return;
    }
    const CallerPointer caller = found->second;
    request::AnswerSink sink;
    sink.onAnswer = [caller](int status, const std::string &contentType, const std::vector<unsigned char> &body) {
        caller->answer(status, contentType, body, false);
    };
    sink.onEvent = [caller](const std::string &text) { return caller->sendEvent(text); };
    sink.onEnd = [caller, ended](const request::AttemptOutcome &outcome) {
        if (outcome.result == request::AttemptResult::Completed) {
            caller->finishStream();
        }
        ended(outcome);
    };
    caller->abort = this->backends.start(service->second.backendServers.at(order.backend), caller->call, std::move(sink));
}

bool Frontend::isAuthorized(const http_request &request) const
{
    if (this->settings.operatorKey.empty()) {
        return true;
    }
    return connection::equalInConstantTime(header(request, "Authorization"), "Bearer " + this->settings.operatorKey);
}

void Frontend::onOperatorRequest(const http_request &request)
{
    const std::string path = request.relative_uri().path();
    if (!this->isAuthorized(request)) {
        this->metrics.countUnauthorized();
        request.reply(status_codes::Unauthorized, "operator key is missing or wrong\n").then(ignoreFailure);
        return;
    }
    const auto describe = path == "/status" ? this->hooks.describeStatus : path == "/metrics" ? this->hooks.describeMetrics : nullptr;
    if (!describe) {
        request.reply(status_codes::NotFound, "known are /status and /metrics\n").then(ignoreFailure);
        return;
    }
    const std::string contentType = path == "/status" ? "application/json" : "text/plain; version=0.0.4";
    this->hooks.post([request, describe, contentType](Node &node, Time now) {
        request.reply(status_codes::OK, describe(node, now), contentType).then(ignoreFailure);
    });
}

}
