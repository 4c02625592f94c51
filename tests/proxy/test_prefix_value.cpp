/** @file What a cached prefix is worth: placement with learnt speeds, memory and cached fractions, without I/O or a clock. */

#include "process/dispatch/placement.h"
#include "process/dispatch/prefix_cache_model.h"
#include "process/dispatch/prefix_value.h"
#include "process/rendezvous.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process;
using namespace std::chrono_literals;

namespace
{

/** @returns candidates with pseudo-random states that depend on the seed only. */
std::vector<dispatch::Candidate> makeVariedCandidates(std::size_t count, std::uint64_t seed)
{
    std::vector<dispatch::Candidate> candidates(count);
    for (std::size_t index = 0; index < count; ++index) {
        const std::uint64_t bits = mixBits(seed + index + 1);
        dispatch::Candidate &candidate = candidates[index];
        candidate.backend = hashName("engine-" + std::to_string(index));
        candidate.isUsable = bits % 10 != 0;
        candidate.isEligible = candidate.isUsable || bits % 20 == 0;
        candidate.isInRegion = index % 3 == 0;
        candidate.isInDataCentre = index % 6 == 0;
        candidate.roundTrip = candidate.isInRegion ? 1ms : 17ms;
        candidate.queueDelay = std::chrono::microseconds((bits >> 8) % 90000);
        candidate.queueDelayFromOthers = std::chrono::microseconds((bits >> 28) % 90000);
        candidate.cachedTokens = (bits >> 48) % 5 == 0 ? 2520 : 0;
        candidate.failureRate = (bits >> 52) % 7 == 0 ? 0.1 : 0.0;
    }
    return candidates;
}

}

TEST_CASE("nothing changes until enough requests were seen, nor for short prefixes and prompts without one")
{
    // Guards against fewer homes at a daemon that knows nothing, and on services without shared prefixes.
    const dispatch::PrefixFleet fleet {80, 112, 300000};
    dispatch::PrefixValue value;
    CHECK(value.belief(7, 6300, 2900, fleet, 100s) == dispatch::PrefixBelief());
    for (std::uint64_t request = 1; request <= 1000; ++request) {
        value.recordRequest(mixBits(request), 100s);
        value.recordSent(4000, 100s);
    }
    CHECK(value.belief(7, 6300, 2900, fleet, 100s) != dispatch::PrefixBelief());
    CHECK(value.belief(7, 568, 1800, fleet, 100s) == dispatch::PrefixBelief());
    CHECK(value.belief(0, 0, 9000, fleet, 100s) == dispatch::PrefixBelief());
    CHECK(value.belief(7, 6300, 2900, fleet, 200s) == dispatch::PrefixBelief());
}

TEST_CASE("a popular prefix has all homes, and a rare one has two and is believed cached for a bounded time")
{
    // Guards against copies of rare prefixes that displace each other, and against popular ones that share two engines.
    const dispatch::PrefixFleet fleet {80, 112, 300000};
    dispatch::PrefixValue value;
    for (std::uint64_t request = 1; request <= 20000; ++request) {
        const Time now = 100s + request * 10ms;
        value.recordRequest(request % 10 == 0 ? 7 : mixBits(request), now);
        value.recordSent(3000, now);
    }
    const Time end = 300s;
    CHECK(value.belief(7, 6300, 2900, fleet, end) == dispatch::PrefixBelief {4, Time::min()});
    const auto rare = value.belief(8, 6300, 2900, fleet, end);
    CHECK(rare.homeCount == 2);
    // Each engine reads 214,286 tokens/s, so that its memory lasts for 1.4 s, of which a part counts.
    CHECK(rare.usedSince > end - 250ms);
    CHECK(rare.usedSince < end - 150ms);
}

TEST_CASE("the demands that are kept are bounded, and popular ones stay")
{
    // Guards against a caller that sends a new prefix with each request: memory grows, or popular prefixes are forgotten.
    const dispatch::PrefixFleet fleet {80, 112, 300000};
    dispatch::PrefixValue value;
    for (std::uint64_t request = 1; request <= 20000; ++request) {
        value.recordRequest(request % 20 == 0 ? 7 : mixBits(request), 100s);
        CHECK(value.demandCount() <= 4096);
    }
    CHECK(value.belief(7, 6300, 2900, fleet, 100s).homeCount == 4);
}

TEST_CASE("a cached part counts only when it was sent recently enough")
{
    // Guards against beliefs that outlive the engine's cache.
    dispatch::PrefixCacheModel cache(20000);
    const request::Prompt prompt {9000, 50, {{1, 2500}, {2, 3800}, {3, 2700}}};
    cache.recordPrompt(prompt, 10s);
    cache.recordPrompt({5200, 50, {{1, 2500}, {4, 2700}}}, 12s);
    CHECK(cache.cachedTokens(prompt) == 9000);
    CHECK(cache.cachedTokens(prompt, 10s) == 9000);
    CHECK(cache.cachedTokens(prompt, 11s) == 2500);
    CHECK(cache.cachedTokens(prompt, 13s) == 0);
}

// Guards against a prompt of one long part that makes a daemon evict thousands of short ones in one step (as in review case 6).
TEST_CASE("a prompt evicts a number of parts that grows with its own, and the cache's bound is met by the next ones")
{
    constexpr std::uint32_t capacity = 10'000;
    dispatch::PrefixCacheModel cache(capacity);
    for (std::uint64_t part = 0; part < capacity; ++part) {
        cache.recordPrompt({1, 50, {{part, 1}}}, 10s);
    }
    CHECK(cache.partCount() == capacity);
    cache.recordPrompt({capacity, 50, {{capacity, capacity}}}, 11s);
    CHECK(cache.partCount() >= capacity - 1000);
    for (std::uint64_t prompt = 1; prompt <= 100; ++prompt) {
        cache.recordPrompt({1, 50, {{capacity + prompt, 1}}}, 12s);
    }
    CHECK(cache.partCount() <= 101);
}

TEST_CASE("placement with unknown speeds and memory is the placement with compiled-in constants")
{
    // Guards against defaults that move traffic on deployments where nothing was learnt. The checksum was computed with the constants.
    std::uint64_t checksum = 0;
    for (std::uint64_t round = 0; round < 2000; ++round) {
        const auto candidates = makeVariedCandidates(1 + round % 112, round << 20);
        const std::uint64_t session = round % 4 == 0 ? 0 : mixBits(round % 300);
        const std::uint32_t shared = session == 0 ? 0 : (round % 3 == 0 ? 6300 : 568);
        const auto placed = dispatch::place({shared + 1800, shared, session, 4700, mixBits(round)}, candidates);
        const std::uint64_t result = !placed ? 1
                                             : placed->index ^ static_cast<std::uint64_t>(placed->firstEventDelay.count()) << 8
                ^ static_cast<std::uint64_t>(placed->uncachedTokens) << 32 ^ (placed->fetchSource.value_or(127) << 48)
                ^ (placed->isHome ? std::uint64_t(1) << 60 : 0);
        checksum = mixBits(checksum ^ result);
    }
    CHECK(checksum == 0x43ee7796b3d4896b);
}

TEST_CASE("a slow engine and one without free memory are avoided by as much as they cost")
{
    // Guards against engines that are chosen as if they were fast and empty.
    std::vector<dispatch::Candidate> candidates(2);
    candidates[0].backend = 1;
    candidates[1].backend = 2;
    const dispatch::PlacementRequest request {2400, 0, 0, 4700, 1, 100};
    candidates[0].prefillTokensPerMs = 60;
    CHECK(dispatch::place(request, candidates)->index == 1);
    candidates[1].queueDelay = 15ms; // Prefill takes 13.9 ms longer at the slow engine.
    CHECK(dispatch::place(request, candidates)->index == 0);
    candidates[0].firstEventOverhead = 56ms;
    CHECK(dispatch::place(request, candidates)->firstEventDelay == 40ms + 56ms);
    candidates[0].firstEventOverhead = 60ms;
    CHECK(dispatch::place(request, candidates)->index == 1);
    candidates[0].firstEventOverhead = dispatch::firstEventOverhead;
    candidates[0].freeMemoryTokens = 2499;
    CHECK(dispatch::place(request, candidates)->index == 1);
    candidates[1].freeMemoryTokens = 0;
    CHECK(dispatch::place(request, candidates)->index == 0);
}

namespace
{

// Constants of the replays, from the first deployment of docs/design/hard-load.md, at 0.8 of its load.
constexpr double fullEngineCount = 112;
constexpr std::size_t slotCount = 16;
constexpr double engineMemory = 314564;
constexpr double baseTokensPerMs = 74.8;
constexpr double slowEngineFactor = 1.3;
constexpr double busyMachineFactor = 2.5;
constexpr Duration busySpan = 600ms;
constexpr Duration overhead = 55ms;
constexpr Duration step = 7ms;
constexpr std::int64_t tokensPerEvent = 6;
constexpr std::size_t bytesPerToken = 2;
/** Part of the prefill time that copying a prefix takes, and the time besides. */
constexpr double copyFraction = 0.1;
constexpr Duration copyOverhead = 5ms;
constexpr Duration loadTick = 100ms;
constexpr std::size_t loadAgeTicks = 4;
constexpr double usableCacheFraction = 0.8;
constexpr double loadScale = 0.8;
constexpr Time warmUp = 9s;
constexpr Time replayEnd = 17s;

/** Requests with two shared parts. */
struct Traffic {
    double perSecond = 0;
    std::size_t firstParts = 0;
    std::uint32_t firstTokens = 0;
    std::size_t secondParts = 0;
    std::uint32_t secondTokens = 0;
    std::uint32_t ownTokens = 0;
    std::uint32_t events = 0;
    Duration target {0};
    double skew = 0.3; ///< The nth second part is requested in proportion to n to the power of minus this.
};

struct Load {
    std::string name;
    std::vector<Traffic> traffic;
    double memory = engineMemory;
    double popularShare = 0; ///< Part of the first traffic that goes to one prefix.
    bool restarts = false; ///< A quarter of the engines restart in the middle.
    bool hasVerySlowEngines = false; ///< Each eighth engine takes three times as long.
    std::size_t engines = 112;
    std::size_t daemons = 80; ///< The traffic is scaled with the engines.
};

/** What a rule adds to the rule without learning. */
struct Rule {
    bool countsHomes = false;
    bool agesBeliefs = false;
};

struct Outcome {
    double requests = 0;
    double readAgain = 0; ///< Shared tokens that were prefilled.
    double shared = 0;
    double inTime = 0;
    std::vector<Duration> firstEvents;

    Duration percentile(double fraction)
    {
        const auto position
            = this->firstEvents.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(this->firstEvents.size() - 1));
        std::nth_element(this->firstEvents.begin(), position, this->firstEvents.end());
        return *position;
    }
};

class Replay
{
public:
    Replay(const Load &replayedLoad, const Rule &usedRule, unsigned seed)
        : load(replayedLoad)
        , rule(usedRule)
        , random(seed)
        , engines(replayedLoad.engines, Engine(static_cast<std::uint64_t>(replayedLoad.memory)))
        , daemons(replayedLoad.daemons, Daemon(replayedLoad))
    {
        for (std::size_t index = 0; index < this->load.engines; ++index) {
            this->engines[index].handle = hashName("engine-" + std::to_string(index));
            this->engines[index].factor = index % 3 == 0 ? slowEngineFactor : 1.0;
            if (this->load.hasVerySlowEngines && index % 8 == 1) {
                this->engines[index].factor = 3.0;
            }
        }
        this->candidates.resize(this->load.engines);
    }

    Outcome run()
    {
        std::vector<std::discrete_distribution<std::size_t>> secondParts;
        double total = 0;
        std::vector<double> rates;
        for (const Traffic &traffic : this->load.traffic) {
            std::vector<double> weights;
            for (std::size_t part = 1; part <= traffic.secondParts; ++part) {
                weights.push_back(std::pow(static_cast<double>(part), -traffic.skew));
            }
            secondParts.emplace_back(weights.begin(), weights.end());
            rates.push_back(traffic.perSecond);
            total += loadScale * traffic.perSecond * static_cast<double>(this->load.engines) / fullEngineCount;
        }
        std::discrete_distribution<std::size_t> kinds(rates.begin(), rates.end());
        std::exponential_distribution<double> pauses(total);
        std::uniform_int_distribution<std::size_t> anyDaemon(0, this->load.daemons - 1);
        std::uniform_real_distribution<double> fraction(0, 1);
        double seconds = 0;
        std::uint64_t number = 0;
        bool hasRestarted = !this->load.restarts;
        while (true) {
            seconds += pauses(this->random);
            const Time now(static_cast<std::int64_t>(seconds * 1e6));
            if (now >= replayEnd) {
                break;
            }
            this->advance(now);
            if (!hasRestarted && now >= (warmUp + replayEnd) / 2) {
                hasRestarted = true;
                for (std::size_t index = 0; index < this->load.engines; index += 4) {
                    this->engines[index].cache.clear();
                    for (Daemon &daemon : this->daemons) {
                        daemon.engines[index].cache.clear();
                    }
                }
            }
            const std::size_t kind = kinds(this->random);
            const Traffic &traffic = this->load.traffic[kind];
            std::size_t second = secondParts[kind](this->random);
            if (kind == 0 && fraction(this->random) < this->load.popularShare) {
                second = 0;
            }
            request::Prompt prompt;
            prompt.tokens = traffic.firstTokens + traffic.secondTokens + traffic.ownTokens;
            prompt.parts = {{mixBits(kind * 1000003 + second % traffic.firstParts + 1), traffic.firstTokens},
                            {mixBits((kind + 7) * 1000003 + second + 1), traffic.secondTokens},
                            {mixBits(++number << 24), traffic.ownTokens}};
            this->send(prompt, traffic, this->daemons[anyDaemon(this->random)], now, mixBits(number));
        }
        return std::move(this->outcome);
    }

private:
    struct Engine {
        explicit Engine(std::uint64_t memory)
            : cache(memory)
        {
        }
        std::uint32_t handle = 0;
        double factor = 1;
        dispatch::PrefixCacheModel cache;
        Time freeAt {0};
        std::priority_queue<Time, std::vector<Time>, std::greater<>> slots;
        double pendingTokens = 0;
    };
    struct Knowledge {
        explicit Knowledge(std::uint64_t memory)
            : cache(memory)
        {
        }
        dispatch::PrefixCacheModel cache;
        dispatch::DecayingAverage excessDelay {0.3, 400ms};
        dispatch::DecayingSum firstEvents {400ms};
        double pendingTokens = 0;
        std::deque<double> pendingAtTicks;
    };
    struct Daemon {
        explicit Daemon(const Load &load)
            : engines(load.engines, Knowledge(static_cast<std::uint64_t>(load.memory * usableCacheFraction)))
        {
        }
        std::vector<Knowledge> engines;
        dispatch::PrefixValue value;
    };
    struct FirstEvent {
        Time at {0};
        Time sentAt {0};
        Daemon *daemon = nullptr;
        std::size_t engine = 0;
        dispatch::Placement placement;

        bool operator>(const FirstEvent &other) const
        {
            return this->at > other.at;
        }
    };

    void advance(Time now)
    {
        while (!this->events.empty() && this->events.top().at <= now) {
            const FirstEvent &event = this->events.top();
            Knowledge &known = event.daemon->engines[event.engine];
            known.pendingTokens -= event.placement.uncachedTokens;
            this->engines[event.engine].pendingTokens -= event.placement.uncachedTokens;
            const Duration sinceSent = event.at - event.sentAt;
            const Duration undelayed = event.placement.firstEventDelay - event.placement.queueDelay;
            known.excessDelay.add(static_cast<double>(std::max<std::int64_t>((sinceSent - undelayed).count(), 0)), event.at);
            known.firstEvents.add(1.0, event.at);
            this->events.pop();
        }
        while (this->nextTick <= now) {
            std::vector<double> pending;
            for (const Engine &engine : this->engines) {
                pending.push_back(engine.pendingTokens);
            }
            this->pendingAtTicks.push_back(std::move(pending));
            if (this->pendingAtTicks.size() > loadAgeTicks) {
                this->pendingAtTicks.pop_front();
            }
            this->nextTick += loadTick;
        }
    }

    void send(const request::Prompt &prompt, const Traffic &traffic, Daemon &daemon, Time now, std::uint64_t draw)
    {
        daemon.value.recordRequest(prompt.sharedPrefixId(), now);
        const dispatch::PrefixFleet fleet {static_cast<double>(this->load.daemons), static_cast<double>(this->load.engines),
                                           this->load.memory, baseTokensPerMs};
        const dispatch::PrefixBelief belief
            = daemon.value.belief(prompt.sharedPrefixId(), prompt.sharedTokens(), traffic.ownTokens, fleet, now);
        const Time usedSince = this->rule.agesBeliefs ? belief.usedSince : Time::min();
        for (std::size_t index = 0; index < this->load.engines; ++index) {
            Knowledge &known = daemon.engines[index];
            dispatch::Candidate &candidate = this->candidates[index];
            candidate = {};
            candidate.backend = this->engines[index].handle;
            candidate.prefillTokensPerMs = baseTokensPerMs;
            candidate.isInRegion = (index + (&daemon - this->daemons.data())) % 3 == 0;
            candidate.isInDataCentre = (index + (&daemon - this->daemons.data())) % 6 == 0;
            candidate.roundTrip = candidate.isInRegion ? 1ms : 17ms;
            candidate.ownPrefillDelay = dispatch::prefillTime(known.pendingTokens, baseTokensPerMs);
            candidate.queueDelay = Duration(static_cast<std::int64_t>(known.excessDelay.value(now))) + candidate.ownPrefillDelay;
            const double weight = 1.0 / (1.0 + known.firstEvents.value(now));
            const double others = this->pendingAtTicks.empty() ? 0 : this->pendingAtTicks.front()[index];
            candidate.queueDelayFromOthers = dispatch::prefillTime(others * weight, baseTokensPerMs) + candidate.ownPrefillDelay;
            candidate.cachedTokens = known.cache.cachedTokens(prompt, usedSince);
        }
        dispatch::PlacementRequest request {prompt.tokens, prompt.sharedTokens(), prompt.sharedPrefixId(), bytesPerToken * prompt.tokens,
                                            draw};
        request.homeCount = this->rule.countsHomes ? belief.homeCount : dispatch::defaultHomeCount;
        Duration fleetQueue {0};
        for (const dispatch::Candidate &candidate : this->candidates) {
            fleetQueue += candidate.queueDelayFromOthers / static_cast<std::int64_t>(this->load.engines);
        }
        if (const auto placement = dispatch::place(request, this->candidates)) {
            if (std::max(placement->queueDelay, fleetQueue) > traffic.target * 65 / 100) {
                this->outcome.requests += now >= warmUp ? 1 : 0;
                return;
            }
            this->execute(prompt, traffic, daemon, *placement, now);
        }
    }

    void execute(const request::Prompt &prompt, const Traffic &traffic, Daemon &daemon, const dispatch::Placement &placement, Time now)
    {
        Engine &engine = this->engines[placement.index];
        Knowledge &known = daemon.engines[placement.index];
        const Duration oneWay = this->candidates[placement.index].roundTrip / 2;
        Time start = std::max(now + oneWay, engine.freeAt);
        while (!engine.slots.empty() && engine.slots.top() <= start) {
            engine.slots.pop();
        }
        if (engine.slots.size() >= slotCount) {
            start = std::max(start, engine.slots.top());
            engine.slots.pop();
        }
        const std::uint32_t shared = prompt.sharedTokens();
        const std::uint32_t cached = std::min(engine.cache.cachedTokens(prompt), shared);
        const std::uint32_t copied = placement.fetchSource
            ? std::max(cached, std::min(this->engines[*placement.fetchSource].cache.cachedTokens(prompt), shared))
            : cached;
        const bool isBusy = mixBits(placement.index * 7919 + static_cast<std::uint64_t>(start / busySpan)) % 100 < 15;
        const double slowness = engine.factor * (isBusy ? busyMachineFactor : 1.0);
        const auto work
            = [slowness](Duration time) { return Duration(static_cast<std::int64_t>(static_cast<double>(time.count()) * slowness)); };
        const Duration copyTime
            = copied > cached ? copyOverhead + dispatch::prefillTime(copyFraction * (copied - cached), baseTokensPerMs) : Duration(0);
        engine.freeAt = start + work(dispatch::prefillTime(prompt.tokens - copied, baseTokensPerMs));
        const Time firstEvent = engine.freeAt + copyTime + work(overhead) + oneWay;
        engine.slots.push(firstEvent + work(step * static_cast<std::int64_t>(traffic.events) * tokensPerEvent));
        engine.cache.recordPrompt(prompt);
        engine.pendingTokens += placement.uncachedTokens;
        known.pendingTokens += placement.uncachedTokens;
        known.cache.recordPrompt(prompt, now);
        this->events.push({firstEvent, now, &daemon, placement.index, placement});
        daemon.value.recordSent(placement.uncachedTokens, now);
        if (now >= warmUp) {
            ++this->outcome.requests;
            this->outcome.shared += shared;
            this->outcome.readAgain += shared - copied;
            this->outcome.inTime += firstEvent - now <= traffic.target ? 1 : 0;
            this->outcome.firstEvents.push_back(firstEvent - now);
        }
    }

    Load load;
    Rule rule;
    std::mt19937_64 random;
    std::vector<Engine> engines;
    std::vector<Daemon> daemons;
    std::vector<dispatch::Candidate> candidates;
    std::priority_queue<FirstEvent, std::vector<FirstEvent>, std::greater<>> events;
    std::deque<std::vector<double>> pendingAtTicks;
    Time nextTick {0};
    Outcome outcome;
};

const Traffic longPrompts {824, 4, 2520, 2883, 3780, 2890, 9, 600ms};
const Traffic middlePrompts {901, 80, 341, 1402, 227, 1800, 4, 500ms};

/** @returns the traffic with this many second parts instead. */
Traffic withSecondParts(Traffic traffic, std::size_t firstParts, std::size_t secondParts)
{
    traffic.firstParts = firstParts;
    traffic.secondParts = secondParts;
    return traffic;
}

std::vector<Load> makeLoads()
{
    return {
        {"mix", {longPrompts, middlePrompts}},
        {"popular", {longPrompts, middlePrompts}, engineMemory, 0.25},
        {"four", {withSecondParts(longPrompts, 4, 4), middlePrompts}},
        {"sessions", {withSecondParts(longPrompts, 4, 12000), middlePrompts}},
        {"restart", {longPrompts, middlePrompts}, engineMemory, 0, true},
        {"slow", {longPrompts, middlePrompts}, engineMemory, 0, false, true},
        {"full", {longPrompts, middlePrompts}, engineMemory / 3},
        {"small",
         {withSecondParts(longPrompts, 4, 2883 / 6), withSecondParts(middlePrompts, 80, 1402 / 6)},
         engineMemory,
         0,
         false,
         false,
         18,
         7},
    };
}

}

TEST_CASE("learnt homes and beliefs read fewer tokens again and keep more requests within the target")
{
    // Guards against a rule that gains on one load and loses on another.
    constexpr unsigned seed = 1;
    const auto loads = makeLoads();
    for (const std::string name : {"mix", "full", "four"}) {
        const Load &load = *std::find_if(loads.begin(), loads.end(), [&name](const Load &other) { return other.name == name; });
        const Outcome before = Replay(load, {}, seed).run();
        const Outcome after = Replay(load, {true, true}, seed).run();
        CAPTURE(name);
        CHECK(after.readAgain <= before.readAgain * (name == "four" ? 1.02 : 0.96));
        CHECK(after.inTime / after.requests > before.inTime / before.requests - (name == "four" ? 0.003 : 0.0));
    }
}

TEST_CASE("figures of all loads" * doctest::skip())
{
    // Prints the table of docs/design/prefix-value.md; it is run with --no-skip, as it takes a minute.
    for (const Load &load : makeLoads()) {
        for (const unsigned seed : {1U, 2U, 3U}) {
            for (const Rule &rule : {Rule {}, Rule {true, false}, Rule {false, true}, Rule {true, true}}) {
                Outcome outcome = Replay(load, rule, seed).run();
                MESSAGE(load.name << " seed=" << seed << " homes=" << rule.countsHomes << " ages=" << rule.agesBeliefs << " read_again="
                                  << outcome.readAgain / outcome.shared << " per_request=" << outcome.readAgain / outcome.requests
                                  << " median_ms=" << outcome.percentile(0.5) / 1ms << " p95_ms=" << outcome.percentile(0.95) / 1ms
                                  << " in_time=" << outcome.inTime / outcome.requests);
            }
        }
    }
}
