#include "process/edge_daemon.h"

#include "connection/http/listener.h"
#include "process/clock.h"
#include "process/event_log.h"
#include "process/exchange/load_exchange.h"
#include "process/exchange/load_socket.h"
#include "process/proxy/proxy.h"
#include "process/store/object_writer.h"
#include "process/timer_service.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace eelgrassnotch::process
{

namespace http = connection::http;
using store::Collection;

namespace
{

using namespace std::chrono_literals;

/** Part of the time in which a revoked key must be refused for which the configuration's watch may wait: what is known is up to two waits
 * old. */
constexpr double configurationWaitPart = 0.42;
constexpr Duration configurationPause = 20ms;
/** The waits bound the time after which a watch that has gone silent is noticed; changes of a moment come in one answer. */
constexpr store::WatchPace backendsPace {3s, 400ms};
constexpr store::WatchPace takenOutPace {3s, 200ms};
/** Bounds that daemons share allow for lists that are some seconds old. */
constexpr store::WatchPace daemonsPace {0ms, 3s};
/** Period of the timer service. */
constexpr Duration tickPeriod = 100ms;
/** Period of load messages: a few in the time in which load changes by much. */
constexpr Duration exchangePeriod = 200ms;
constexpr Duration idleSweepPeriod = 1s;
constexpr Duration settingsCheckPeriod = 2s;
/** A daemon whose configuration is older than this part of the lifetime of keys is not ready: others can confirm them. */
constexpr double readyLifetimePart = 0.9;
/** After SIGTERM, idle connections stay open until callers have been sent elsewhere: two missed probes, a second apart, and a margin. */
constexpr Duration idleCloseAfterStop = 3s;
/** The process ends this long before it would be killed. */
constexpr Duration stopMargin = 300ms;
/** Descriptors that are kept for listeners, the store and backend servers. */
constexpr std::uint32_t reservedDescriptors = 1200;
constexpr unsigned statusOk = 200;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusNotFound = 404;
/** Bounds on requests before a configuration is known, and on probes. */
constexpr std::uint32_t probeHeaderBytes = 16384;
constexpr std::uint64_t probeBodyBytes = 65536;

http::SessionLimits limitsOf(const version::CallerLimits &limits)
{
    return {limits.maxHeaderBytes, limits.maxBodyBytes, limits.headerTimeout, limits.idleTimeout};
}

store::WatchPace configurationPace(const proxy::Proxy &proxy)
{
    const auto wait = static_cast<double>(proxy.keyLifetime().count()) * configurationWaitPart;
    return {std::chrono::duration_cast<std::chrono::milliseconds>(Duration(static_cast<std::int64_t>(wait))), configurationPause};
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
        , tick(this->context)
        , writer(this->context, http::parseEndpoint(this->settings.storeAddress), this->dialect, Collection::Daemons, this->settings.name,
                 [this](unsigned status) { this->metrics.countStoreCall(store::nameOf(Collection::Daemons), status); })
        , loadSocket(this->context, this->settings.ip, this->settings.loadPort,
                     [this](const exchange::Message &message) { this->exchange.receive(message, readClock()); })
        , exchange({handleOf<DaemonHandle>(this->settings.name), handleOf<DataCentreHandle>(this->settings.dataCentre), this->settings.ip},
                   [this](const exchange::Peer &to, const exchange::Message &message) { this->loadSocket.send(to, message); })
        , callers(this->context, http::parseEndpoint(this->settings.callersAddress), this->callerHooks(),
                  this->settings.maxDescriptors - std::min(this->settings.maxDescriptors / 2, reservedDescriptors))
        , probes(this->context, http::parseEndpoint(this->settings.readyAddress), this->probeHooks(), probeConnections)
        , metricsListener(this->context, http::parseEndpoint(this->settings.metricsAddress), this->metricsHooks(), probeConnections)
    {
        this->watchers.push_back(this->makeWatcher(Collection::Configuration, configurationPace(this->proxy), this->configurationHooks()));
        this->watchers.push_back(this->makeWatcher(Collection::Backends, backendsPace, this->backendHooks()));
        this->watchers.push_back(this->makeWatcher(Collection::TakenOutDataCentres, takenOutPace, this->takenOutHooks()));
        this->watchers.push_back(this->makeWatcher(Collection::Daemons, daemonsPace, this->daemonHooks()));
    }

    void run()
    {
        logEvent("started",
                 {{"data_centre", this->settings.dataCentre},
                  {"callers", this->settings.callersAddress},
                  {"store", this->settings.storeAddress}});
        this->subscribeTimers();
        this->waitForSignal();
        this->onTick();
        this->writeOwnEntry();
        for (const auto &watcher : this->watchers) {
            watcher->start();
        }
        this->context.run();
        logEvent("stopped", {{"requests_cut", std::to_string(this->callers.servingCount())}});
    }

    void requestStop()
    {
        boost::asio::post(this->context, [this] { this->beginStop("request"); });
    }

private:
    static constexpr std::size_t probeConnections = 32;
    using WatcherPtr = std::unique_ptr<store::CollectionWatcher>;

    bool isReady(Time now)
    {
        return !this->proxy.isStopping() && this->hasBackends && this->hasDaemons && this->hasTakenOut
            && this->proxy.routeTable() != nullptr
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
        hooks.onRequest
            = [this](const http::ServerSessionPtr &session, http::Request request) { this->proxy.handle(session, std::move(request)); };
        hooks.onRejected = [this](unsigned status, const std::string &reason) {
            this->metrics.countAnswer("", status);
            logEvent("request_rejected", {{"status", std::to_string(status)}, {"reason", reason}});
        };
        hooks.isClosing = [this] { return this->proxy.isStopping() || this->proxy.isOverloaded(readClock()); };
        return hooks;
    }

    http::SessionHooks plainHooks()
    {
        http::SessionHooks hooks;
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
        http::SessionHooks hooks = this->plainHooks();
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
        http::SessionHooks hooks = this->plainHooks();
        hooks.onRequest = [this](const http::ServerSessionPtr &session, const http::Request &) {
            const auto table = this->proxy.routeTable();
            this->metrics.setConnections(this->callers.connectionCount());
            this->metrics.setConfiguration(table ? table->version() : 0, this->proxy.configurationAge(readClock()));
            this->metrics.setDroppedLogLines(droppedLogLines());
            answerText(session, statusOk, this->metrics.serialize());
        };
        return hooks;
    }

    WatcherPtr makeWatcher(Collection collection, store::WatchPace pace, store::WatcherHooks hooks)
    {
        const std::string name = store::nameOf(collection);
        hooks.onCall = [this, name](unsigned status) { this->metrics.countStoreCall(name, status); };
        const auto onReachability = std::move(hooks.onReachability);
        hooks.onReachability = [name, onReachability](bool isReachable, const std::string &cause) {
            logEvent(isReachable ? "store_regained" : "store_lost", {{"collection", name}, {"cause", cause}});
            if (onReachability) {
                onReachability(isReachable, cause);
            }
        };
        return std::make_unique<store::CollectionWatcher>(this->context, http::parseEndpoint(this->settings.storeAddress), this->dialect,
                                                          collection, pace, std::move(hooks));
    }

    void applyConfiguration(const store::StoredObject &object)
    {
        try {
            this->proxy.setRouteTable(std::make_shared<const version::RouteTable>(this->dialect->readConfiguration(object)));
        } catch (const std::exception &error) {
            logWarning("configuration_unreadable",
                       {{"object", object.name}, {"revision", std::to_string(object.revision)}, {"cause", error.what()}});
        }
    }

    store::WatcherHooks configurationHooks()
    {
        store::WatcherHooks hooks;
        hooks.onList = [this](const std::vector<store::StoredObject> &objects) {
            for (const auto &object : objects) {
                this->applyConfiguration(object);
            }
        };
        hooks.onChange = [this](const store::ObjectChange &change) {
            if (!change.isRemoved) {
                this->applyConfiguration(change.object);
            }
        };
        hooks.onConfirmed = [this](Time asOf) { this->proxy.confirmConfiguration(asOf); };
        return hooks;
    }

    void logUnreadableBackend(const store::StoredObject &object)
    {
        logWarning("backend_entry_unreadable", {{"backend", object.name}, {"revision", std::to_string(object.revision)}});
    }

    store::WatcherHooks backendHooks()
    {
        store::WatcherHooks hooks;
        hooks.onList = [this](const std::vector<store::StoredObject> &objects) {
            std::vector<directory::BackendRecord> records;
            for (const auto &object : objects) {
                if (auto record = this->dialect->readBackend(object)) {
                    records.push_back(std::move(*record));
                } else {
                    this->logUnreadableBackend(object);
                }
            }
            this->proxy.backends().replaceAll(records, readClock());
            this->hasBackends = true;
        };
        hooks.onChange = [this](const store::ObjectChange &change) {
            const Time now = readClock();
            if (change.isRemoved) {
                this->proxy.backends().remove(change.object.name, now);
            } else if (const auto record = this->dialect->readBackend(change.object)) {
                this->proxy.backends().apply(*record, now);
            } else {
                this->logUnreadableBackend(change.object);
                this->proxy.backends().applyUnreadable(change.object.name, now);
            }
        };
        hooks.onConfirmed = [](Time) {};
        hooks.onReachability = [this](bool isReachable, const std::string &) {
            if (isReachable) {
                this->proxy.backends().noteStoreBack(readClock());
            } else {
                this->proxy.backends().noteStoreLost();
            }
        };
        return hooks;
    }

    void applyTakenOut()
    {
        for (const std::string &dataCentre : this->takenOut) {
            logEvent("data_centre_taken_out", {{"data_centre", dataCentre}});
        }
        this->proxy.backends().setTakenOut(this->takenOut, coldAfterReturn, readClock());
    }

    store::WatcherHooks takenOutHooks()
    {
        store::WatcherHooks hooks;
        hooks.onList = [this](const std::vector<store::StoredObject> &objects) {
            this->takenOut.clear();
            for (const auto &object : objects) {
                this->takenOut.insert(object.name);
            }
            this->hasTakenOut = true;
            this->applyTakenOut();
        };
        hooks.onChange = [this](const store::ObjectChange &change) {
            if (change.isRemoved) {
                this->takenOut.erase(change.object.name);
            } else {
                this->takenOut.insert(change.object.name);
            }
            this->applyTakenOut();
        };
        hooks.onConfirmed = [](Time) {};
        return hooks;
    }

    void writeOwnEntry()
    {
        this->writer.create(this->dialect->writeDaemon({this->settings.name, this->settings.ip, this->settings.dataCentre}),
                            [this] { this->proxy.daemons().noteOwnEntry(readClock()); });
    }

    void applyDaemons()
    {
        const Time now = readClock();
        std::vector<DaemonHandle> handles;
        std::vector<exchange::Peer> peers;
        for (const auto &[name, daemon] : this->daemons) {
            handles.push_back(handleOf<DaemonHandle>(name));
            peers.push_back({handles.back(), handleOf<DataCentreHandle>(daemon.dataCentre), daemon.address});
        }
        dispatch::DaemonRoll &roll = this->proxy.daemons();
        roll.noteList(handles, now);
        if (roll.isOwnEntryLost(now) && !this->proxy.isStopping()) {
            logWarning("own_entry_lost", {{"listed", std::to_string(handles.size())}});
            this->writeOwnEntry();
        }
        if (this->knownDaemons == handles) {
            return;
        }
        logEvent("daemons_changed", {{"listed", std::to_string(handles.size())}, {"counted", std::to_string(roll.count())}});
        this->knownDaemons = std::move(handles);
        this->exchange.setPeers(std::move(peers));
    }

    void takeDaemon(const store::StoredObject &object)
    {
        if (auto daemon = this->dialect->readDaemon(object)) {
            this->daemons[object.name] = std::move(*daemon);
        } else {
            logWarning("daemon_entry_unreadable", {{"name", object.name}, {"revision", std::to_string(object.revision)}});
        }
    }

    store::WatcherHooks daemonHooks()
    {
        store::WatcherHooks hooks;
        hooks.onList = [this](const std::vector<store::StoredObject> &objects) {
            this->daemons.clear();
            for (const auto &object : objects) {
                this->takeDaemon(object);
            }
            this->hasDaemons = true;
            this->applyDaemons();
        };
        hooks.onChange = [this](const store::ObjectChange &change) {
            if (change.isRemoved) {
                this->daemons.erase(change.object.name);
            } else {
                this->takeDaemon(change.object);
            }
            this->applyDaemons();
        };
        hooks.onConfirmed = [](Time) {};
        return hooks;
    }

    void subscribeTimers()
    {
        this->subscriptions.push_back(
            this->timers.subscribe([] { return tickPeriod; }, [this](Time now) { this->proxy.backends().expire(now); }));
        this->subscriptions.push_back(this->timers.subscribe([] { return tickPeriod; }, [this](Time now) { this->continueStop(now); }));
        this->subscriptions.push_back(this->timers.subscribe(
            [] { return tickPeriod; }, [this](Time now) { this->proxy.takeLoadOfOthers(this->exchange.others(now), now); }));
        this->subscriptions.push_back(this->timers.subscribe([] { return exchangePeriod; },
                                                             [this](Time now) { this->exchange.tick(this->proxy.ownLoad(now), now); }));
        this->subscriptions.push_back(this->timers.subscribe([] { return idleSweepPeriod; },
                                                             [this](Time now) {
                                                                 this->callers.connectionCount();
                                                                 this->proxy.backends().forEach(
                                                                     [now](const directory::BackendServerPtr &backend) {
                                                                         proxy::BackendPool::closeIdle(backend, now);
                                                                     });
                                                             }));
        this->subscriptions.push_back(this->timers.subscribe([] { return settingsCheckPeriod; }, [this](Time) { this->reloadSettings(); }));
    }

    void onTick()
    {
        const Time now = readClock();
        if (this->nextTick > Time(0)) {
            this->proxy.noteLag(std::max(now - this->nextTick, Duration(0)), now);
        }
        this->timers.advance(now);
        this->nextTick = now + tickPeriod;
        this->tick.expires_after(tickPeriod);
        this->tick.async_wait([this](boost::system::error_code error) {
            if (!error) {
                this->onTick();
            }
        });
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
        this->writer.remove([] {});
    }

    void reloadSettings()
    {
        try {
            const EdgeSettings read = this->readSettings();
            if (read == this->settings) {
                return;
            }
            this->settings = read;
            this->proxy.setSettings(read);
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
        const Duration since = this->proxy.stoppingFor(now);
        const bool isGraceOver = since >= this->settings.bounds.stopGrace - stopMargin;
        if (since >= idleCloseAfterStop) {
            this->callers.closeIdle();
        }
        if (isGraceOver || (since >= idleCloseAfterStop && this->callers.connectionCount() == 0)) {
            this->context.stop();
        }
    }

    /** Backend servers of a data centre that comes back are taken as cold for this long. Source: cold periods of the deployments. */
    static constexpr Duration coldAfterReturn = std::chrono::seconds(3);

    EdgeSettings settings;
    std::shared_ptr<const ProxyDialect> dialect;
    ReadSettings readSettings;
    boost::asio::io_context context {1};
    proxy::ProxyMetrics metrics;
    proxy::Proxy proxy;
    boost::asio::signal_set signals;
    boost::asio::steady_timer tick;
    Time nextTick {0};
    TimerService timers;
    std::vector<TimerService::Subscription> subscriptions;
    std::vector<WatcherPtr> watchers;
    store::ObjectWriter writer;
    exchange::LoadSocket loadSocket;
    exchange::LoadExchange exchange;
    http::Listener callers;
    http::Listener probes;
    http::Listener metricsListener;
    std::set<std::string> takenOut;
    std::map<std::string, DaemonRecord> daemons;
    std::vector<DaemonHandle> knownDaemons; ///< As last listed.
    bool hasBackends = false;
    bool hasTakenOut = false;
    bool hasDaemons = false;
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
