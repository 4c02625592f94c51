/** @file Placement, fair shares, retry limits and admission of requests, without I/O or a clock. */

#include "process/dispatch/cold_quota.h"
#include "process/dispatch/fair_share_tracker.h"
#include "process/dispatch/placement.h"
#include "process/dispatch/prefix_cache_model.h"
#include "process/proxy/admission.h"
#include "process/rendezvous.h"
#include "request/retry_budget.h"

#include <doctest/doctest.h>

#include <cmath>
#include <map>
#include <string>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process;
using namespace std::chrono_literals;

namespace
{

std::vector<DaemonHandle> makeDaemons(std::size_t count)
{
    std::vector<DaemonHandle> daemons;
    for (std::size_t index = 0; index < count; ++index) {
        daemons.push_back(handleOf<DaemonHandle>("daemon-" + std::to_string(index)));
    }
    return daemons;
}

request::Prompt makePrompt(std::uint64_t session, std::uint64_t own)
{
    return {9000, 50, {{1, 2500}, {session, 3800}, {own, 2700}}};
}

constexpr Time start = 100s;

}

TEST_CASE("quotas of a cold backend server's limit add up to the limit for any number of daemons")
{
    for (const std::size_t count : {1u, 6u, 7u, 69u, 350u}) {
        const auto daemons = makeDaemons(count);
        for (const std::uint32_t backend : {hashName("a"), hashName("b")}) {
            std::uint32_t sum = 0;
            for (const DaemonHandle daemon : daemons) {
                sum += dispatch::coldQuota(38, daemon, daemons, backend);
            }
            CHECK(sum == 38);
        }
    }
}

TEST_CASE("a daemon that is missing from the list counts itself")
{
    const auto daemons = makeDaemons(4);
    CHECK(dispatch::coldQuota(10, handleOf<DaemonHandle>("stranger"), daemons, 7) <= 2);
}

TEST_CASE("retries stay within the limit of the fleet while every request fails")
{
    constexpr std::size_t daemonCount = 6;
    constexpr double ratio = 0.2;
    constexpr double burst = 52;
    request::RetryBudget allowance(ratio, burst / daemonCount);
    int requests = 0;
    int retries = 0;
    for (Time now = start; now < start + 10s; now += 100ms) {
        allowance.countRequest();
        ++requests;
        while (allowance.spend()) {
            ++retries;
        }
    }
    CHECK(retries > 0);
    CHECK(retries * daemonCount <= ratio * requests * daemonCount + burst);
}

TEST_CASE("a prompt part counts as cached only while all parts before it are cached")
{
    dispatch::PrefixCacheModel cache(20000);
    const auto prompt = makePrompt(10, 100);
    CHECK(cache.cachedTokens(prompt) == 0);
    cache.recordPrompt(prompt);
    CHECK(cache.cachedTokens(makePrompt(10, 101)) == 6300);
    CHECK(cache.cachedTokens(makePrompt(11, 102)) == 2500);
    for (std::uint64_t own = 200; own < 210; ++own) {
        cache.recordPrompt(makePrompt(20 + own, own));
    }
    CHECK(cache.cachedTokens(makePrompt(10, 103)) == 2500);
    cache.clear();
    CHECK(cache.cachedTokens(prompt) == 0);
}

TEST_CASE("the max-min share satisfies small demands first")
{
    CHECK(std::isinf(dispatch::maxMinShare({1, 2, 3}, 6)));
    CHECK(dispatch::maxMinShare({1, 2, 30}, 9) == doctest::Approx(6));
    CHECK(dispatch::maxMinShare({10, 10, 10}, 9) == doctest::Approx(3));
}

TEST_CASE("a flooding workspace exceeds its fair share, also when it sends through other daemons")
{
    const auto flood = handleOf<WorkspaceHandle>("flood");
    const auto small = handleOf<WorkspaceHandle>("small");
    dispatch::FairShareTracker here;
    for (Time now = start; now < start + 6s; now += 10ms) {
        here.recordDemand(small, 100, now);
        here.recordServed(small, 60, now);
        here.recordDemand(flood, 800, now);
        here.recordServed(flood, 100, now);
    }
    const Time now = start + 6s;
    // At other daemons, a third workspace demands up to its fair share and gets little of it, since the flood uses the capacity.
    here.update({{{flood.id, 200000, 80000}, {handleOf<WorkspaceHandle>("starved").id, 60000, 20000}}, {}, 1}, {}, 100, now);
    CHECK(here.shareUsage(flood, now).ofServed > 1.1);
    CHECK(here.shareUsage(small, now).ofServed < 0.8);
}

TEST_CASE("workspaces above the guaranteed throughput are still distinguished by their served throughput")
{
    // Guards against equal treatment of workspaces when the fleet serves twice the guaranteed throughput: one workspace gets ten times
    // its fair share of the guarantee, another one 1.8 times.
    const auto flood = handleOf<WorkspaceHandle>("flood");
    const auto moderate = handleOf<WorkspaceHandle>("moderate");
    dispatch::FairShareTracker shares;
    for (Time now = start; now < start + 6s; now += 10ms) {
        shares.recordDemand(flood, 14000, now);
        shares.recordServed(flood, 5900, now);
        shares.recordDemand(moderate, 2400, now);
        shares.recordServed(moderate, 1100, now);
    }
    const Time now = start + 6s;
    shares.update({}, {120000, 0}, 100, now);
    CHECK(shares.shareUsage(moderate, now).ofGuaranteed > 1.1);
    CHECK(shares.shareUsage(moderate, now).ofServed < 0.8);
    CHECK(shares.shareUsage(flood, now).ofServed > 1.1);

    proxy::AdmissionInput input;
    input.latencyTarget = 400ms;
    input.queueDelay = 40ms;
    input.shareUsage = shares.shareUsage(moderate, now);
    CHECK(proxy::decideAdmission(input).isAdmitted);
    input.shareUsage = shares.shareUsage(flood, now);
    CHECK_FALSE(proxy::decideAdmission(input).isAdmitted);
}

TEST_CASE("daemons choose the same home for a session without communication")
{
    std::vector<dispatch::Candidate> candidates(9);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        candidates[index].backend = hashName("backend-" + std::to_string(index));
        candidates[index].isInDataCentre = index < 3;
        candidates[index].isInRegion = index < 3;
        candidates[index].roundTrip = index < 3 ? 1ms : 17ms;
    }
    std::vector<dispatch::Candidate> seenElsewhere = candidates;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        seenElsewhere[index].isInDataCentre = seenElsewhere[index].isInRegion = index >= 6;
        seenElsewhere[index].roundTrip = index >= 6 ? 1ms : 17ms;
    }
    for (std::uint64_t session = 1; session <= 50; ++session) {
        const dispatch::PlacementRequest request {9190, 6300, session, 18000};
        const auto here = dispatch::place(request, candidates);
        const auto there = dispatch::place(request, seenElsewhere);
        REQUIRE(here);
        CHECK(here->isHome);
        CHECK(here->index == there->index);
    }
}

TEST_CASE("a request leaves a loaded home, and one with a short shared prefix stays in its region otherwise")
{
    std::vector<dispatch::Candidate> candidates(2);
    candidates[0].backend = 1;
    candidates[1].backend = 2;
    candidates[1].isInDataCentre = candidates[1].isInRegion = false;
    candidates[1].roundTrip = 17ms;
    for (std::uint64_t session = 1; session <= 20; ++session) {
        const auto placed = dispatch::place({2368, 90, session, 4700}, candidates);
        REQUIRE(placed);
        CHECK(placed->index == 0);
    }
    candidates[0].queueDelay = 300ms;
    const auto placed = dispatch::place({2368, 90, 3, 4700}, candidates);
    REQUIRE(placed);
    CHECK(placed->index == 1);
    candidates[1].isUsable = false;
    CHECK(dispatch::place({2368, 90, 3, 4700}, candidates)->index == 0);
    candidates[0].isUsable = false;
    CHECK_FALSE(dispatch::place({2368, 90, 3, 4700}, candidates));
}

namespace
{

/** @returns engines that differ only in their ids. */
std::vector<dispatch::Candidate> makeEngines(std::size_t count)
{
    std::vector<dispatch::Candidate> candidates(count);
    for (std::size_t index = 0; index < count; ++index) {
        candidates[index].backend = hashName("engine-" + std::to_string(index));
    }
    return candidates;
}

/** @returns a request of 12000 tokens, 5400 of them shared. */
dispatch::PlacementRequest longRequest(std::uint64_t session, std::uint64_t draw)
{
    return {12000, 5400, session, 12000, draw};
}

}

TEST_CASE("the overflow of a session's home goes to the same few engines from all daemons")
{
    // A popular prefix needs more than one engine can prefill; there are 100 engines, and each request has its own sampling seed.
    auto candidates = makeEngines(100);
    const std::size_t home = dispatch::place(longRequest(77, 1), candidates)->index;
    candidates[home].queueDelay = 400ms;
    std::map<std::size_t, int> chosen;
    for (std::uint64_t draw = 0; draw < 200; ++draw) {
        ++chosen[dispatch::place(longRequest(77, mixBits(draw)), candidates)->index];
    }
    CHECK(chosen.size() == 1);
    CHECK_FALSE(chosen.contains(home));
}

TEST_CASE("a long prefix is fetched from an eligible home, and never from the selected engine itself")
{
    auto candidates = makeEngines(20);
    const auto first = dispatch::place(longRequest(77, 1), candidates);
    REQUIRE(first->fetchSource);
    CHECK(first->isHome);
    CHECK(*first->fetchSource != first->index);
    // When another engine than the home is selected, the home is the source.
    candidates[first->index].isUsable = false;
    const auto second = dispatch::place(longRequest(77, 1), candidates);
    REQUIRE(second->fetchSource);
    CHECK(*second->fetchSource == first->index);
    // A home that is leaving or unreachable is no source.
    candidates[first->index].isEligible = false;
    const auto third = dispatch::place(longRequest(77, 1), candidates);
    REQUIRE(third->fetchSource);
    CHECK(*third->fetchSource != first->index);
    CHECK(*third->fetchSource != third->index);
    // A prefix that is prefilled as fast as it is fetched is not fetched.
    CHECK_FALSE(dispatch::place({800, 200, 77, 800, 1}, candidates)->fetchSource);
}

TEST_CASE("admission depends on the queue and not on the request's size")
{
    proxy::AdmissionInput input;
    input.latencyTarget = 400ms;
    input.queueDelay = 250ms;
    CHECK(proxy::decideAdmission(input).isAdmitted);
    input.queueDelay = 300ms;
    const auto refused = proxy::decideAdmission(input);
    CHECK_FALSE(refused.isAdmitted);
    CHECK(refused.retryAfter > 0ms);
    input.isRetry = true;
    CHECK(proxy::decideAdmission(input).isAdmitted);
}

TEST_CASE("a refusal tells which limit it exceeded, and the limits")
{
    proxy::AdmissionInput input;
    input.latencyTarget = 400ms;
    input.queueDelay = 300ms;
    const auto atBackend = proxy::decideAdmission(input);
    CHECK(atBackend.exceeded == proxy::AdmissionLimit::BackendQueue);
    CHECK(atBackend.maxQueueDelay == 260ms);
    input.queueDelay = 0ms;
    input.fleetQueueDelay = 350ms;
    const auto inFleet = proxy::decideAdmission(input);
    CHECK(inFleet.exceeded == proxy::AdmissionLimit::FleetQueue);
    CHECK(inFleet.maxFleetQueueDelay < input.fleetQueueDelay);
    CHECK(proxy::nameOf(inFleet.exceeded) == "fleet_queue");
}

TEST_CASE("prompts that a busy daemon has just sent don't count as a queue")
{
    // Guards against refusals at a daemon that gets all requests of one caller and alone has 40 ms of pending prompts at each engine.
    proxy::AdmissionInput input;
    input.latencyTarget = 500ms;
    input.shareUsage = {1.2, 3.0};
    input.queueDelay = 60ms;
    CHECK_FALSE(proxy::decideAdmission(input).isAdmitted);
    input.ownPrefillDelay = 40ms;
    CHECK(proxy::decideAdmission(input).isAdmitted);
    // Prompts beyond those just sent count as a queue.
    input.queueDelay = 120ms;
    input.ownPrefillDelay = 120ms;
    CHECK_FALSE(proxy::decideAdmission(input).isAdmitted);
}

TEST_CASE("retry delays of refused callers are spread between one and two times the minimum")
{
    Duration earliest = 1h;
    Duration latest = 0ms;
    for (std::uint64_t draw = 0; draw < 2000; ++draw) {
        const Duration retryAfter = proxy::jitterRetryAfter(400ms, draw);
        earliest = std::min(earliest, retryAfter);
        latest = std::max(latest, retryAfter);
    }
    CHECK(earliest >= 400ms);
    CHECK(latest <= 800ms);
    CHECK(latest - earliest > 300ms);
}

TEST_CASE("daemons with the same outdated load reports don't all choose the engine that was least loaded")
{
    // A fleet of 89 engines in which every daemon has the same slightly outdated load sums.
    std::vector<dispatch::Candidate> candidates(89);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        candidates[index].backend = hashName("engine-" + std::to_string(index));
        candidates[index].queueDelayFromOthers = std::chrono::milliseconds(50 + index);
    }
    std::map<std::size_t, int> chosen;
    constexpr int requests = 900;
    for (int request = 0; request < requests; ++request) {
        const auto placed = dispatch::place({3000, 0, 0, 4000, hashName("request-" + std::to_string(request))}, candidates);
        REQUIRE(placed);
        ++chosen[placed->index];
    }
    for (const auto &[index, count] : chosen) {
        CHECK(count < requests / 3);
    }
    CHECK(chosen.size() > 10);
}

TEST_CASE("a fleet-wide queue causes refusals of workspaces above their fair share first")
{
    proxy::AdmissionInput input;
    input.latencyTarget = 400ms;
    input.fleetQueueDelay = 150ms;
    CHECK(proxy::decideAdmission(input).isAdmitted);
    input.shareUsage = {0.5, 1.5};
    CHECK_FALSE(proxy::decideAdmission(input).isAdmitted);
    input.shareUsage = {0, 0};
    input.fleetQueueDelay = 350ms;
    CHECK_FALSE(proxy::decideAdmission(input).isAdmitted);
}
