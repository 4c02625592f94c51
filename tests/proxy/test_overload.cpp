/** @file Simulates overload against the admission decision, with a model of engines that prefill prompts in order of arrival. */

#include "process/dispatch/fair_share_tracker.h"
#include "process/dispatch/request_costs.h"
#include "process/proxy/admission.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>
#include <string>
#include <vector>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process;
using namespace std::chrono_literals;

namespace
{

constexpr double tokensPerMs = 80;
constexpr std::size_t engineCount = 8;
/** Network delay of a prompt to an engine plus that of its first event back. */
constexpr Duration networkDelay = 55ms;

struct Arrival {
    Time at {0};
    double tokens = 0;
    Duration latencyTarget {0};
    double meanKindTokens = 0; ///< Mean prompt size of the request's kind; identifies the kind.
    std::uint32_t workspace = 0;
};

struct Outcome {
    std::vector<Arrival> served; ///< Requests whose first event arrived within the latency target.
    std::size_t late = 0; ///< Admitted requests that missed it.

    std::size_t servedOf(double meanKindTokens) const
    {
        return static_cast<std::size_t>(std::count_if(this->served.begin(), this->served.end(), [meanKindTokens](const Arrival &arrival) {
            return arrival.meanKindTokens == meanKindTokens;
        }));
    }
};

/** Adds requests that arrive at a constant mean rate, with log-normally distributed prompt sizes as in conversations. */
void addKind(std::vector<Arrival> &arrivals, double meanTokens, double spread, Duration latencyTarget, double perSecond, unsigned seed)
{
    constexpr Duration length = 20s;
    std::mt19937 random(seed);
    std::lognormal_distribution<double> sizes(std::log(meanTokens) - spread * spread / 2, spread);
    std::exponential_distribution<double> pauses(perSecond);
    double seconds = pauses(random);
    while (seconds < std::chrono::duration<double>(length).count()) {
        const double size = std::min(sizes(random), 8 * meanTokens);
        arrivals.push_back({std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)), size, latencyTarget, meanTokens});
        seconds += pauses(random);
    }
}

/** Model of the engines' queues, as known to all daemons together. */
class Engines
{
public:
    std::size_t leastLoaded() const
    {
        return static_cast<std::size_t>(std::min_element(this->freeAt.begin(), this->freeAt.end()) - this->freeAt.begin());
    }
    Duration queueOf(std::size_t engine, Time now) const
    {
        return std::max(this->freeAt[engine] - now, Duration(0));
    }
    /** @returns mean over the engines of the prefill time of all prompts whose first event has not arrived. */
    Duration meanQueue(Time now)
    {
        std::erase_if(this->unread, [now](const Unread &prompt) { return prompt.firstEvent <= now; });
        const auto sum = std::accumulate(this->unread.begin(), this->unread.end(), Duration(0),
                                         [](Duration total, const Unread &prompt) { return total + prompt.reading; });
        return sum / static_cast<std::int64_t>(engineCount);
    }
    /** @returns the time of the first event. */
    Time send(std::size_t engine, double tokens, Time now)
    {
        const auto reading = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(tokens / tokensPerMs));
        this->freeAt[engine] = std::max(this->freeAt[engine], now) + reading;
        this->unread.push_back({reading, this->freeAt[engine] + networkDelay});
        return this->freeAt[engine] + networkDelay;
    }

private:
    struct Unread {
        Duration reading {0};
        Time firstEvent {0};
    };
    std::vector<Time> freeAt = std::vector<Time>(engineCount);
    std::vector<Unread> unread;
};

Outcome replay(std::vector<Arrival> arrivals, bool usesCost)
{
    std::sort(arrivals.begin(), arrivals.end(), [](const Arrival &left, const Arrival &right) { return left.at < right.at; });
    dispatch::RequestCosts costs;
    Engines engines;
    Outcome outcome;
    for (const Arrival &arrival : arrivals) {
        const std::size_t engine = engines.leastLoaded();
        proxy::AdmissionInput input;
        input.queueDelay = engines.queueOf(engine, arrival.at);
        input.fleetQueueDelay = engines.meanQueue(arrival.at);
        input.latencyTarget = arrival.latencyTarget;
        input.shareUsage = {1.5, 3.0};
        const std::string route = std::to_string(arrival.meanKindTokens);
        costs.recordRequest(route, arrival.tokens, arrival.at);
        if (usesCost) {
            input.relativeCost = costs.relativeCost(arrival.tokens, arrival.at);
            input.isUnderserved = costs.isUnderserved(route, arrival.tokens, arrival.at);
        }
        if (!proxy::decideAdmission(input).isAdmitted) {
            continue;
        }
        costs.recordAdmitted(route, arrival.tokens, arrival.at);
        if (engines.send(engine, arrival.tokens, arrival.at) - arrival.at <= arrival.latencyTarget) {
            outcome.served.push_back(arrival);
        } else {
            ++outcome.late;
        }
    }
    return outcome;
}

/** Mix of three kinds of requests (consultations, chats, short tasks) whose demand is this multiple of the engines' capacity. */
std::vector<Arrival> mixedLoad(double load, unsigned seed)
{
    constexpr double meanCost = (0.25 * 6600 + 0.35 * 630 + 0.4 * 1800);
    const double perSecond = load * engineCount * tokensPerMs * 1000 / meanCost;
    std::vector<Arrival> arrivals;
    addKind(arrivals, 6600, 1.4, 800ms, 0.25 * perSecond, seed);
    addKind(arrivals, 630, 1.0, 400ms, 0.35 * perSecond, seed + 1);
    addKind(arrivals, 1800, 1.3, 500ms, 0.4 * perSecond, seed + 2);
    return arrivals;
}

}

// Admission that ignores costs spends the capacity beyond a workspace's share on few expensive requests.
TEST_CASE("beyond a workspace's share, overloaded engines serve more callers when cheap requests are admitted first")
{
    for (const double load : {1.5, 2.0, 4.0}) {
        for (const unsigned seed : {1u, 11u, 21u}) {
            const Outcome withoutCost = replay(mixedLoad(load, seed), false);
            const Outcome withCost = replay(mixedLoad(load, seed), true);
            CAPTURE(load);
            CAPTURE(seed);
            CHECK(withCost.served.size() > withoutCost.served.size());
        }
    }
}

// Favouring cheap requests must not starve the large requests of one route.
TEST_CASE("the largest tenth of a kind is served at least half as often as the kind")
{
    constexpr double load = 1.5;
    for (const unsigned seed : {1u, 11u, 21u}) {
        std::vector<Arrival> arrivals;
        addKind(arrivals, 6600, 0.7, 2s, load * engineCount * tokensPerMs * 1000 / 6600, seed);
        std::vector<double> sizes;
        sizes.reserve(arrivals.size());
        for (const Arrival &arrival : arrivals) {
            sizes.push_back(arrival.tokens);
        }
        const auto tenth = sizes.begin() + static_cast<std::ptrdiff_t>(sizes.size() * 9 / 10);
        std::nth_element(sizes.begin(), tenth, sizes.end());
        const Outcome outcome = replay(arrivals, true);
        const auto isLargest = [bound = *tenth](const Arrival &arrival) { return arrival.tokens >= bound; };
        const auto largest = static_cast<double>(std::count_if(outcome.served.begin(), outcome.served.end(), isLargest));
        const double ofKind = static_cast<double>(outcome.served.size()) / static_cast<double>(sizes.size());
        CAPTURE(seed);
        CAPTURE(ofKind);
        CHECK(largest / (static_cast<double>(sizes.size()) / 10) >= 0.5 * ofKind);
    }
}

// Favouring cheap requests must not starve an expensive route while a cheap one floods the engines.
TEST_CASE("an expensive kind is served at least a quarter as often as all requests while a cheap kind floods the engines")
{
    constexpr double expensive = 6600;
    constexpr double cheap = 630;
    const double capacity = engineCount * tokensPerMs * 1000;
    for (const unsigned seed : {1u, 11u, 21u}) {
        std::vector<Arrival> arrivals;
        addKind(arrivals, expensive, 1.0, 800ms, 0.3 * capacity / expensive, seed);
        addKind(arrivals, cheap, 1.0, 400ms, 2.0 * capacity / cheap, seed + 1);
        const auto expensiveRequests = static_cast<double>(
            std::count_if(arrivals.begin(), arrivals.end(), [](const Arrival &arrival) { return arrival.meanKindTokens == expensive; }));
        const Outcome outcome = replay(arrivals, true);
        const double servedFraction = static_cast<double>(outcome.served.size()) / static_cast<double>(arrivals.size());
        CAPTURE(seed);
        CAPTURE(servedFraction);
        CHECK(static_cast<double>(outcome.servedOf(expensive)) / expensiveRequests >= 0.25 * servedFraction);
    }
}

// Two workspaces over their guaranteed shares: the one that floods with cheap requests must not crowd out the other.
TEST_CASE("a workspace beyond its guaranteed share gets at least half as much as one that floods with cheap requests")
{
    constexpr std::uint32_t moderate = 1;
    constexpr std::uint32_t flood = 2;
    constexpr std::uint32_t withinShare = 3;
    constexpr Duration sharePeriod = 200ms;
    const double capacity = engineCount * tokensPerMs * 1000;
    for (const unsigned seed : {1u, 11u, 21u}) {
        std::vector<Arrival> arrivals;
        const auto addWorkspace = [&arrivals](std::uint32_t workspace, double meanTokens, double load, unsigned workspaceSeed) {
            const std::size_t begin = arrivals.size();
            addKind(arrivals, meanTokens, 1.0, 600ms, load * engineCount * tokensPerMs * 1000 / meanTokens, workspaceSeed);
            std::for_each(arrivals.begin() + static_cast<std::ptrdiff_t>(begin), arrivals.end(),
                          [workspace](Arrival &arrival) { arrival.workspace = workspace; });
        };
        addWorkspace(moderate, 3000, 0.8, seed);
        addWorkspace(flood, 630, 4.0, seed + 1);
        addWorkspace(withinShare, 1800, 0.1, seed + 2);
        std::sort(arrivals.begin(), arrivals.end(), [](const Arrival &left, const Arrival &right) { return left.at < right.at; });

        dispatch::FairShareTracker shares;
        dispatch::RequestCosts costs;
        Engines engines;
        std::array<double, 4> admittedTokens {};
        Time nextUpdate {0};
        for (const Arrival &arrival : arrivals) {
            if (arrival.at >= nextUpdate) {
                shares.update({}, {capacity / 4, capacity}, costs.meanCost(arrival.at), arrival.at);
                nextUpdate = arrival.at + sharePeriod;
            }
            const WorkspaceHandle workspace {arrival.workspace};
            const std::string route = std::to_string(arrival.meanKindTokens);
            shares.recordDemand(workspace, arrival.tokens, arrival.at);
            costs.recordRequest(route, arrival.tokens, arrival.at);
            const std::size_t engine = engines.leastLoaded();
            proxy::AdmissionInput input;
            input.queueDelay = engines.queueOf(engine, arrival.at);
            input.fleetQueueDelay = engines.meanQueue(arrival.at);
            input.latencyTarget = arrival.latencyTarget;
            input.shareUsage = shares.shareUsage(workspace, arrival.at);
            input.relativeCost = costs.relativeCost(arrival.tokens, arrival.at);
            input.isUnderserved = costs.isUnderserved(route, arrival.tokens, arrival.at);
            if (!proxy::decideAdmission(input).isAdmitted) {
                continue;
            }
            shares.recordServed(workspace, arrival.tokens, arrival.at);
            costs.recordAdmitted(route, arrival.tokens, arrival.at);
            engines.send(engine, arrival.tokens, arrival.at);
            admittedTokens[arrival.workspace] += arrival.tokens;
        }
        CAPTURE(seed);
        CAPTURE(admittedTokens[moderate]);
        CAPTURE(admittedTokens[flood]);
        CHECK(admittedTokens[moderate] >= 0.5 * admittedTokens[flood]);
        CHECK(admittedTokens[moderate] + admittedTokens[flood] >= 0.7 * 20 * capacity);
    }
}

// Guards against queue limits that leave the free capacity to the workspace that asks for it most often.
TEST_CASE("beyond their guaranteed shares, a workspace far below its share of what is served waits longer than one above it")
{
    proxy::AdmissionInput behind;
    behind.latencyTarget = 500ms;
    behind.fleetQueueDelay = 100ms;
    behind.shareUsage = {0.5, 1.4};
    CHECK(proxy::decideAdmission(behind).isAdmitted);
    proxy::AdmissionInput ahead = behind;
    ahead.shareUsage = {1.3, 3.6};
    CHECK_FALSE(proxy::decideAdmission(ahead).isAdmitted);
    // Nobody is below a share while all demands are met; what is beyond the guaranteed share then waits behind the rest.
    proxy::AdmissionInput unlimited = behind;
    unlimited.shareUsage = {0, 1.4};
    CHECK_FALSE(proxy::decideAdmission(unlimited).isAdmitted);
    Duration before = proxy::decideAdmission(behind).maxFleetQueueDelay;
    for (const double used : {0.6, 0.7, 0.8, 0.9, 1.0, 1.2}) {
        proxy::AdmissionInput input = behind;
        input.shareUsage.ofServed = used;
        CHECK(proxy::decideAdmission(input).maxFleetQueueDelay <= before);
        before = proxy::decideAdmission(input).maxFleetQueueDelay;
    }
}

TEST_CASE("cost changes nothing within a workspace's share")
{
    for (const Duration queue : {50ms, 150ms, 290ms, 310ms, 400ms}) {
        proxy::AdmissionInput input;
        input.latencyTarget = 400ms;
        input.fleetQueueDelay = queue;
        const auto decision = proxy::decideAdmission(input);
        for (const double relativeCost : {0.01, 0.5, 4.0, 100.0}) {
            input.relativeCost = relativeCost;
            CHECK(proxy::decideAdmission(input) == decision);
        }
    }
}
