/** @file Rollouts by version: the modules of 350 daemons, replayed without a network. */

#include "process/exchange/load_codec.h"
#include "process/rollout/service_rollout.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process;
using namespace std::chrono_literals;
using rollout::Outcome;
using rollout::RolloutBounds;
using rollout::RolloutDecision;
using rollout::RolloutOrder;
using rollout::RolloutSituation;
using rollout::RolloutState;
using rollout::ServiceRollout;
using rollout::VersionChoice;

namespace
{

constexpr std::uint32_t daemonCount = 350;
constexpr std::uint32_t dataCentres = 6;
constexpr Duration tickPeriod = 200ms;
constexpr Duration messageDelay = 400ms;
constexpr Duration propagationDelay = 8s;
constexpr double secondRouteShare = 80.0 / 280.0;
constexpr RolloutBounds bounds {0.1, 50, 5s};
constexpr double usualFailures = 0.005;
constexpr Time start = 1000s;

/** What a version does to one request. */
struct Behaviour {
    double failures = usualFailures;
    double slowness = 1;
};

/** What happens in one replay. */
struct Load {
    std::string name;
    bool isBad = false;
    std::function<Behaviour(bool isTarget, std::uint32_t route, double elapsed, double targetShare)> behaviour;
    double restartedPart = 0; ///< Of the daemons, at half of the duration.
    bool isPartitioned = false; ///< One data centre has neither store nor messages for a third of the duration.
    Duration storeLostFrom = Duration::max();
    Duration storeLostUntil = Duration::max();
    Duration duration = 40s;
    double requestsPerSecond = 280;
};

struct Result {
    RolloutState state = RolloutState::Active;
    Duration decidedAfter {0};
    double targetShare = 0; ///< Of all requests until the deadline, from daemons that reach the store.
    double beyondBound = 0; ///< Requests to the target version beyond share and slack; negative within them.
    std::uint64_t lateSends = 0; ///< Sent later than the time for the rollback after the 50th bad answer.
    std::uint32_t cut = 0; ///< In progress at the old version when the rollout was completed.
};

/** One service, its two versions and all daemons; time goes on in ticks. */
class Replay
{
public:
    Replay(const Load &replayedLoad, std::uint32_t seed)
        : load(replayedLoad)
        , random(seed)
        , order {"svc", "svc", "v2", replayedLoad.duration, seed + 1, RolloutState::Active}
    {
        std::exponential_distribution<double> popularity(1);
        for (std::uint32_t index = 0; index < daemonCount; ++index) {
            this->daemons.push_back(this->newDaemon(index, 0s));
            this->weights.push_back(popularity(this->random));
        }
    }

    Result run()
    {
        std::discrete_distribution<std::uint32_t> receiver(this->weights.begin(), this->weights.end());
        const std::uint64_t perTick
            = static_cast<std::uint64_t>(this->load.requestsPerSecond * std::chrono::duration<double>(tickPeriod).count());
        for (Duration elapsed = 0s; elapsed < this->load.duration + 3s; elapsed += tickPeriod) {
            if (elapsed == this->load.duration / 2) {
                this->restart(elapsed);
            }
            for (std::uint64_t count = 0; count < perTick; ++count) {
                const Duration at
                    = elapsed + Duration(static_cast<std::int64_t>(count) * tickPeriod.count() / static_cast<std::int64_t>(perTick));
                this->endUntil(at);
                this->send(receiver(this->random), at);
            }
            this->endUntil(elapsed + tickPeriod);
            this->tick(elapsed + tickPeriod);
        }
        const double allowed = bounds.exposureShare * static_cast<double>(this->requests) + bounds.exposureSlack;
        this->result.targetShare = static_cast<double>(this->sentToTarget) / static_cast<double>(this->requests);
        this->result.beyondBound = static_cast<double>(this->sentToTarget) - allowed;
        return this->result;
    }

private:
    struct Daemon {
        std::unique_ptr<ServiceRollout> rollout;
        Duration startedAt {0};
        std::uint32_t oldInProgress = 0;
        std::uint32_t generation = 0;
        RolloutDecision decision;
    };
    struct Ending {
        Duration at {0};
        std::uint32_t daemon = 0;
        std::uint32_t generation = 0;
        Outcome outcome;

        bool operator>(const Ending &other) const
        {
            return this->at > other.at;
        }
    };
    /** Loads of all daemons at one time, and the sum of those that hear each other. */
    struct Told {
        std::vector<exchange::LoadSummary> own;
        exchange::LoadSummary sum;
        exchange::LoadSummary cutOffSum; ///< Of the data centre that is cut off.
    };

    Daemon newDaemon(std::uint32_t index, Duration elapsed) const
    {
        return {std::make_unique<ServiceRollout>(this->order, bounds, DaemonHandle {index + 1}, start + elapsed), elapsed, 0, 0, {}};
    }

    bool isCutOff(std::uint32_t daemon, Duration elapsed) const
    {
        return this->load.isPartitioned && daemon % dataCentres == 0 && elapsed >= this->load.duration / 3
            && elapsed < this->load.duration * 2 / 3;
    }

    bool reachesStore(std::uint32_t daemon, Duration elapsed) const
    {
        return !this->isCutOff(daemon, elapsed) && (elapsed < this->load.storeLostFrom || elapsed >= this->load.storeLostUntil);
    }

    void restart(Duration elapsed)
    {
        for (std::uint32_t index = 0; index < daemonCount; ++index) {
            if (std::uniform_real_distribution<double>()(this->random) < this->load.restartedPart) {
                const std::uint32_t generation = this->daemons[index].generation + 1;
                this->daemons[index] = this->newDaemon(index, elapsed);
                this->daemons[index].generation = generation;
            }
        }
    }

    void send(std::uint32_t index, Duration at)
    {
        Daemon &daemon = this->daemons[index];
        std::uniform_real_distribution<double> uniform;
        const std::uint32_t route = uniform(this->random) < secondRouteShare ? 2 : 1;
        daemon.rollout->recordRequest();
        const VersionChoice choice = daemon.rollout->choose(this->random(), false);
        const bool isTarget = choice.isTarget && this->result.state != RolloutState::RolledBack;
        daemon.rollout->recordSent(isTarget);
        daemon.oldInProgress += isTarget ? 0 : 1;
        this->recentShare += ((isTarget ? 1.0 : 0.0) - this->recentShare) / this->load.requestsPerSecond;
        if (at < this->load.duration && !this->isCutOff(index, at)) {
            ++this->requests;
            this->sentToTarget += isTarget ? 1 : 0;
        }
        if (isTarget && this->fiftiethBadAt && at > *this->fiftiethBadAt + bounds.rollback) {
            ++this->result.lateSends;
        }
        const double elapsed = std::chrono::duration<double>(at).count() / std::chrono::duration<double>(this->load.duration).count();
        const Behaviour behaviour = this->load.behaviour(isTarget, route, elapsed, this->recentShare);
        // Machines are shared: 15% of the time, work takes 2.5 times as long.
        double milliseconds = (40 + 40 * uniform(this->random)) * (uniform(this->random) < 0.15 ? 2.5 : 1);
        milliseconds *= behaviour.slowness;
        const bool isFailure = uniform(this->random) < behaviour.failures;
        const Duration duration(static_cast<std::int64_t>(milliseconds * 1000));
        const bool isBad = isFailure || behaviour.slowness > 3;
        this->endings.push({at + duration, index, daemon.generation, {choice, isTarget, route, isFailure, duration, 1000}});
        if (isTarget && isBad && this->load.isBad && ++this->badAnswers == 50) {
            this->fiftiethBadAt = at + duration;
        }
    }

    void endUntil(Duration at)
    {
        while (!this->endings.empty() && this->endings.top().at <= at) {
            const Ending ending = this->endings.top();
            this->endings.pop();
            Daemon &daemon = this->daemons[ending.daemon];
            if (daemon.generation != ending.generation) {
                continue;
            }
            daemon.oldInProgress -= ending.outcome.wasTarget ? 0 : 1;
            daemon.rollout->recordOutcome(ending.outcome, start + ending.at);
        }
    }

    static exchange::LoadSummary minus(exchange::LoadSummary sum, const exchange::LoadSummary &own)
    {
        for (exchange::RolloutProgress &progress : sum.rollouts) {
            progress.oldInProgress -= own.rollouts.front().oldInProgress;
            progress.emptying -= own.rollouts.front().emptying;
            progress.badVerdicts -= own.rollouts.front().badVerdicts;
        }
        for (exchange::RolloutCounts &counts : sum.rolloutCounts) {
            for (const exchange::RolloutCounts &mine : own.rolloutCounts) {
                if (mine.key == counts.key) {
                    counts.failureScore -= mine.failureScore;
                    counts.slownessScore -= mine.slownessScore;
                    counts.targetAnswers -= mine.targetAnswers;
                    counts.targetBad -= mine.targetBad;
                    counts.oldAnswers -= mine.oldAnswers;
                    counts.oldBad -= mine.oldBad;
                }
            }
        }
        return sum;
    }

    void tell(Duration elapsed)
    {
        Told told;
        told.own.resize(daemonCount);
        for (std::uint32_t index = 0; index < daemonCount; ++index) {
            told.own[index].daemons = 1;
            this->daemons[index].rollout->addTo(told.own[index], this->daemons[index].oldInProgress, start + elapsed);
            exchange::LoadSummary &sum = this->isCutOff(index, elapsed) ? told.cutOffSum : told.sum;
            sum = sum.plus(told.own[index]);
        }
        this->messages.push_back(std::move(told));
    }

    void tick(Duration elapsed)
    {
        const std::size_t delayTicks = messageDelay / tickPeriod;
        const Told *told = this->messages.size() >= delayTicks ? &this->messages[this->messages.size() - delayTicks] : nullptr;
        for (std::uint32_t index = 0; index < daemonCount; ++index) {
            Daemon &daemon = this->daemons[index];
            RolloutSituation situation;
            situation.daemons = daemonCount;
            situation.isStoreReachable = this->reachesStore(index, elapsed);
            const bool isCounted = daemon.startedAt == Duration(0) || elapsed - daemon.startedAt > propagationDelay;
            situation.slackPart = isCounted && index < static_cast<std::uint32_t>(bounds.exposureSlack / 2) ? 1 : 0;
            situation.hasTargetServers = true;
            situation.oldInProgress = daemon.oldInProgress;
            situation.rank = index % 5;
            if (told != nullptr && elapsed - daemon.startedAt >= 2 * messageDelay) {
                situation.others = minus(this->isCutOff(index, elapsed) ? told->cutOffSum : told->sum, told->own[index]);
            }
            if (situation.isStoreReachable && this->result.state != RolloutState::Active
                && elapsed >= this->result.decidedAfter + messageDelay) {
                daemon.rollout->setState(this->result.state);
            }
            daemon.rollout->update(situation, start + elapsed);
            const RolloutDecision decision = daemon.rollout->decide(situation, start + elapsed);
            // The object's revision has changed for all but the first.
            if (decision.state != RolloutState::Active && this->result.state == RolloutState::Active) {
                this->result.state = decision.state;
                this->result.decidedAfter = elapsed;
                if (std::getenv("EELGRASSNOTCH_ROLLOUT_TRACE") != nullptr) {
                    this->trace(elapsed, decision.reason);
                }
                for (const Daemon &any : this->daemons) {
                    this->result.cut += decision.state == RolloutState::Completed ? any.oldInProgress : 0;
                }
            }
        }
        if (std::getenv("EELGRASSNOTCH_ROLLOUT_TRACE") != nullptr && elapsed % Duration(1s) == Duration(0)) {
            this->trace(elapsed, "");
        }
        this->tell(elapsed);
        if (this->messages.size() > delayTicks) {
            this->messages.pop_front();
        }
    }

    void trace(Duration elapsed, const std::string &reason) const
    {
        const rollout::RolloutStats &stats = this->daemons[1].rollout->stats();
        std::cout << "at_ms=" << elapsed.count() / 1000 << " stage=" << nameOf(stats.stage) << " share=" << stats.share
                  << " failure=" << stats.failureScore << " slowness=" << stats.slownessScore << " threshold=" << stats.threshold
                  << " target=" << stats.targetBad << "/" << stats.targetAnswers << " old=" << stats.oldBad << "/" << stats.oldAnswers
                  << " old_in_progress=" << stats.oldInProgress << " emptying=" << stats.emptyingDaemons << " sent=" << this->sentToTarget
                  << "/" << this->requests << " " << reason << "\n";
    }

    const Load &load;
    std::mt19937 random;
    RolloutOrder order;
    std::vector<Daemon> daemons;
    std::vector<double> weights;
    std::priority_queue<Ending, std::vector<Ending>, std::greater<>> endings;
    std::deque<Told> messages;
    double recentShare = 0;
    std::uint64_t requests = 0;
    std::uint64_t sentToTarget = 0;
    std::uint64_t badAnswers = 0;
    std::optional<Duration> fiftiethBadAt;
    Result result;
};

Behaviour sound(bool, std::uint32_t, double, double)
{
    return {};
}

Behaviour failing(bool isTarget, std::uint32_t, double, double)
{
    return isTarget ? Behaviour {0.2, 1} : Behaviour {};
}

std::vector<Load> loads()
{
    std::vector<Load> all;
    all.push_back({"good", false, sound});
    all.push_back({"bad at once", true, failing});
    all.push_back({"bad late", true, [](bool isTarget, std::uint32_t, double elapsed, double) {
                       return isTarget && elapsed > 0.6 ? Behaviour {0.2, 1} : Behaviour {};
                   }});
    all.push_back({"bad under load", true, [](bool isTarget, std::uint32_t, double, double share) {
                       return isTarget && share > 0.3 ? Behaviour {0.3, 1} : Behaviour {};
                   }});
    all.push_back({"bad on one route", true, [](bool isTarget, std::uint32_t route, double, double) {
                       return isTarget && route == 2 ? Behaviour {0.2, 1} : Behaviour {};
                   }});
    all.push_back({"five times slower", true, [](bool isTarget, std::uint32_t, double, double) {
                       return isTarget ? Behaviour {usualFailures, 5} : Behaviour {};
                   }});
    all.push_back({"both bad", false, [](bool, std::uint32_t, double elapsed, double) {
                       return elapsed > 0.3 && elapsed < 0.5 ? Behaviour {0.3, 1} : Behaviour {};
                   }});
    all.push_back({"good, data centre partitioned", false, sound, 0, true});
    all.push_back({"bad, data centre partitioned", true, failing, 0, true});
    all.push_back({"good, 30% restarted", false, sound, 0.3});
    all.push_back({"bad late, 30% restarted", true, all[2].behaviour, 0.3});
    all.push_back({"good, store lost", false, sound, 0, false, 15s, 25s});
    all.push_back({"good, many requests", false, sound, 0, false, Duration::max(), Duration::max(), 60s, 1000});
    all.push_back({"bad at once, many requests", true, failing, 0, false, Duration::max(), Duration::max(), 60s, 1000});
    all.push_back({"good, few requests, short", false, sound, 0, false, Duration::max(), Duration::max(), 20s, 60});
    all.push_back({"bad at once, few requests, short", true, failing, 0, false, Duration::max(), Duration::max(), 20s, 60});
    return all;
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

}

// Guards against: a wrong verdict, exposure beyond the bound or requests that are cut, for each load.
TEST_CASE("rollout: 350 daemons reach the right verdict within the bounds")
{
    for (const Load &load : loads()) {
        CAPTURE(load.name);
        const Result result = Replay(load, 7).run();
        CHECK(result.state == (load.isBad ? RolloutState::RolledBack : RolloutState::Completed));
        CHECK(result.decidedAfter < load.duration);
        CHECK(result.cut == 0);
        CHECK(result.lateSends == 0);
        if (load.isBad) {
            CHECK(result.beyondBound <= 0);
        }
    }
}

// Guards against: a message that loses or changes evidence, and one without it that isn't understood.
TEST_CASE("rollout: evidence travels with load messages, and is absent from those of earlier versions")
{
    exchange::Message message;
    CHECK(exchange::decode(exchange::encode(message)) == message);
    message.load.rollouts.push_back({7, 1500ms, 300ms, 2, 1, 0});
    message.load.rolloutCounts.push_back({{7, 9}, -1.5, 2.25, 10, 1, 100, 3});
    CHECK(exchange::decode(exchange::encode(message)) == message);
    message.load.rolloutCounts.front().failureScore = 1e20;
    CHECK_FALSE(exchange::decode(exchange::encode(message)));
}

// Guards against: ages that grow as daemons tell them to each other, which would end an order early.
TEST_CASE("rollout: the age of an order stays that of the daemon that knew it first")
{
    const RolloutOrder order {"svc", "svc", "v2", 40s, 1, RolloutState::Active};
    ServiceRollout first(order, bounds, DaemonHandle {1}, start);
    ServiceRollout second(order, bounds, DaemonHandle {2}, start + 5s);
    const auto tell = [](const ServiceRollout &from, ServiceRollout &to, Time now) {
        RolloutSituation situation;
        situation.others.emplace();
        from.addTo(*situation.others, 0, now);
        situation.others->age = messageDelay;
        to.update(situation, now + messageDelay);
    };
    for (Duration elapsed = 5s; elapsed < 30s; elapsed += tickPeriod) {
        tell(first, second, start + elapsed);
        tell(second, first, start + elapsed);
    }
    CHECK(first.stats().elapsed <= 30s + messageDelay);
    CHECK(second.stats().elapsed >= 29s);
}

// Prints figures; EELGRASSNOTCH_ROLLOUT_REPLAYS sets the replays of each load, EELGRASSNOTCH_ROLLOUT_LOAD one load by its number.
TEST_CASE("rollout: figures of many replays" * doctest::skip(std::getenv("EELGRASSNOTCH_ROLLOUT_REPLAYS") == nullptr))
{
    const std::vector<Load> all = loads();
    const std::uint32_t replays = static_cast<std::uint32_t>(std::stoul(std::getenv("EELGRASSNOTCH_ROLLOUT_REPLAYS")));
    const char *only = std::getenv("EELGRASSNOTCH_ROLLOUT_LOAD");
    for (std::size_t number = 0; number < all.size(); ++number) {
        if (only != nullptr && std::stoul(only) != number) {
            continue;
        }
        const Load &load = all[number];
        std::uint32_t wrong = 0;
        std::uint32_t late = 0;
        std::uint32_t beyond = 0;
        std::uint32_t withLateSends = 0;
        std::uint64_t cut = 0;
        std::vector<double> shares;
        std::vector<double> times;
        for (std::uint32_t seed = 1; seed <= replays; ++seed) {
            const Result result = Replay(load, seed).run();
            wrong += result.state == (load.isBad ? RolloutState::RolledBack : RolloutState::Completed) ? 0 : 1;
            late += result.decidedAfter >= load.duration ? 1 : 0;
            beyond += result.beyondBound > 0 ? 1 : 0;
            withLateSends += result.lateSends > 0 ? 1 : 0;
            cut += result.cut;
            shares.push_back(result.targetShare);
            times.push_back(std::chrono::duration<double>(result.decidedAfter).count());
        }
        std::cout << "load=\"" << load.name << "\" replays=" << replays << " wrong=" << wrong << " after_deadline=" << late
                  << " beyond_bound=" << beyond << " late_sends=" << withLateSends << " cut=" << cut
                  << " share_p50=" << quantile(shares, 0.5) << " share_p99=" << quantile(shares, 0.99)
                  << " share_max=" << quantile(shares, 1) << " verdict_s_p50=" << quantile(times, 0.5)
                  << " verdict_s_p99=" << quantile(times, 0.99) << std::endl;
    }
}
