#pragma once

/** @file The HTTP side of a daemon: callers and operators. */

#include "connection/caller.h"
#include "process/core_loop.h"
#include "process/metrics.h"
#include "process/published.h"
#include "process/settings.h"
#include "version/configuration.h"

#include <cpprest/http_listener.h>

#include <atomic>
#include <functional>
#include <memory>
#include <unordered_map>

namespace eelgrassnotch::process
{

/** @brief What the frontend needs from the daemon. */
struct FrontendHooks {
    std::function<void(CoreLoop::Command command)> post;
    std::function<std::string(Node &node, Time now)> describeStatus; ///< Called on the core's thread.
    std::function<std::string(Node &node, Time now)> describeMetrics; ///< Called on the core's thread.
};

/**
 * @brief Takes requests of callers, passes them to the core, and brings the answers back.
 * @remarks Requests are checked against the published configuration without a lock.
 */
class Frontend
{
public:
    Frontend(const Settings &settings, std::uint64_t incarnation, Metrics &metrics, FrontendHooks hooks);
    ~Frontend();
    Frontend(const Frontend &) = delete;
    Frontend &operator=(const Frontend &) = delete;

    /** @brief Publishes a configuration to the request path. */
    void publish(const version::ConfigurationPointer &configuration);
    /** @brief Says on the readiness endpoint whether requests are welcome. */
    void setReady(bool isReady);
    /** @brief Carries out what the core decided; on the core's thread. */
    void handle(const Outbox &outbox, const version::ConfigurationPointer &configuration);
    /** @brief Closes the listeners. */
    void stop();

private:
    void onRequest(const web::http::http_request &request);
    void admit(const web::http::http_request &request);
    void readBody(web::http::http_request request, const connection::CallerPointer &caller);
    void submit(const connection::CallerPointer &caller);
    void refuseEarly(const connection::CallerPointer &caller, RefusalReason reason, const std::string &detail);
    bool fillFromHeaders(const web::http::http_request &request, const connection::CallerPointer &caller);
    void start(const StartAttempt &order, const version::ConfigurationPointer &configuration);
    void onOperatorRequest(const web::http::http_request &request);
    bool isAuthorized(const web::http::http_request &request) const;

    const Settings settings;
    std::string idPrefix;
    Metrics &metrics;
    FrontendHooks hooks;
    Published<version::ConfigurationPointer> published;
    std::atomic<bool> ready {false};
    std::atomic<std::uint64_t> requestCount {0};
    request::BackendClient backends;
    std::unordered_map<std::uint64_t, connection::CallerPointer> callers; ///< Owned by the core's thread.
    web::http::experimental::listener::http_listener callerListener;
    web::http::experimental::listener::http_listener operatorListener;
};

}
