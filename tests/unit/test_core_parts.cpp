/** @file Fair queue, role assignment, adaptive limit, retry budget, membership and log format, each on its own. */

#include "process/adaptive_limit.h"
#include "process/event_log.h"
#include "process/fair_queue.h"
#include "process/membership.h"
#include "process/rendezvous.h"
#include "request/retry_budget.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include <unistd.h>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process;
using namespace std::chrono_literals;

namespace
{

constexpr WorkspaceHandle one {1};
constexpr WorkspaceHandle two {2};

WaitingRequest waiting(std::uint64_t number, WorkspaceHandle workspace, std::uint32_t hint)
{
    return {{DaemonHandle {1}, number}, workspace, hint, 1h, {}, 0};
}

bool any(const WaitingRequest &)
{
    return true;
}

}

TEST_CASE("service is proportional to the weights")
{
    FairQueue queue;
    queue.setWeight(one, 3);
    queue.setWeight(two, 1);
    for (std::uint64_t number = 0; number < 80; ++number) {
        queue.push(waiting(number, number % 2 == 0 ? one : two, 10));
    }
    int first = 0;
    for (int taken = 0; taken < 40; ++taken) {
        first += queue.popIf(any)->request.workspace == one ? 1 : 0;
    }
    CHECK(first == 30);
}

TEST_CASE("a workspace whose cost was higher than charged is served less afterwards")
{
    FairQueue queue;
    for (std::uint64_t number = 0; number < 20; ++number) {
        queue.push(waiting(number, number % 2 == 0 ? one : two, 10));
    }
    const auto taken = queue.popIf(any);
    const WorkspaceHandle undercharged = taken->request.workspace;
    queue.correctCharge(undercharged, taken->charged, taken->charged * 5);
    for (int turn = 0; turn < 4; ++turn) {
        CHECK(queue.popIf(any)->request.workspace != undercharged);
    }
}

TEST_CASE("a request that can't be placed does not block others")
{
    FairQueue queue;
    queue.push(waiting(1, one, 10));
    queue.push(waiting(2, two, 10));
    const auto onlyTwo = [](const WaitingRequest &request) { return request.workspace == two; };
    CHECK(queue.popIf(onlyTwo)->request.key.request == 2);
    CHECK_FALSE(queue.popIf(onlyTwo).has_value());
    CHECK(queue.size() == 1);
}

TEST_CASE("the loss of a daemon moves its own roles and few others")
{
    std::vector<DaemonHandle> daemons;
    for (std::uint32_t id = 1; id <= 10; ++id) {
        daemons.push_back({hashName("daemon-" + std::to_string(id))});
    }
    const std::vector<std::uint32_t> roles {11, 22, 33, 44, 55, 66, 77};
    const auto before = assignRoles(roles, daemons);
    const DaemonHandle gone = before.at(33);
    std::erase(daemons, gone);
    int moved = 0;
    for (const auto &[role, daemon] : assignRoles(roles, daemons)) {
        moved += daemon != before.at(role) && before.at(role) != gone ? 1 : 0;
    }
    CHECK(moved <= 2);
    CHECK(assignRoles(roles, {}).empty());
}

TEST_CASE("a new generation resets the limit to the cold limit")
{
    AdaptiveLimit limit;
    limit.adopt(20, 1);
    AttemptSample sample;
    sample.generation = 2;
    CHECK(limit.record(sample, 20, {}, 10s));
    CHECK(limit.value() == config::coldLimit);
    CHECK(limit.isRecentlyCold(11s));
    CHECK_FALSE(limit.isRecentlyCold(20s));
}

TEST_CASE("attempts that report the same overload shrink the limit only once")
{
    AdaptiveLimit limit;
    limit.adopt(20, 1);
    AttemptSample late;
    late.generation = 1;
    late.startedAt = 5s;
    late.inFlightAtStart = 20;
    late.perToken = 62ms;
    limit.record(late, 20, {}, 10s);
    const double once = limit.value();
    CHECK(once < 20);
    limit.record(late, 20, {}, 12s);
    CHECK(limit.value() == once);
}

TEST_CASE("an unreachable backend server is probed with single requests")
{
    AdaptiveLimit limit;
    AttemptSample failed;
    failed.result = connection::wire::AttemptResult::ConnectFailed;
    limit.record(failed, 1, {}, 10s);
    limit.record(failed, 1, {}, 10s);
    CHECK_FALSE(limit.admits(0, 11s));
    CHECK(limit.admits(0, 13s));
    CHECK_FALSE(limit.admits(1, 13s));
}

TEST_CASE("retries are limited to a fraction of the requests")
{
    request::RetryBudget budget(config::retryBudgetRatio, config::retryBudgetBurst, config::retryBudgetBurst);
    int spent = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.countRequest();
        spent += budget.spend() ? 1 : 0;
    }
    CHECK(spent <= 1000 * config::retryBudgetRatio + config::retryBudgetBurst + 1);
}

TEST_CASE("a retry budget that has just been created holds no retries")
{
    request::RetryBudget budget(0.2, 10);
    CHECK_FALSE(budget.spend());
}

TEST_CASE("a retry budget whose capacity falls keeps no more than that")
{
    request::RetryBudget budget(1.0, 10);
    for (int request = 0; request < 20; ++request) {
        budget.countRequest();
    }
    CHECK(budget.left() == 10);
    budget.setCapacity(2);
    budget.setCapacity(10);
    CHECK(budget.left() == 2);
}

TEST_CASE("a silent member is counted until the platform removes it, or a majority may use its slots")
{
    const DaemonIdentity self {"a", "127.0.0.1", 1, DataCentreHandle {9}, 1};
    std::vector<DaemonIdentity> others;
    for (const char *name : {"b", "c", "d"}) {
        others.push_back({name, "127.0.0.1", 1, DataCentreHandle {9}, 1});
    }
    Membership members(self);
    members.setSelfState(true, false);
    const connection::wire::Heartbeat settled(1, 0, 0, 0, 0, 0, 0, true, false);
    const auto receiveFrom = [&](Time now, std::size_t count) {
        for (std::size_t index = 0; index < count; ++index) {
            members.recordContact(others[index], now);
            members.recordHeartbeat(others[index].handle(), settled);
        }
        members.advance(now);
    };
    receiveFrom(10s, 3);
    CHECK(members.quorumMembers().size() == 4);
    receiveFrom(20s, 2);
    CHECK(members.quorumMembers().size() == 4);
    CHECK(members.candidates(20s).size() == 3);
    receiveFrom(75s, 2);
    CHECK(members.quorumMembers().size() == 3);
    receiveFrom(76s, 3);
    CHECK(members.quorumMembers().size() == 4);
    members.applyVmList({self, others[0], others[1], others[2]}, 80s);
    members.applyVmList({self, others[0], others[1]}, 90s);
    receiveFrom(90s, 2);
    CHECK(members.quorumMembers().size() == 3);
}

TEST_CASE("a minority stops granting before the majority may use its slots")
{
    static_assert(config::minorityYieldAfter < config::reclaimAfter);
    Membership members({"a", "127.0.0.1", 1, DataCentreHandle {9}, 1});
    members.setSelfState(true, false);
    for (const char *name : {"b", "c", "d"}) {
        members.recordContact({name, "127.0.0.1", 1, DataCentreHandle {9}, 1}, 10s);
        members.recordHeartbeat(handleOf<DaemonHandle>(name), connection::wire::Heartbeat(1, 0, 0, 0, 0, 0, 0, true, false));
    }
    members.advance(10s);
    members.advance(12s);
    CHECK_FALSE(members.mustStopGranting(12s));
    members.advance(12s + config::minorityYieldAfter);
    CHECK(members.mustStopGranting(12s + config::minorityYieldAfter));
}

TEST_CASE("log lines are key=value pairs on one line")
{
    CHECK(formatEvent("stopped", {{"drained", "true"}, {"why", "two words"}, {"text", "a\"b\nc"}})
          == "event=stopped drained=true why=\"two words\" text=\"a\\\"b c\"");
}

TEST_CASE("collected log lines are neither lost nor reordered")
{
    char path[] = "/tmp/eelgrassnotch-log-XXXXXX";
    const int descriptor = ::mkstemp(path);
    REQUIRE(descriptor >= 0);
    ::close(descriptor);
    constexpr std::size_t lineCount = 2000;
    startLog("d-1", path);
    collectLogLines();
    for (std::size_t index = 0; index < lineCount; ++index) {
        logEvent("counted", {{"index", std::to_string(index)}});
    }
    CHECK(droppedLogLines() == 0);
    flushLog();
    startLog("", ""); // Ends the writer of the file, once it has written what it got.
    std::ifstream file(path);
    std::string line;
    std::size_t expected = 0;
    while (std::getline(file, line)) {
        CHECK(parseEvent(line)["index"] == std::to_string(expected++));
    }
    CHECK(expected == lineCount);
    std::remove(path);
}
