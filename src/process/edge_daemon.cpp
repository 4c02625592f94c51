#include "process/edge_daemon.h"

#include "connection/http/listener.h"
#include "connection/one_shot_timer.h"
#include "process/budget/descriptor_budget.h"
#include "process/budget/memory_budget.h"
#include "process/clock.h"
#include "process/edge_knowledge.h"
#include "process/event_log.h"
#include "process/exchange/load_exchange.h"
#include "process/exchange/load_socket.h"
#include "process/handover/receiver.h"
#include "process/handover/sender.h"
#include "process/proxy/proxy.h"
#include "process/streams/stream_socket.h"
#include "process/timer_service.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>

#include <malloc.h>

namespace eelgrassnotch::process
{

namespace http = connection::http;

namespace
{

using namespace std::chrono_literals;

/** Period of the timer service. */
constexpr Duration tickPeriod = 100ms;
/** Period of load messages: a few in the time in which load changes by much. */
constexpr Duration exchangePeriod = 200ms;
constexpr Duration idleSweepPeriod = 1s;
constexpr Duration settingsCheckPeriod = 2s;
/** Period of the log lines of a busy daemon, and the lag of its timers from which on it counts as busy. */
constexpr Duration busyReportPeriod = 1s;
constexpr Duration busyLag = 25ms;
/** A daemon whose configuration is older than this part of the lifetime of keys is not ready: others can confirm them. */
constexpr double readyLifetimePart = 0.9;
/** After SIGTERM, idle connections stay open until callers have been sent elsewhere: two missed probes, a second apart, and a margin. */
constexpr Duration idleCloseAfterStop = 3s;
/** The process ends this long before it would be killed. */
constexpr Duration stopMargin = 300ms;
/** Before that, requests still in progress are answered, which leaves this time for the answers. */
constexpr Duration lastAnswersTime = 200ms;
constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusNotFound = 404;
/** Blocks of this size and more, in bytes, are mapped by themselves; the allocator would otherwise raise the size after the first free, and
 * large bodies that grow would leave holes in the heap. */
constexpr int mappedBlockBytes = 128 << 10;
/** Bounds on requests before a configuration is known, and on probes. */
constexpr std::uint32_t probeHeaderBytes = 16384;
constexpr std::uint64_t probeBodyBytes = 65536;

http::SessionLimits limitsOf(const version::CallerLimits &limits)
{
    return {limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout};
}

void answerText(const http::ServerSessionPtr &session, unsigned status, const std::string &text)
{
    http::Answer answer(static_cast<boost::beast::http::status>(status), 11);
    answer.set(boost::beast::http::field::content_type, "text/plain");
    answer.body() = text;
    session->sendAnswer(std::move(answer));
}

}

class EdgeDaemon::Parts
{
public:
    Parts(const EdgeSettings &edgeSettings, std::shared_ptr<const ProxyDialect> proxyDialect, ReadSettings settingsReader)
        : settings(edgeSettings)
        , dialect(std::move(proxyDialect))
        , readSettings(std::move(settingsReader))
        , proxy(this->context, this->settings, this->dialect, this->metrics)
        , signals(this->context, SIGTERM, SIGINT, SIGHUP)
        , tick(this->context.get_executor())
        , loadSocket(this->context, this->settings.ip, this->settings.loadPort,
                     [this](const exchange::Message &message, const std::string &from) { this->takeMessage(message, from, readClock()); })
        , exchange({handleOf<DaemonHandle>(this->settings.name), handleOf<DataCentreHandle>(this->settings.dataCentre), this->settings.ip},
                   [this](const exchange::Peer &to, const exchange::Message &message) { this->loadSocket.send(to, message); })
        , knowledge(this->context, this->settings, this->dialect, this->metrics, this->proxy, this->exchange)
        , memory(std::make_shared<budget::MemoryBudget>(budget::MemoryLimits::of(this->settings.memoryBytes)))
        , descriptors(budget::DescriptorBudget::of(this->settings.maxDescriptors))
        , callers(this->context, http::parseEndpoint(this->settings.callersAddress), this->callerHooks(), this->descriptors.callers)
        , handoverSender(this->context, {[this](http::AnswerWriter &session, const std::string &id, handover::HandoverFailure failure) {
                             this->proxy.answerHandoverFailure(session, id, failure);
                         }})
        , probes(this->context, http::parseEndpoint(this->settings.readyAddress), this->probeHooks(), this->descriptors.probes)
        , metricsListener(this->context, http::parseEndpoint(this->settings.metricsAddress), this->metricsHooks(), this->descriptors.probes)
    {
        this->proxy.answerBufferBudget().setMemoryBudget(this->memory);
    }

    void run()
    {
        this->startHandover();
        this->startStreams();
        if (::mallopt(M_MMAP_THRESHOLD, mappedBlockBytes) == 0) {
            logWarning("allocator_not_set", {{"mapped_block_bytes", std::to_string(mappedBlockBytes)}});
        }
        logEvent("started",
                 {{"data_centre", this->settings.dataCentre},
                  {"callers", this->settings.callersAddress},
                  {"store", this->settings.storeAddress}});
        this->subscribeTimers();
        this->waitForSignal();
        this->onTick();
        this->knowledge.start();
        this->context.run();
        logEvent("stopped", {{"requests_cut", std::to_string(this->callers.servingCount())}});
    }

    void requestStop()
    {
        boost::asio::post(this->context, [this] { this->beginStop("request"); });
    }

private:
    bool isReady(Time now)
    {
        return !this->proxy.isStopping() && this->knowledge.isComplete(now)
            && this->proxy.configurationAge(now) < std::chrono::duration_cast<Duration>(this->proxy.keyLifetime() * readyLifetimePart)
            && !this->proxy.isOverloaded(now);
    }

    http::SessionHooks callerHooks()
    {
        http::SessionHooks hooks;
        hooks.limits = [this] {
            const auto table = this->proxy.routeTable();
            return limitsOf(table ? table->limits() : version::CallerLimits());
        };
        hooks.onRequest = [this](const http::ServerSessionPtr &session, http::Request request) {
            this->proxy.handle(session, std::move(request), readClock());
        };
        hooks.onRejected = [this](unsigned status, const std::string &reason) {
            this->metrics.countAnswer("", status);
            logEvent("request_rejected", {{"status", std::to_string(status)}, {"reason", reason}});
        };
        hooks.isClosing = [this] { return this->proxy.isStopping() || this->proxy.isOverloaded(readClock()); };
        hooks.workspaceOf = [this](const http::Request &request) { return this->workspaceOf(request); };
        this->addBudget(hooks, "callers");
        return hooks;
    }

    void startHandover()
    {
        if (this->settings.handoverPort == 0) {
            return;
        }
        handover::ReceiverHooks hooks;
        hooks.onRequest = [this](const http::AnswerWriterPtr &answer, http::Request request, Time readAt) {
            this->proxy.handle(answer, std::move(request), readAt);
        };
        hooks.mayServe = [this] { return this->isReady(readClock()); };
        hooks.configurationVersion = [this] {
            const auto table = this->proxy.routeTable();
            return table ? table->version() : 0;
        };
        const http::Endpoint address(boost::asio::ip::make_address(this->settings.ip), this->settings.handoverPort);
        try {
            this->handoverReceiver = std::make_unique<handover::Receiver>(this->context, address, std::move(hooks));
        } catch (const boost::system::system_error &error) {
            // The daemon serves its own callers all the same.
            logWarning("handover_not_served", {{"port", std::to_string(this->settings.handoverPort)}, {"cause", error.what()}});
        }
        this->proxy.setHandover(&this->handoverSender);
        this->knowledge.setNeighboursHook([this](const std::vector<std::string> &addresses) {
            std::vector<http::Endpoint> endpoints;
            endpoints.reserve(addresses.size());
            for (const std::string &neighbour : addresses) {
                endpoints.emplace_back(boost::asio::ip::make_address(neighbour), this->settings.handoverPort);
            }
            this->handoverSender.setNeighbours(std::move(endpoints));
        });
    }

    void startStreams()
    {
        if (this->settings.streamsPort == 0) {
            return;
        }
        try {
            this->streamSocket
                = std::make_unique<streams::StreamSocket>(this->context, this->settings.ip, this->settings.streamsPort,
                                                          [this](const streams::StreamMessage &message, const std::string &from) {
                                                              this->proxy.streamVersions().receive(message, from, readClock());
                                                          });
        } catch (const boost::system::system_error &error) {
            // Streams that this daemon has begun itself can still be taken up here.
            logWarning("streams_not_told", {{"port", std::to_string(this->settings.streamsPort)}, {"cause", error.what()}});
            return;
        }
        this->proxy.setStreamSender(
            [this](const std::string &to, const streams::StreamMessage &message) { this->streamSocket->send(to, message); });
        this->knowledge.setPeersHook([this](const std::vector<exchange::Peer> &others) {
            std::vector<streams::Keeper> keepers;
            keepers.reserve(others.size());
            for (const exchange::Peer &peer : others) {
                keepers.push_back({peer.daemon, peer.dataCentre, peer.address});
            }
            this->proxy.streamVersions().setDaemons(keepers);
        });
    }

    /** Lets connections count in the budget of the process, and logs those that it closes: one line for all of one look. */
    void addBudget(http::SessionHooks &hooks, const char *listener)
    {
        hooks.memory = this->memory;
        hooks.onClosedEarly = [this, listener](const char *cause, std::size_t connections, std::size_t heldBytes) {
            this->metrics.countClosedConnections(cause, connections);
            logEvent("connections_closed",
                     {{"listener", listener},
                      {"cause", cause},
                      {"connections", std::to_string(connections)},
                      {"their_bytes", std::to_string(heldBytes)},
                      {"held_bytes", std::to_string(this->memory->stats().heldBytes)},
                      {"capacity_bytes", std::to_string(this->memory->limits().capacity)}});
        };
    }

    /** The workspace whose key a request carries; invalid where no workspace holds it. */
    WorkspaceHandle workspaceOf(const http::Request &request) const
    {
        const auto table = this->proxy.routeTable();
        const version::RoutedWorkspace *workspace = table ? table->workspaceOf(this->dialect->readRequest(request).apiKey) : nullptr;
        return workspace == nullptr ? WorkspaceHandle() : handleOf<WorkspaceHandle>(workspace->name);
    }

    http::SessionHooks plainHooks(const char *listener)
    {
        http::SessionHooks hooks;
        this->addBudget(hooks, listener);
        hooks.limits = [] {
            const version::CallerLimits limits;
            return http::SessionLimits {probeHeaderBytes, probeBodyBytes, limits.headerTimeout, limits.idleTimeout};
        };
        hooks.onRejected = [](unsigned status, const std::string &reason) {
            logEvent("probe_rejected", {{"status", std::to_string(status)}, {"reason", reason}});
        };
        hooks.isClosing = [] { return false; };
        return hooks;
    }

    http::SessionHooks probeHooks()
    {
        http::SessionHooks hooks = this->plainHooks("probes");
        // Clients that pipeline probes without reading would keep the places of a full listener, since they make progress.
        hooks.isClosing = [this] { return this->probes.isCrowded(); };
        hooks.onRequest = [this](const http::ServerSessionPtr &session, const http::Request &request) {
            if (!this->dialect->isReadinessProbe(request)) {
                answerText(session, statusNotFound, "not found\n");
                return;
            }
            const bool ready = this->isReady(readClock());
            if (ready != this->wasReady) {
                this->wasReady = ready;
                logEvent("readiness_changed", {{"ready", ready ? "true" : "false"}});
            }
            answerText(session, ready ? statusOk : statusUnavailable, ready ? "ready\n" : "not ready\n");
        };
        return hooks;
    }

    http::SessionHooks metricsHooks()
    {
        http::SessionHooks hooks = this->plainHooks("metrics");
        hooks.onRequest = [this](const http::ServerSessionPtr &session, const http::Request &) {
            const auto table = this->proxy.routeTable();
            this->metrics.setConnections(this->callers.connectionCount());
            this->metrics.setConfiguration(table ? table->version() : 0, this->proxy.configurationAge(readClock()));
            this->metrics.setBackendLimits(this->proxy.limitStats(readClock()));
            this->metrics.setRollouts(this->proxy.rollouts().reports());
            this->metrics.setRetryBudgets(this->proxy.retryBudgetStats());
            this->metrics.setDroppedLogLines(droppedLogLines());
            this->metrics.setState("held_bytes", static_cast<double>(this->memory->stats().heldBytes));
            this->metrics.setState("held_bytes_peak", static_cast<double>(this->memory->stats().peakBytes));
            this->metrics.setState("held_bytes_capacity", static_cast<double>(this->memory->limits().capacity));
            this->metrics.setState("memory_refusals", static_cast<double>(this->memory->stats().refusals));
            this->metrics.setState("caller_connections_limit", static_cast<double>(this->descriptors.callers));
            answerText(session, statusOk, this->metrics.serialize());
        };
        return hooks;
    }

    void subscribeTimers()
    {
        this->subscriptions.push_back(
            this->timers.subscribe([] { return tickPeriod; }, [this](Time now) { this->proxy.backends().expireUnconfirmed(now); }));
        this->subscriptions.push_back(this->timers.subscribe([] { return tickPeriod; }, [](Time) { flushLog(); }));
        this->subscriptions.push_back(
            this->timers.subscribe([] { return tickPeriod; }, [this](Time now) { this->proxy.streamVersions().tick(now); }));
        this->subscriptions.push_back(this->timers.subscribe([] { return tickPeriod; }, [this](Time now) { this->continueStop(now); }));
        this->subscriptions.push_back(this->timers.subscribe(
            [] { return tickPeriod; }, [this](Time now) { this->proxy.updateLoadFromOthers(this->exchange.loadOfOthers(now), now); }));
        this->subscriptions.push_back(this->timers.subscribe([] { return tickPeriod; }, [this](Time now) { this->knowledge.tick(now); }));
        this->subscriptions.push_back(this->timers.subscribe([] { return tickPeriod; },
                                                             [this](Time now) {
                                                                 this->handoverSender.tick(this->proxy.timerLag(),
                                                                                           this->proxy.acceptedFraction(), now);
                                                                 if (this->handoverReceiver) {
                                                                     this->handoverReceiver->tick(this->proxy.timerLag());
                                                                 }
                                                             }));
        this->subscriptions.push_back(this->timers.subscribe([] { return exchangePeriod; },
                                                             [this](Time now) {
                                                                 this->exchange.setEvidence(this->proxy.quarantine().evidence(now));
                                                                 this->exchange.setLimits(this->proxy.limitStatements(now));
                                                                 this->exchange.tick(this->proxy.ownLoad(now), now);
                                                             }));
        this->subscriptions.push_back(
            this->timers.subscribe([] { return tickPeriod; }, [this](Time now) { this->proxy.quarantine().update(now); }));
        this->subscriptions.push_back(this->timers.subscribe([] { return idleSweepPeriod; },
                                                             [this](Time now) {
                                                                 this->callers.connectionCount();
                                                                 this->proxy.backends().forEach(
                                                                     [now](const directory::BackendServerPtr &backend) {
                                                                         proxy::BackendConnectionPool::closeIdle(backend, now);
                                                                     });
                                                             }));
        this->subscriptions.push_back(this->timers.subscribe([] { return busyReportPeriod; }, [this](Time) { this->reportIfBusy(); }));
        this->subscriptions.push_back(this->timers.subscribe([] { return settingsCheckPeriod; }, [this](Time) { this->reloadSettings(); }));
    }

    void onTick()
    {
        const Time now = readClock();
        if (this->nextTick > Time(0)) {
            this->proxy.recordTimerLag(std::max(now - this->nextTick, Duration(0)), now);
        }
        this->timers.advance(now);
        this->nextTick = now + tickPeriod;
        this->tick.start(tickPeriod, [this] { this->onTick(); });
    }

    void takeMessage(const exchange::Message &message, const std::string &from, Time now)
    {
        this->proxy.quarantine().merge(message.evidence, now);
        this->proxy.mergeLimits(message.limits, now);
        this->exchange.receive(message, from, now);
    }

    /** Logs how many requests and connections keep a busy daemon busy. */
    void reportIfBusy()
    {
        const proxy::RequestTotals totals = this->proxy.totals();
        const std::uint64_t accepted = this->callers.acceptedCount();
        const auto lagMs = std::chrono::duration_cast<std::chrono::milliseconds>(this->proxy.timerLag()).count();
        if (this->proxy.timerLag() >= busyLag || this->proxy.acceptedFraction() < 1) {
            logEvent("daemon_busy",
                     {{"lag_ms", std::to_string(lagMs)},
                      {"received", std::to_string(totals.received - this->reported.totals.received)},
                      {"shed", std::to_string(totals.shed - this->reported.totals.shed)},
                      {"accepted_fraction", std::to_string(this->proxy.acceptedFraction())},
                      {"accepted_connections", std::to_string(accepted - this->reported.acceptedConnections)},
                      {"connections", std::to_string(this->callers.connectionCount())},
                      {"serving", std::to_string(this->callers.servingCount())},
                      {"handed_over", std::to_string(this->handoverSender.stats().handedOver - this->reported.handover.handedOver)},
                      {"handover_declined", std::to_string(this->handoverSender.stats().declined - this->reported.handover.declined)},
                      {"handover_lost", std::to_string(this->handoverSender.stats().lost - this->reported.handover.lost)},
                      {"no_neighbour", std::to_string(this->handoverSender.stats().noRoom - this->reported.handover.noRoom)}});
        }
        this->reported = {totals, accepted, this->handoverSender.stats()};
    }

    void waitForSignal()
    {
        this->signals.async_wait([this](boost::system::error_code error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                this->reloadSettings();
            } else {
                this->beginStop("signal " + std::to_string(signal));
            }
            this->waitForSignal();
        });
    }

    void beginStop(const std::string &cause)
    {
        if (this->proxy.isStopping()) {
            return;
        }
        logEvent("stop_requested", {{"cause", cause}, {"serving", std::to_string(this->callers.servingCount())}});
        this->proxy.setStopping(readClock());
        this->knowledge.withdraw();
    }

    void reloadSettings()
    {
        try {
            const EdgeSettings read = this->readSettings();
            if (read == this->settings) {
                return;
            }
            this->settings = read;
            this->proxy.setSettings(read, readClock());
            logEvent("settings_reloaded", {{"data_centre", read.dataCentre}});
        } catch (const std::exception &error) {
            logWarning("settings_not_reloaded", {{"cause", error.what()}});
        }
    }

    void continueStop(Time now)
    {
        if (!this->proxy.isStopping()) {
            return;
        }
        const Duration since = this->proxy.timeSinceStop(now);
        const bool isGraceOver = since >= this->settings.bounds.stopGrace - stopMargin;
        if (since >= this->settings.bounds.stopGrace - stopMargin - lastAnswersTime) {
            this->proxy.endRequests();
            this->handoverSender.endRequests();
        }
        if (since >= idleCloseAfterStop) {
            this->callers.closeIdle();
        }
        const bool isServing = this->callers.connectionCount() > 0 || (this->handoverReceiver && this->handoverReceiver->inProgress() > 0);
        if (isGraceOver || (since >= idleCloseAfterStop && !isServing)) {
            this->context.stop();
        }
    }

    /** Counts at the last report of a busy daemon. */
    struct Reported {
        proxy::RequestTotals totals;
        std::uint64_t acceptedConnections = 0;
        handover::SenderStats handover;

        bool operator==(const Reported &) const = default;
    };

    EdgeSettings settings;
    std::shared_ptr<const ProxyDialect> dialect;
    ReadSettings readSettings;
    boost::asio::io_context context {1};
    proxy::ProxyMetrics metrics;
    proxy::Proxy proxy;
    boost::asio::signal_set signals;
    connection::OneShotTimer tick;
    Time nextTick {0};
    TimerService timers;
    std::vector<TimerService::Subscription> subscriptions;
    exchange::LoadSocket loadSocket;
    exchange::LoadExchange exchange;
    EdgeKnowledge knowledge;
    budget::MemoryBudgetPtr memory;
    budget::DescriptorBudget descriptors;
    http::Listener callers;
    handover::Sender handoverSender;
    std::unique_ptr<handover::Receiver> handoverReceiver; ///< Null where the settings name no port for it.
    std::unique_ptr<streams::StreamSocket> streamSocket; ///< Null where the settings name no port for it.
    http::Listener probes;
    http::Listener metricsListener;
    Reported reported;
    bool wasReady = false;
};

EdgeDaemon::EdgeDaemon(const EdgeSettings &settings, std::shared_ptr<const ProxyDialect> dialect, ReadSettings readSettings)
    : parts(std::make_unique<Parts>(settings, std::move(dialect), std::move(readSettings)))
{
}

EdgeDaemon::~EdgeDaemon() = default;

void EdgeDaemon::requestStop()
{
    this->parts->requestStop();
}

void EdgeDaemon::run()
{
    this->parts->run();
}

}
