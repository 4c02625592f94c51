/** @file Orders of rollouts as the store tells them: what daemons take, keep and write. */

#include "platform/dialect.h"
#include "process/rollout/rollouts.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process;
using namespace std::chrono_literals;
using rollout::Outcome;
using rollout::RolloutBounds;
using rollout::RolloutOrder;
using rollout::Rollouts;
using rollout::RolloutState;
using rollout::VersionAccess;
using rollout::VersionChoice;
using rollout::VersionedServer;

namespace
{

constexpr Time start = 1000s;
constexpr Duration tickPeriod = 100ms;
constexpr DaemonHandle self {1};
const RolloutOrder firstOrder {"svc", "svc", "v2", 20s, 10, RolloutState::Active};
const std::vector<VersionedServer> oldOnly {{"svc", "v1", 0, true}};
const std::vector<VersionedServer> bothVersions {{"svc", "v1", 0, true}, {"svc", "v2", 0, true}};
const std::vector<VersionedServer> threeVersions {{"svc", "v1", 0, true}, {"svc", "v2", 0, true}, {"svc", "v3", 0, true}};

/** The orders of one daemon that is alone in its fleet, and its requests. */
class OneDaemon
{
public:
    OneDaemon()
        : daemons(self, {10s, 1s})
    {
        const std::vector<DaemonHandle> listed {self};
        this->daemons.recordDaemonList(listed, start - 10s);
        this->daemons.recordOwnEntry(start - 10s);
        this->rollouts.setStoreReachable(true);
        this->rollouts.update(oldOnly, this->daemons, std::nullopt, start);
    }

    /** @brief Sends requests until a status is due. @param targetFailures Every this many requests at the target version; 0 for none. */
    std::vector<rollout::StatusWrite> runUntil(Duration end, const std::vector<VersionedServer> &servers, std::uint32_t targetFailures = 0)
    {
        for (; this->elapsed < end; this->elapsed += tickPeriod) {
            const Time now = start + this->elapsed;
            this->rollouts.update(servers, this->daemons, std::nullopt, now);
            if (auto writes = this->rollouts.dueWrites(now); !writes.empty()) {
                return writes;
            }
            for (int count = 0; count < 20; ++count) {
                this->rollouts.recordRequest("svc");
                const VersionChoice choice = this->rollouts.choose("svc", ++this->id, false);
                const bool isTarget = choice.isTarget && this->rollouts.access("svc", "v2", choice) == VersionAccess::Preferred;
                const std::string version = isTarget ? "v2" : "v1";
                this->targetRequests += isTarget ? 1 : 0;
                this->rollouts.recordSent("svc", version);
                const bool isFailure = isTarget && targetFailures > 0 && this->targetRequests % targetFailures == 0;
                this->rollouts.recordOutcome("svc", version, {choice, false, 1, isFailure, 50ms, 100}, now);
            }
        }
        return {};
    }

    VersionAccess accessTo(const std::string &version) const
    {
        return this->rollouts.access("svc", version, this->rollouts.choose("svc", 0, true));
    }

    dispatch::ActiveDaemons daemons;
    Rollouts rollouts {self, RolloutBounds {0.1, 50, 5s}, [](const std::string &, const Rollouts::Fields &) {}};
    Duration elapsed {0};
    std::uint64_t id = 0;
    std::uint64_t targetRequests = 0;
};

}

// Guards against: requests to new servers whose entries arrive before the order.
TEST_CASE("rollout: a version that nobody ordered gets nothing while the running one has servers")
{
    OneDaemon daemon;
    daemon.rollouts.update(bothVersions, daemon.daemons, std::nullopt, start);
    CHECK(daemon.accessTo("v1") == VersionAccess::Preferred);
    CHECK(daemon.accessTo("v2") == VersionAccess::Forbidden);
    const std::vector<VersionedServer> newOnly {{"svc", "v2", 0, true}};
    daemon.rollouts.update(newOnly, daemon.daemons, std::nullopt, start);
    CHECK(daemon.accessTo("v2") == VersionAccess::Preferred);
}

// Guards against: restrictions in deployments without rollouts.
TEST_CASE("rollout: without bounds every version may be used")
{
    Rollouts rollouts(self, std::nullopt, [](const std::string &, const Rollouts::Fields &) {});
    rollouts.apply(firstOrder, start);
    CHECK(rollouts.access("svc", "v9", {}) == VersionAccess::Preferred);
    CHECK(rollouts.reports().empty());
}

// Guards against: a sound version that isn't completed, and requests to the old one after that.
TEST_CASE("rollout: a sound version is completed before the deadline")
{
    OneDaemon daemon;
    daemon.rollouts.apply(firstOrder, start);
    const auto writes = daemon.runUntil(20s, bothVersions);
    REQUIRE(writes.size() == 1);
    CHECK(writes.front().state == RolloutState::Completed);
    RolloutOrder completed = firstOrder;
    completed.state = RolloutState::Completed;
    daemon.rollouts.apply(completed, start + daemon.elapsed);
    CHECK(daemon.accessTo("v1") == VersionAccess::Forbidden);
    CHECK(daemon.accessTo("v2") == VersionAccess::Preferred);
    CHECK(daemon.rollouts.dueWrites(start + daemon.elapsed).empty());
}

// Guards against: a version that is known to be bad and gets requests before, or after, the store knows.
TEST_CASE("rollout: a bad version gets nothing more, whether or not the store can be reached")
{
    OneDaemon daemon;
    daemon.rollouts.apply(firstOrder, start);
    const auto writes = daemon.runUntil(20s, bothVersions, 2);
    REQUIRE(writes.size() == 1);
    CHECK(writes.front().state == RolloutState::RolledBack);
    CHECK(daemon.accessTo("v2") == VersionAccess::Forbidden);
    daemon.rollouts.setStoreReachable(false);
    CHECK(daemon.rollouts.dueWrites(start + daemon.elapsed).empty());
    CHECK(daemon.accessTo("v2") == VersionAccess::Forbidden);
    RolloutOrder rolledBack = firstOrder;
    rolledBack.state = RolloutState::RolledBack;
    daemon.rollouts.apply(rolledBack, start + daemon.elapsed);
    daemon.rollouts.remove("svc");
    daemon.rollouts.update(bothVersions, daemon.daemons, std::nullopt, start + daemon.elapsed);
    CHECK(daemon.accessTo("v2") == VersionAccess::Forbidden);
}

// Guards against: evidence or servers of the first order in the second one.
TEST_CASE("rollout: a second order during the first begins anew, with its own target")
{
    OneDaemon daemon;
    daemon.rollouts.apply(firstOrder, start);
    daemon.runUntil(5s, bothVersions);
    daemon.rollouts.apply({"svc", "svc", "v3", 20s, 11, RolloutState::Active}, start + 5s);
    daemon.rollouts.update(threeVersions, daemon.daemons, std::nullopt, start + 5s);
    CHECK(daemon.accessTo("v1") == VersionAccess::Preferred);
    CHECK(daemon.accessTo("v2") == VersionAccess::Forbidden);
    REQUIRE(daemon.rollouts.reports().size() == 1);
    CHECK(daemon.rollouts.reports().front().stats.targetAnswers == 0);
}

// Guards against: a rollout that goes on after the operator has withdrawn it.
TEST_CASE("rollout: a withdrawn order leaves the service at the version that it ran")
{
    OneDaemon daemon;
    daemon.rollouts.apply(firstOrder, start);
    daemon.runUntil(5s, bothVersions);
    daemon.rollouts.replaceAll({}, start + 5s);
    CHECK(daemon.rollouts.reports().empty());
    CHECK(daemon.runUntil(25s, bothVersions).empty());
    CHECK(daemon.accessTo("v1") == VersionAccess::Preferred);
    CHECK(daemon.accessTo("v2") == VersionAccess::Forbidden);
}

// Guards against: an order that stays active although its servers never come, or that has nothing to do.
TEST_CASE("rollout: an order without servers is rolled back, one for the version that runs is completed")
{
    OneDaemon daemon;
    daemon.rollouts.apply(firstOrder, start);
    const auto writes = daemon.runUntil(20s, oldOnly);
    REQUIRE(writes.size() == 1);
    CHECK(writes.front().state == RolloutState::RolledBack);
    CHECK(daemon.targetRequests == 0);

    OneDaemon other;
    other.rollouts.apply({"svc", "svc", "v1", 20s, 10, RolloutState::Active}, start);
    const auto done = other.runUntil(5s, oldOnly);
    REQUIRE(done.size() == 1);
    CHECK(done.front().state == RolloutState::Completed);
}

// Guards against: steps of a rollout that the store can't be told of, and a deadline that passes meanwhile.
TEST_CASE("rollout: nothing advances without the store; an order whose deadline has passed is rolled back when it returns")
{
    OneDaemon daemon;
    daemon.rollouts.apply(firstOrder, start);
    daemon.runUntil(2s, bothVersions);
    daemon.rollouts.setStoreReachable(false);
    CHECK(daemon.runUntil(25s, bothVersions).empty());
    CHECK(daemon.rollouts.reports().front().stats.stage == rollout::Stage::Probing);
    daemon.rollouts.setStoreReachable(true);
    const auto writes = daemon.runUntil(26s, bothVersions);
    REQUIRE(writes.size() == 1);
    CHECK(writes.front().state == RolloutState::RolledBack);
}

// Guards against: a daemon that starts late and takes an old order for a new one.
TEST_CASE("rollout: a daemon that starts learns the age of an order from the others")
{
    OneDaemon daemon;
    daemon.rollouts.apply(firstOrder, start);
    exchange::LoadSummary others;
    others.daemons = 1;
    others.rollouts.push_back({firstOrder.id(), 19800ms, 100ms, 0, 0, 0});
    daemon.rollouts.update(bothVersions, daemon.daemons, others, start + 100ms);
    const auto writes = daemon.rollouts.dueWrites(start + 200ms);
    REQUIRE(writes.size() == 1);
    CHECK(writes.front().state == RolloutState::RolledBack);
}

// Guards against: an order or a status that is read or written other than the platform has it.
TEST_CASE("rollout: orders are read and statuses written as the platform has them")
{
    const platform::Dialect dialect;
    const auto stored = dialect.readStored(
        R"({"metadata":{"name":"svc","revision":7},"spec":{"service":"svc","target":"v2","duration_s":20},"status":{"state":"active","target":"v2"}})");
    REQUIRE(stored);
    const auto order = dialect.readRollout(*stored);
    REQUIRE(order);
    CHECK(*order == RolloutOrder {"svc", "svc", "v2", 20s, 7, RolloutState::Active});
    store::StoredObject ended = *stored;
    ended.status = {{"state", "rolled_back"}, {"target", "v2"}};
    CHECK(dialect.readRollout(ended)->state == RolloutState::RolledBack);
    ended.status = {{"state", "completed"}, {"target", "v1"}};
    CHECK(dialect.readRollout(ended)->state == RolloutState::Active);
    ended.content = {{"service", "svc"}};
    CHECK_FALSE(dialect.readRollout(ended));
    CHECK(dialect.statusTarget(store::Collection::Rollouts, "svc") == "/-/objects/rollouts/svc/status");
    const auto written = nlohmann::json::parse(dialect.writeStatus("svc", 7, dialect.writeRolloutStatus(*order, RolloutState::Completed)));
    CHECK(written.at("metadata").at("revision") == 7);
    CHECK(written.at("status") == nlohmann::json({{"state", "completed"}, {"target", "v2"}}));
}
