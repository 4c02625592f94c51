/**
 * @file Daemon processes with little processor, a store that is disturbed, and operators who change the configuration all the while.
 * @remarks Guards against a confirmed change that is not in force in time, an older version that comes back, and a key that is still taken
 * after it was taken away. FLEET_SEED and FLEET_SECONDS choose another run.
 */

#include "fleet/configuration_checker.h"
#include "hostile/edge_process.h"
#include "proxy/daemon_fixture.h"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <thread>

using namespace fleet;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr std::size_t daemonCount = 7; ///< Enough for a region to have relays.
constexpr std::size_t serviceCount = 3;
constexpr std::size_t firstRoutes = 6;
constexpr hostile::ProcessLimits limits {110, 1000};
constexpr unsigned slots = 64; ///< Of a backend server.
constexpr Span period {100}; ///< In which each process runs for a part.
constexpr Span runningPart {25};
constexpr Span requestPause {15};
constexpr std::uint32_t revokeMs = 5000;

unsigned numberFrom(const char *variable, unsigned otherwise)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? otherwise : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

/** The operator's store, backend servers and daemons. */
class World
{
public:
    explicit World(unsigned seed)
        : random(seed)
    {
        for (std::size_t index = 0; index < serviceCount; ++index) {
            const std::string name = "s" + std::to_string(index);
            this->servers.push_back(std::make_unique<standin::RawServer>([name](standin::Socket &socket, const standin::Request &request) {
                standin::sendBytes(socket, standin::signedAnswer(request, name));
                return true;
            }));
            this->store.put("servers", "i-" + name, standin::makeBackend(*this->servers.back(), name, "v1", slots, std::nullopt));
        }
        this->current.number = 1;
        for (std::size_t index = 0; index < firstRoutes; ++index) {
            this->addRoute();
        }
        for (int key = 0; key < 3; ++key) {
            this->addKey();
        }
        this->write();
        const std::uint16_t port = standin::findFreePort();
        for (std::size_t index = 0; index < daemonCount; ++index) {
            hostile::ProcessPlace place = hostile::placeInFleet(index, port);
            place.revokeMs = revokeMs;
            this->daemons.push_back(std::make_unique<hostile::EdgeProcess>(limits, this->store.address(), place));
        }
    }

    /** Changes the configuration in one of several ways, and waits for the acknowledgement. */
    void changeConfiguration()
    {
        const std::lock_guard lock(this->mutex);
        switch (this->random() % 5) {
        case 0:
            this->addRoute();
            break;
        case 1:
            if (this->current.services.size() > 2) {
                this->current.services.erase(
                    std::next(this->current.services.begin(), static_cast<std::ptrdiff_t>(this->random() % this->current.services.size())));
            }
            break;
        case 2:
            this->addKey();
            break;
        case 3:
            if (this->current.keys.size() > 1) {
                this->current.keys.erase(
                    std::next(this->current.keys.begin(), static_cast<std::ptrdiff_t>(this->random() % this->current.keys.size())));
            }
            break;
        default:
            for (auto &[prefix, service] : this->current.services) {
                service = this->anyService();
            }
        }
        this->current.number += 1 + this->random() % 3;
        this->write();
    }

    struct Question {
        std::string prefix;
        std::string key;
    };

    /** A route and a key that are, or were, in some version. */
    Question ask(std::mt19937 &callers)
    {
        const std::lock_guard lock(this->mutex);
        const bool isOfOld = callers() % 3 == 0;
        Question question {"p" + std::to_string(callers() % (this->routes + 1)), "key-" + std::to_string(callers() % (this->keys + 1))};
        if (!isOfOld && !this->current.keys.empty()) {
            question.key = *std::next(this->current.keys.begin(), static_cast<std::ptrdiff_t>(callers() % this->current.keys.size()));
        }
        return question;
    }

    standin::ObjectStore store;
    ConfigurationChecker checker;
    std::vector<std::unique_ptr<hostile::EdgeProcess>> daemons;
    std::mutex processes; ///< Signals are sent and processes are started under it.
    std::array<std::atomic<std::size_t>, daemonCount> incarnations {};
    std::array<std::atomic<bool>, daemonCount> isFrozen {};
    std::mt19937 random;

private:
    std::string anyService()
    {
        return "s" + std::to_string(this->random() % serviceCount);
    }
    void addRoute()
    {
        this->current.services["p" + std::to_string(this->routes++)] = this->anyService();
    }
    void addKey()
    {
        this->current.keys.insert("key-" + std::to_string(this->keys++));
    }
    void write()
    {
        json routes = json::array();
        json services = json::array();
        for (const auto &[prefix, service] : this->current.services) {
            json route = standin::makeRoute(prefix, "idempotent");
            route["service"] = service;
            routes.push_back(route);
        }
        for (std::size_t index = 0; index < serviceCount; ++index) {
            services.push_back({{"name", "s" + std::to_string(index)}, {"max_conns", 400}, {"cold_s", 0.0}, {"cold_per_s", 0.0}});
        }
        json spec = standin::makeConfiguration(1);
        spec["version"] = this->current.number;
        spec["routes"] = routes;
        spec["services"] = services;
        spec["tenants"] = {{{"name", "w1"}, {"api_keys", this->current.keys}}};
        this->current.sentAt = Clock::now();
        this->checker.recordSent(this->current);
        this->store.put("config", "main", spec);
        this->checker.recordAcknowledged(this->current.number, Clock::now());
    }

    std::mutex mutex;
    std::vector<std::unique_ptr<standin::RawServer>> servers;
    Version current;
    std::size_t routes = 0;
    std::size_t keys = 0;
};

/** Gives each process a part of each tenth of a second, as a quota of a core does. */
class Quota
{
public:
    explicit Quota(World &throttledWorld)
        : world(throttledWorld)
        , thread([this] { this->run(); })
    {
    }
    ~Quota()
    {
        this->isStopping = true;
        this->thread.join();
        this->signalAll(SIGCONT, true);
    }

private:
    void signalAll(int signal, bool alsoFrozen)
    {
        const std::lock_guard lock(this->world.processes);
        for (std::size_t index = 0; index < daemonCount; ++index) {
            if (alsoFrozen || !this->world.isFrozen[index]) {
                this->world.daemons[index]->sendSignal(signal);
            }
        }
    }
    void run()
    {
        while (!this->isStopping) {
            this->signalAll(SIGSTOP, false);
            std::this_thread::sleep_for(period - runningPart);
            this->signalAll(SIGCONT, false);
            std::this_thread::sleep_for(runningPart);
        }
    }

    World &world;
    std::atomic<bool> isStopping {false};
    std::thread thread;
};

/** Callers of one daemon. */
void callDaemon(World &world, std::size_t daemon, unsigned seed, const std::atomic<bool> &isStopping)
{
    std::mt19937 random(seed);
    for (std::size_t number = 0; !isStopping; ++number) {
        const World::Question question = world.ask(random);
        Observation observation;
        observation.daemon = daemon;
        observation.incarnation = world.incarnations[daemon];
        observation.prefix = question.prefix;
        observation.key = question.key;
        observation.sentAt = Clock::now();
        const std::string id = std::to_string(daemon) + "-" + std::to_string(number);
        const auto answer = standin::DaemonFixture::sendRawRequest(
            world.daemons[daemon]->callersAddress(),
            "GET /" + question.prefix + "/x HTTP/1.1\r\nHost: h.example\r\nX-Eelgrassnotch-Attempt-Id: " + id
                + "\r\nX-Eelgrassnotch-Deadline-Ms: 3000\r\nX-Eelgrassnotch-Credential: " + question.key + "\r\nConnection: close\r\n\r\n");
        observation.answeredAt = Clock::now();
        observation.status = answer.result_int();
        observation.service = observation.status == 200 ? answer.body() : "";
        if (observation.incarnation == world.incarnations[daemon]) {
            world.checker.record(observation);
        }
        std::this_thread::sleep_for(requestPause);
    }
}

/** One disturbance for some time; ends it again. */
class Disturber
{
public:
    explicit Disturber(World &disturbedWorld)
        : world(disturbedWorld)
    {
    }

    void disturb()
    {
        const std::size_t daemon = this->world.random() % daemonCount;
        const Span time(300 + this->world.random() % 2500);
        switch (this->world.random() % 9) {
        case 0:
            this->restart(daemon);
            break;
        case 1:
            for (std::size_t index = 0; index < daemonCount; ++index) {
                this->restart(index);
            }
            break;
        case 2:
            this->freeze(daemon, time);
            break;
        case 3:
            this->duringStore(Disturbance::Mild, time, [this](bool isOn) { this->world.store.cutsWatches = isOn; });
            break;
        case 4:
            this->duringStore(Disturbance::Away, time, [this](bool isOn) { this->world.store.watchDelayMs = isOn ? 700 : 0; });
            break;
        case 5:
            this->duringStore(Disturbance::Mild, time, [this](bool isOn) {
                this->spoilLists(isOn);
                this->world.store.compact();
            });
            break;
        case 6:
            this->duringStore(Disturbance::Away, time, [this](bool isOn) { this->world.store.refusesAll = isOn; });
            break;
        case 7:
            this->duringStore(Disturbance::Mild, Span(0), [this](bool) { this->world.store.compact(); });
            break;
        default:
            this->addOddEntry();
        }
    }

private:
    void restart(std::size_t daemon)
    {
        const Moment from = Clock::now();
        const std::lock_guard lock(this->world.processes);
        ++this->world.incarnations[daemon];
        this->world.daemons[daemon]->restart();
        ++this->world.incarnations[daemon];
        this->world.checker.recordDaemonDisturbance(daemon, from, Clock::now());
    }
    void freeze(std::size_t daemon, Span time)
    {
        const Moment from = Clock::now();
        this->world.isFrozen[daemon] = true;
        {
            const std::lock_guard lock(this->world.processes);
            this->world.daemons[daemon]->sendSignal(SIGSTOP);
        }
        this->changeFor(time);
        this->world.isFrozen[daemon] = false;
        this->world.checker.recordDaemonDisturbance(daemon, from, Clock::now());
    }
    void duringStore(Disturbance kind, Span time, const std::function<void(bool)> &set)
    {
        const Moment from = Clock::now();
        set(true);
        this->changeFor(time);
        set(false);
        this->world.checker.recordStoreDisturbance(kind, from, Clock::now());
    }
    /** Operators go on during a disturbance. */
    void changeFor(Span time)
    {
        const Moment until = Clock::now() + time;
        while (Clock::now() < until) {
            this->world.changeConfiguration();
            std::this_thread::sleep_for(std::min<Span>(Span(400), std::chrono::duration_cast<Span>(until - Clock::now())));
        }
    }
    /** Lists are refused from the second page on, are slow, or never end. */
    void spoilLists(bool isOn)
    {
        if (!isOn) {
            this->world.store.setListFault({});
            return;
        }
        const auto kind = this->world.random() % 3;
        this->world.store.setListFault([kind](const std::string &, const std::string &afterName, unsigned &status, std::string &body) {
            if (kind == 0) {
                std::this_thread::sleep_for(300ms);
            } else if (kind == 1 && !afterName.empty()) {
                status = 503;
            } else if (kind == 2) {
                json page = json::parse(body);
                page["items"].push_back({{"metadata", {{"name", afterName + "z"}, {"revision", 1}}}, {"spec", nullptr}});
                page["more"] = true;
                body = page.dump();
            }
        });
    }
    void addOddEntry()
    {
        static const std::vector<std::string> names {"a&b", "k+", "m#", "m%", "n o", "z&x=1"};
        static const std::vector<std::string> kinds {"config", "servers", "evacuations", "eelgrassnotch-daemons"};
        const std::string &name = names[this->world.random() % names.size()];
        const std::string &kind = kinds[this->world.random() % kinds.size()];
        this->world.store.pageLength = 1 + this->world.random() % 3;
        if (this->world.store.has(kind, name)) {
            this->world.store.remove(kind, name);
        } else {
            this->world.store.put(kind, name, {{"not", "one of these"}});
        }
    }

    World &world;
};

Version makeVersion(std::uint64_t number, const std::string &service, const std::string &key, Moment sentAt)
{
    return {number, {{"p0", service}}, {key}, sentAt, {}};
}

}

TEST_CASE("the checker tells late, older, unknown and revoked configurations apart from allowed ones")
{
    const Moment start = Clock::now();
    const auto observe = [&](Span sentAfter, const std::string &service, const std::string &key) {
        return Observation {0, 0, "p0", key, 200, service, start + sentAfter, start + sentAfter + 10ms};
    };
    const auto check = [&](const std::vector<Observation> &observations) {
        ConfigurationChecker checker;
        checker.recordSent(makeVersion(1, "s0", "k0", start));
        checker.recordAcknowledged(1, start);
        checker.recordSent(makeVersion(2, "s1", "k0", start + 10s));
        checker.recordAcknowledged(2, start + 10s);
        checker.recordSent(makeVersion(3, "s1", "k1", start + 20s));
        checker.recordAcknowledged(3, start + 20s);
        checker.recordDaemonDisturbance(0, start + 21s, start + 30s);
        for (const Observation &observation : observations) {
            checker.record(observation);
        }
        return checker.violations().size();
    };
    CHECK(check({observe(5s, "s0", "k0"), observe(12s, "s0", "k0"), observe(13s, "s1", "k0")}) == 0);
    CHECK(check({observe(13s, "s0", "k0")}) == 1);
    CHECK(check({observe(11s, "s1", "k0"), observe(12s, "s0", "k0")}) == 0);
    CHECK(check({observe(10100ms, "s1", "k0"), observe(12200ms, "s0", "k0")}) == 1);
    CHECK(check({observe(5s, "s1", "k0")}) == 1);
    CHECK(check({observe(5s, "s2", "k0")}) == 1);
    CHECK(check({observe(24s, "s1", "k0")}) == 0);
    CHECK(check({observe(26s, "s1", "k0")}) == 1);
}

TEST_CASE("the checker counts what daemons in touch owe, and nothing else")
{
    const Moment start = Clock::now();
    ConfigurationChecker checker;
    checker.recordSent(makeVersion(1, "s0", "k0", start));
    checker.recordAcknowledged(1, start);
    checker.recordSent(makeVersion(2, "s1", "k1", start + 20s));
    checker.recordAcknowledged(2, start + 20s);
    checker.recordDaemonDisturbance(1, start + 5s, start + 6s);
    const auto observe = [&](std::size_t daemon, Span sentAfter, const std::string &key, unsigned status) {
        checker.record({daemon, 0, "p0", key, status, "s0", start + sentAfter, start + sentAfter + 10ms});
    };
    observe(0, 7s, "k0", 200);
    observe(0, 7s, "k0", 503);
    observe(0, 7s, "k9", 401);
    observe(1, 7s, "k0", 503);
    observe(0, 21s, "k0", 503);
    observe(0, 24s, "k1", 503);
    const auto services = checker.services();
    REQUIRE(services.size() == 1);
    CHECK(services.at(0).owed == 3);
    CHECK(services.at(0).served == 1);
}

TEST_CASE("daemons in touch use no configuration that is older than the bound, and none goes back")
{
    const unsigned seed = numberFrom("FLEET_SEED", 1);
    const auto runTime = std::chrono::seconds(numberFrom("FLEET_SECONDS", 45));
    World world(seed);
    std::atomic<bool> isStopping {false};
    for (const auto &daemon : world.daemons) {
        REQUIRE(daemon->waitUntilReady());
    }
    std::vector<std::thread> callers;
    {
        const Quota quota(world);
        for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
            callers.emplace_back(
                [&world, &isStopping, daemon, seed] { callDaemon(world, daemon, seed * 100 + static_cast<unsigned>(daemon), isStopping); });
        }
        Disturber disturber(world);
        const Moment until = Clock::now() + runTime;
        while (Clock::now() < until) {
            disturber.disturb();
            // Changes in quick succession, then time for the bounds to apply.
            for (unsigned change = 0; change <= world.random() % 4; ++change) {
                world.changeConfiguration();
                std::this_thread::sleep_for(Span(50 + world.random() % 600));
            }
            std::this_thread::sleep_for(Span(world.random() % 4 == 0 ? 6000 : 500));
        }
        isStopping = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
    }
    const std::vector<std::string> violations = world.checker.violations();
    std::cout << "seed " << seed << ": " << world.checker.observationCount() << " answers, " << world.checker.boundedCount()
              << " within a bound, " << violations.size() << " violations\n";
    for (const std::string &violation : violations) {
        std::cout << violation << "\n";
    }
    CHECK(violations.empty());
    // The rules' bound: a quarter of what is owed.
    for (const auto &[daemon, service] : world.checker.services()) {
        std::cout << "daemon " << daemon << ": " << service.served << " of " << service.owed << " served\n";
        CHECK(service.served * 4 >= service.owed);
    }
    CHECK(world.checker.observationCount() > 0);
}
