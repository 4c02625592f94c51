/** @file Count of the daemons that share a limit, during restarts and with outdated lists. */

#include "process/dispatch/active_daemons.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process;
using namespace std::chrono_literals;

namespace
{

constexpr dispatch::DaemonListTimings listTimings {10s, 8s};
constexpr std::uint32_t coldLimit = 38;
constexpr std::uint32_t backend = hashName("cold-backend");

/**
 * Simulates daemons that use their whole quota of one cold backend server's
 * limit, a store whose lists are up to 4 s old, and restarts with a drain of
 * up to 8 s.
 */
class Fleet
{
public:
    Fleet(std::size_t count, std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->begin(handleOf<DaemonHandle>("daemon-" + std::to_string(index)), 0s);
        }
    }

    void restart(DaemonHandle handle, Time now)
    {
        Daemon &daemon = this->daemons.at(handle);
        this->entries.erase(handle);
        daemon.endsAt = now + std::chrono::milliseconds(this->draw(500, 8000));
    }

    /** Adds a daemon whose entry appears in the other daemons' lists with a delay. */
    void begin(DaemonHandle handle, Time now)
    {
        Daemon daemon {dispatch::ActiveDaemons(handle, listTimings), 0s, std::nullopt};
        daemon.activeDaemons.recordOwnEntry(now);
        daemon.nextList = now + std::chrono::milliseconds(this->draw(10, 100));
        this->entries.insert(handle);
        this->daemons.insert_or_assign(handle, std::move(daemon));
    }

    /** Advances the simulation by 100 ms. */
    void step(Time now)
    {
        this->history.emplace_back(now, this->entries);
        while (this->history.size() > 1 && this->history[1].first <= now - 4s) {
            this->history.pop_front();
        }
        std::vector<DaemonHandle> ended;
        for (auto &[handle, daemon] : this->daemons) {
            if (daemon.endsAt && now >= *daemon.endsAt) {
                ended.push_back(handle);
                continue;
            }
            if (now >= daemon.nextList) {
                const auto &listedEntries = this->history[this->draw(0, this->history.size() - 1)].second;
                const std::vector<DaemonHandle> listed(listedEntries.begin(), listedEntries.end());
                daemon.activeDaemons.recordDaemonList(listed, now);
                daemon.nextList = now + 3s;
            }
            for (std::uint32_t quota = daemon.activeDaemons.quota(coldLimit, backend, now); this->sentBy(handle, now) < quota;) {
                this->attempts.emplace_back(now, handle);
            }
        }
        for (const DaemonHandle handle : ended) {
            this->daemons.erase(handle);
            this->begin(handle, now + 600ms);
        }
    }

    std::size_t sentInLastSecond(Time now)
    {
        while (!this->attempts.empty() && this->attempts.front().first <= now - 1s) {
            this->attempts.pop_front();
        }
        return this->attempts.size();
    }

private:
    struct Daemon {
        dispatch::ActiveDaemons activeDaemons;
        Time nextList;
        std::optional<Time> endsAt;
    };

    std::uint64_t draw(std::uint64_t lower, std::uint64_t upper)
    {
        return lower + this->random() % (upper - lower + 1);
    }

    std::size_t sentBy(DaemonHandle handle, Time now)
    {
        return static_cast<std::size_t>(std::count_if(this->attempts.begin(), this->attempts.end(), [handle, now](const auto &attempt) {
            return attempt.second == handle && attempt.first > now - 1s;
        }));
    }

    std::mt19937_64 random;
    std::map<DaemonHandle, Daemon> daemons;
    std::set<DaemonHandle> entries;
    std::deque<std::pair<Time, std::set<DaemonHandle>>> history;
    std::deque<std::pair<Time, DaemonHandle>> attempts;
};

}

TEST_CASE("the limit of a cold backend server holds while daemons are restarted and lists are outdated")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Fleet fleet(7, seed);
        std::size_t maxSent = 0;
        for (Time now = 100ms; now < 60s; now += 100ms) {
            if (now >= 20s && now < 40s && now % 1s == 0s) {
                fleet.restart(handleOf<DaemonHandle>("daemon-" + std::to_string((now / 1s) % 7)), now);
            }
            fleet.step(now);
            maxSent = std::max(maxSent, fleet.sentInLastSecond(now));
        }
        CAPTURE(seed);
        CHECK(maxSent <= coldLimit);
    }
}

TEST_CASE("the whole limit is used once all daemons know each other")
{
    Fleet fleet(7, 1);
    std::size_t sent = 0;
    for (Time now = 100ms; now < 30s; now += 100ms) {
        fleet.step(now);
        sent = fleet.sentInLastSecond(now);
    }
    CHECK(sent == coldLimit);
}

TEST_CASE("a daemon counts others that are in no list but report their load")
{
    const DaemonHandle self = handleOf<DaemonHandle>("daemon-0");
    dispatch::ActiveDaemons activeDaemons(self, listTimings);
    activeDaemons.recordOwnEntry(0s);
    activeDaemons.recordDaemonList(std::vector<DaemonHandle> {self}, 1s);
    CHECK(activeDaemons.quota(coldLimit, backend, 20s) == coldLimit);
    activeDaemons.recordReportingDaemons(4, 20s);
    CHECK(activeDaemons.count() == 4);
    CHECK(activeDaemons.quota(coldLimit, backend, 20s) == coldLimit / 4);
    activeDaemons.recordReportingDaemons(2, 21s);
    CHECK(activeDaemons.count() == 4);
    activeDaemons.recordReportingDaemons(2, 31s);
    CHECK(activeDaemons.count() == 2);
}

TEST_CASE("a daemon has no quota until its entry has propagated")
{
    const DaemonHandle self = handleOf<DaemonHandle>("daemon-0");
    dispatch::ActiveDaemons activeDaemons(self, listTimings);
    activeDaemons.recordDaemonList(std::vector<DaemonHandle> {handleOf<DaemonHandle>("daemon-1")}, 1s);
    CHECK(activeDaemons.quota(coldLimit, backend, 100s) == 0);
    activeDaemons.recordOwnEntry(100s);
    CHECK(activeDaemons.quota(coldLimit, backend, 107s) == 0);
    CHECK(activeDaemons.quota(coldLimit, backend, 108s) == coldLimit / 2);
}

TEST_CASE("a daemon detects that a late removal has deleted its entry")
{
    const DaemonHandle self = handleOf<DaemonHandle>("daemon-0");
    const std::vector<DaemonHandle> without {handleOf<DaemonHandle>("daemon-1")};
    dispatch::ActiveDaemons activeDaemons(self, listTimings);
    activeDaemons.recordOwnEntry(1s);
    activeDaemons.recordDaemonList(without, 4s);
    CHECK_FALSE(activeDaemons.isOwnEntryMissing(4s)); // The list may be older than the entry.
    activeDaemons.recordDaemonList(std::vector<DaemonHandle> {self}, 7s);
    CHECK_FALSE(activeDaemons.isOwnEntryMissing(10s));
    activeDaemons.recordDaemonList(without, 10s);
    CHECK(activeDaemons.isOwnEntryMissing(10s));
    activeDaemons.recordOwnEntry(11s);
    CHECK_FALSE(activeDaemons.isOwnEntryMissing(12s));
    CHECK(activeDaemons.quota(coldLimit, backend, 12s) == 0);
}

TEST_CASE("a daemon takes the whole of a limit before it knows any other daemon")
{
    const auto self = handleOf<DaemonHandle>("self");
    const std::vector<DaemonHandle> both {self, handleOf<DaemonHandle>("other")};
    dispatch::ActiveDaemons activeDaemons(self, listTimings);
    activeDaemons.recordOwnEntry(0s);
    CHECK(activeDaemons.part(40, backend, 20s) == 0);
    CHECK(activeDaemons.equalPart(40) == 0);
    CHECK(activeDaemons.quota(40, backend, 20s) == 0);
    CHECK_FALSE(activeDaemons.isKnownToOthers(20s));
    activeDaemons.recordDaemonList(both, 1s);
    CHECK(activeDaemons.part(40, backend, 2s) == 1);
    CHECK(activeDaemons.equalPart(40) == 20);
    CHECK(activeDaemons.part(40, backend, 20s) == 20);
    activeDaemons.recordDaemonList(std::vector {both.back()}, 21s);
    CHECK(activeDaemons.part(40, backend, 21s) == 1);
}

TEST_CASE("parts of a limit that is below one for each daemon are whole and add up to the limit")
{
    std::vector<DaemonHandle> daemons(50);
    for (std::size_t index = 0; index < daemons.size(); ++index) {
        daemons[index] = handleOf<DaemonHandle>("daemon-" + std::to_string(index));
    }
    double sum = 0;
    for (const DaemonHandle daemon : daemons) {
        dispatch::ActiveDaemons activeDaemons(daemon, listTimings);
        activeDaemons.recordOwnEntry(0s);
        activeDaemons.recordDaemonList(daemons, 20s);
        sum += activeDaemons.part(20.5, backend, 20s);
    }
    CHECK(sum == 20);
}
