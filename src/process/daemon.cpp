#include "process/daemon.h"

#include "connection/link_service.h"
#include "process/clock.h"
#include "process/core_loop.h"
#include "process/event_log.h"
#include "process/frontend.h"
#include "process/metrics.h"
#include "process/platform_http.h"
#include "process/status.h"

#include <chrono>
#include <future>
#include <thread>

namespace eelgrassnotch::process
{

namespace
{

constexpr auto drainCheckPeriod = std::chrono::milliseconds(50);
constexpr Duration goodbyeFlushTime = std::chrono::milliseconds(500);

/** Grows with every start, also on a VM that keeps nothing. */
std::uint64_t makeIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

DaemonIdentity identityOf(const Settings &settings, std::uint64_t incarnation)
{
    return {settings.name, settings.peers.address, settings.peers.port, handleOf<DataCentreHandle>(settings.dataCentre), incarnation};
}

}

class Daemon::Parts
{
public:
    explicit Parts(const Settings &daemonSettings)
        : settings(daemonSettings)
        , incarnation(makeIncarnation())
        , self(identityOf(this->settings, this->incarnation))
        , platform(this->settings.platform, [this](std::function<void()> task) { this->loop.post([task](Node &, Time) { task(); }); })
        , links(this->self, this->settings.linkKey, this->linkHooks())
        , frontend(this->settings, this->incarnation, this->metrics, this->frontendHooks())
    {
        NodeHooks hooks;
        hooks.store = &this->platform;
        hooks.log = [](const std::string &event, const LogFields &fields) { logEvent(event, fields); };
        auto node = std::make_unique<Node>(this->self, this->settings.seeds, hooks, readClock());
        this->loop.start(std::move(node), [this](Node &core, const Outbox &outbox) { this->handle(core, outbox); });
    }

    bool stop()
    {
        const Time until = readClock() + this->settings.stopTimeout;
        this->frontend.setReady(false);
        this->loop.post([](Node &node, Time now) { node.beginStop(now); });
        bool drained = false;
        while (!drained && readClock() < until) {
            std::this_thread::sleep_for(drainCheckPeriod);
            drained = this->ask([](Node &node) { return node.isDrained(); });
        }
        this->loop.post([](Node &node, Time) { node.announceLeave(); });
        this->loop.stop();
        this->links.stop(goodbyeFlushTime);
        this->frontend.stop();
        return drained;
    }

private:
    bool ask(std::function<bool(Node &)> question)
    {
        const auto answer = std::make_shared<std::promise<bool>>();
        this->loop.post([answer, question](Node &node, Time) { answer->set_value(question(node)); });
        return answer->get_future().get();
    }

    connection::LinkHooks linkHooks()
    {
        connection::LinkHooks hooks;
        hooks.received = [this](const DaemonIdentity &from, connection::wire::FrameT frame) {
            const auto shared = std::make_shared<connection::wire::FrameT>(std::move(frame));
            this->loop.post([from, shared](Node &node, Time now) { node.receive(from, *shared, now); });
        };
        hooks.up = [this](DaemonHandle peer) { this->loop.post([peer](Node &node, Time now) { node.onLinkUp(peer, now); }); };
        hooks.refused
            = [this](DaemonHandle peer) { this->loop.post([peer](Node &node, Time now) { node.onConnectionRefused(peer, now); }); };
        return hooks;
    }

    FrontendHooks frontendHooks()
    {
        FrontendHooks hooks;
        hooks.post = [this](CoreLoop::Command command) { this->loop.post(std::move(command)); };
        hooks.describeStatus = [](Node &node, Time now) { return process::describeStatus(node, now); };
        hooks.describeMetrics = [this](Node &node, Time) {
            this->metrics.update(node, this->links.stats(), this->platform.calls(), this->loop.processorTime());
            return this->metrics.serialize();
        };
        return hooks;
    }

    void handle(Node &node, const Outbox &outbox)
    {
        this->frontend.handle(outbox, node.configuration().get());
        for (const OutgoingFrame &outgoing : outbox.frames) {
            this->links.send(outgoing.to, outgoing.frame);
        }
        const bool isReady = node.membership().isSelfStarted() && node.configuration().version() > 0 && !node.isStopping();
        this->frontend.setReady(isReady);
    }

    const Settings settings;
    std::uint64_t incarnation;
    DaemonIdentity self;
    Metrics metrics;
    CoreLoop loop;
    PlatformHttp platform;
    connection::LinkService links;
    Frontend frontend;
};

Daemon::Daemon(const Settings &settings)
    : parts(std::make_unique<Parts>(settings))
{
}

Daemon::~Daemon() = default;

bool Daemon::stop()
{
    return this->parts->stop();
}

}
