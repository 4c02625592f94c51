/** @file Requests that a daemon refuses before it looks for a backend server: they count as demand, and are refused at once. */

#include "connection/http/listener.h"
#include "platform/dialect.h"
#include "process/clock.h"
#include "process/proxy/proxy.h"
#include "process/proxy/proxy_metrics.h"
#include "proxy/daemon_fixture.h"

#include <doctest/doctest.h>

#include <cmath>
#include <functional>
#include <thread>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process;
using namespace std::chrono_literals;

namespace
{

constexpr int requests = 40;
constexpr double promptTokens = 1000;
/** Of the demand that daemons report. */
constexpr Duration rateHalfLife = 1400ms;

/** A proxy between callers and no backend servers. */
class ProxyWithoutBackends
{
public:
    /** @param prepare Called with the proxy before it serves requests. */
    explicit ProxyWithoutBackends(const std::function<void(proxy::Proxy &)> &prepare)
        : address("127.0.0.1:" + std::to_string(standin::findFreePort()))
        , dialect(std::make_shared<const platform::Dialect>())
        , proxy(this->context, EdgeSettings(), this->dialect, this->metrics)
        , listener(this->context, connection::http::parseEndpoint(this->address), this->hooks(), requests)
    {
        nlohmann::json configuration = standin::makeConfiguration(1);
        configuration["services"][0]["engine"] = {{"slots", 8}, {"kv_capacity", 100000}};
        this->proxy.setRouteTable(
            std::make_shared<const version::RouteTable>(this->dialect->readConfiguration({"main", 1, configuration})));
        this->proxy.confirmConfiguration(readClock());
        prepare(this->proxy);
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~ProxyWithoutBackends()
    {
        this->stop();
    }

    void stop()
    {
        this->context.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    /** @returns the demand that the proxy reports, cost per second; only after stop(). */
    double demand() const
    {
        const auto loads = this->proxy.ownLoad(readClock()).workspaces;
        return loads.empty() ? 0 : loads.front().demand;
    }

    const std::string address;

private:
    connection::http::SessionHooks hooks()
    {
        connection::http::SessionHooks sessionHooks;
        sessionHooks.limits = [] { return connection::http::SessionLimits {16384, 65536, 3s, 15s}; };
        sessionHooks.onRequest = [this](const connection::http::ServerSessionPtr &session, connection::http::Request request) {
            this->proxy.handle(session, std::move(request), process::readClock());
        };
        sessionHooks.onRejected = [](unsigned, const std::string &) {};
        sessionHooks.isClosing = [] { return false; };
        return sessionHooks;
    }

    boost::asio::io_context context;
    proxy::ProxyMetrics metrics;
    std::shared_ptr<const platform::Dialect> dialect;
    proxy::Proxy proxy;
    connection::http::Listener listener;
    std::thread thread;
};

/** Repeats a late timer until the proxy accepts as little as it ever does. */
void makeOverloaded(proxy::Proxy &proxy)
{
    constexpr int updates = 20;
    constexpr std::uint32_t others = 10;
    exchange::LoadSummary load;
    load.daemons = others;
    load.workspaces = {{1, 1, 1}};
    const Time past = readClock() - 60s;
    proxy.shares().recordDemand(handleOf<WorkspaceHandle>("busy"), 1e6, past);
    for (int update = 0; update < updates; ++update) {
        proxy.recordTimerLag(1s, past);
        proxy.updateLoadFromOthers(load, past);
    }
}

/** Uses up the pace of the callers' workspace for a long time. */
void useUpPace(proxy::Proxy &proxy)
{
    const Time now = readClock();
    const auto workspace = handleOf<WorkspaceHandle>("w1");
    proxy.pacer().setRates({{workspace, 1.0}}, 1.0, now);
    proxy.pacer().recordAdmitted(workspace, 1e6, now);
}

}

TEST_CASE("requests that an overloaded daemon sheds count as demand of their workspace")
{
    ProxyWithoutBackends world(makeOverloaded);
    int shed = 0;
    const std::string usage = "X-Eelgrassnotch-Token-Usage: " + std::to_string(static_cast<int>(promptTokens)) + ",0\r\n";
    const Time begin = readClock();
    for (int index = 0; index < requests; ++index) {
        const std::string text = standin::DaemonFixture::requestText("/stream/x", "q" + std::to_string(index), usage);
        const auto answer = standin::DaemonFixture::sendRawRequest(world.address, text);
        shed += answer.body().starts_with("daemon_overloaded") ? 1 : 0;
    }
    world.stop();
    REQUIRE(shed > requests / 2);
    const Duration elapsed = readClock() - begin;
    const double remaining = std::exp2(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(rateHalfLife));
    const double meanLife = std::chrono::duration<double>(rateHalfLife).count() / std::log(2.0);
    CHECK(world.demand() * meanLife >= 0.99 * remaining * requests * promptTokens);
}

// Guards against placing each request of a flood among all backend servers before it is refused.
TEST_CASE("a request beyond its workspace's pace is refused before a backend server is looked for")
{
    ProxyWithoutBackends world(useUpPace);
    const Time begin = readClock();
    const auto answer = standin::DaemonFixture::sendRawRequest(world.address, standin::DaemonFixture::requestText("/stream/x", "q1"));
    // Requests of this route wait 500 ms for a backend server.
    CHECK(readClock() - begin < 400ms);
    CHECK(answer.result_int() == 503);
    CHECK(answer.body().find("exceeded pace") != std::string::npos);
    CHECK(std::stod(std::string(answer["Retry-After"])) >= 1.0);
}

// Guards against a sound part that stays quarantined as its workspace is beyond its share, so that each trial is refused.
TEST_CASE("a trial of quarantined parts is sent although its workspace is beyond its pace")
{
    ProxyWithoutBackends world([](proxy::Proxy &proxy) {
        useUpPace(proxy);
        const Time now = readClock();
        for (std::uint32_t loss = 1; loss <= 3; ++loss) {
            proxy.quarantine().recordLoss(loss, {100, 10, {{1, 50}, {0xdead, 30}, {loss, 20}}}, now - loss * 1s);
        }
        proxy.quarantine().update(now);
        REQUIRE(proxy.quarantine().quarantinedPart({100, 10, {{1, 50}, {0x50a, 30}}}));
    });
    const std::string prefix = "X-Eelgrassnotch-Token-Usage: 100,10\r\nX-Eelgrassnotch-Prefix-Hash: 1:50,50a:30,1001:20\r\n";
    const auto answer
        = standin::DaemonFixture::sendRawRequest(world.address, standin::DaemonFixture::requestText("/stream/x", "q1", prefix));
    CHECK(answer.body().starts_with("no_backend"));
}
