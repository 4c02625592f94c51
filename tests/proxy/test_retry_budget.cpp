/** @file Simulates daemons that retry every request as often as their retry budgets allow, while they restart, reload and miscount each
 * other. */

#include "platform/dialect.h"
#include "process/proxy/proxy.h"
#include "process/proxy/proxy_metrics.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process;
using namespace std::chrono_literals;

namespace
{

constexpr Duration step = 10ms;
constexpr Duration tickPeriod = 100ms;
constexpr Duration listPeriod = 3s;
constexpr Duration maxListAge = 4s;
constexpr double ratio = 0.2;
/** Any span of this length is checked. */
constexpr Duration window = 10s;
const std::string service = "svc";

/** What happens to daemons besides the failing requests. */
enum class Trouble {
    none,
    kills,
    plannedRestarts,
    reloads,
    replacements,
    noLists,
    partialLists,
};

struct FleetOptions {
    std::size_t daemons = 6;
    double burst = 52;
    double requestsPerSecond = 60; ///< At all daemons together; half of them arrive at the first one.
    Trouble trouble = Trouble::none;
};

EdgeSettings settingsOf(const std::string &name, double burst)
{
    EdgeSettings settings;
    settings.name = name;
    settings.dataCentre = "a";
    settings.bounds.stopGrace = 8s;
    settings.bounds.retryRatio = ratio;
    settings.bounds.retryBurst = burst;
    return settings;
}

/** One process; its knowledge ends with it. */
struct Process {
    explicit Process(const EdgeSettings &settings)
        : proxy(this->context, settings, std::make_shared<const platform::Dialect>(), this->metrics)
    {
    }

    boost::asio::io_context context;
    proxy::ProxyMetrics metrics;
    proxy::Proxy proxy;
    Time nextList {0};
    std::optional<Time> endsAt;
};

class RetryingFleet
{
public:
    RetryingFleet(FleetOptions fleetOptions, std::uint32_t seed)
        : options(fleetOptions)
        , random(seed)
    {
        for (std::size_t index = 0; index < this->options.daemons; ++index) {
            this->slots.emplace_back("d-" + std::to_string(index), nullptr);
            this->start(index, -20s);
        }
    }

    /** Requests succeed until @p failFrom; later each one fails and is retried until the budget is used up. */
    void run(Time from, Time to, Time failFrom)
    {
        for (Time now = from; now < to; now += step) {
            if (now.count() % tickPeriod.count() == 0) {
                this->tick(now);
                if (now >= failFrom) {
                    this->makeTrouble(now);
                }
            }
            const double expected = this->options.requestsPerSecond * std::chrono::duration<double>(step).count();
            for (int count = std::poisson_distribution<int>(expected)(this->random); count > 0; --count) {
                this->request(this->random() % 2 == 0 ? 0 : this->random() % this->slots.size(), now, now >= failFrom);
            }
        }
    }

    /** @returns the largest excess of the retries over what the requests of the same window allow. */
    double largestExcess() const
    {
        double largest = -this->options.burst;
        for (std::size_t first = 0; first < this->retriedAt.size(); ++first) {
            const Time begin = this->retriedAt[first];
            const auto countIn = [begin](const std::vector<Time> &times) {
                return static_cast<double>(std::lower_bound(times.begin(), times.end(), begin + window)
                                           - std::lower_bound(times.begin(), times.end(), begin));
            };
            largest = std::max(largest, countIn(this->retriedAt) - ratio * countIn(this->requestedAt) - this->options.burst);
        }
        return largest;
    }
    std::size_t retries() const
    {
        return this->retriedAt.size();
    }
    std::size_t requests() const
    {
        return this->requestedAt.size();
    }

private:
    void start(std::size_t index, Time now)
    {
        const std::string &name = this->slots[index].first;
        auto process = std::make_unique<Process>(settingsOf(name, this->options.burst));
        process->proxy.daemons().recordOwnEntry(now);
        process->nextList = now + 30ms;
        this->slots[index].second = std::move(process);
        this->entries.push_back(handleOf<DaemonHandle>(name));
    }

    void tick(Time now)
    {
        this->history.emplace_back(now, this->entries);
        while (this->history.size() > 1 && this->history[1].first <= now - maxListAge) {
            this->history.pop_front();
        }
        const auto running = static_cast<std::uint32_t>(
            std::count_if(this->slots.begin(), this->slots.end(), [](const auto &slot) { return slot.second != nullptr; }));
        for (std::size_t index = 0; index < this->slots.size(); ++index) {
            Process *process = this->slots[index].second.get();
            if (process == nullptr) {
                this->start(index, now);
                continue;
            }
            if (process->endsAt && now >= *process->endsAt) {
                this->slots[index].second.reset();
                continue;
            }
            if (now >= process->nextList && this->options.trouble != Trouble::noLists) {
                process->nextList = now + listPeriod;
                auto listed = this->history[this->random() % this->history.size()].second;
                if (this->options.trouble == Trouble::partialLists) {
                    // The same daemons each time, so that the others are forgotten.
                    listed.resize(listed.size() / 3);
                }
                process->proxy.daemons().recordDaemonList(listed, now);
            }
            const bool isHeard = this->options.trouble == Trouble::none && running > 1;
            exchange::LoadSummary others;
            others.daemons = running - 1;
            process->proxy.updateLoadFromOthers(isHeard ? std::optional(others) : std::nullopt, now);
        }
    }

    void kill(std::size_t index)
    {
        this->slots[index].second.reset();
        const auto handle = handleOf<DaemonHandle>(this->slots[index].first);
        this->entries.erase(std::remove(this->entries.begin(), this->entries.end(), handle), this->entries.end());
    }

    void makeTrouble(Time now)
    {
        constexpr Duration killPeriod = 700ms;
        const std::size_t index = this->random() % this->slots.size();
        Process *process = this->slots[index].second.get();
        if (process == nullptr || now.count() % killPeriod.count() != 0) {
            return;
        }
        switch (this->options.trouble) {
        case Trouble::kills:
            for (std::size_t other = 0; other < this->slots.size(); ++other) {
                if (this->random() % 3 != 0) {
                    this->kill(other);
                }
            }
            break;
        case Trouble::replacements:
            this->kill(index);
            this->slots[index].first += 'x';
            break;
        case Trouble::plannedRestarts:
            if (!process->endsAt) {
                const auto handle = handleOf<DaemonHandle>(this->slots[index].first);
                this->entries.erase(std::remove(this->entries.begin(), this->entries.end(), handle), this->entries.end());
                process->proxy.setStopping(now);
                process->endsAt = now + std::chrono::milliseconds(500 + this->random() % 7500);
            }
            break;
        case Trouble::reloads: {
            EdgeSettings settings = settingsOf(this->slots[index].first, this->options.burst);
            settings.maxDescriptors += static_cast<std::uint32_t>(now.count() % 1000);
            process->proxy.setSettings(settings, now);
            break;
        }
        case Trouble::noLists:
        case Trouble::partialLists:
        case Trouble::none:
            break;
        }
    }

    void request(std::size_t index, Time now, bool fails)
    {
        Process *process = this->slots[index].second.get();
        if (process == nullptr) {
            return;
        }
        this->requestedAt.push_back(now);
        process->proxy.countRequest(service, now);
        while (fails && process->proxy.consumeRetryBudget(service, now)) {
            this->retriedAt.push_back(now);
        }
    }

    FleetOptions options;
    std::mt19937 random;
    std::vector<std::pair<std::string, std::unique_ptr<Process>>> slots;
    std::vector<DaemonHandle> entries; ///< In the store.
    std::deque<std::pair<Time, std::vector<DaemonHandle>>> history;
    std::vector<Time> requestedAt;
    std::vector<Time> retriedAt;
};

/** @returns the largest excess over the budget in several seeded runs. */
double largestExcess(const FleetOptions &options)
{
    constexpr std::uint32_t seeds = 5;
    double largest = -options.burst;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        RetryingFleet fleet(options, seed);
        fleet.run(-12s, 20s, 0s);
        largest = std::max(largest, fleet.largestExcess());
    }
    return largest;
}

}

TEST_CASE("daemons that are killed or restarted send retries beyond the fleet's budget")
{
    for (const double rate : {20.0, 120.0}) {
        CHECK(largestExcess({6, 52, rate, Trouble::kills}) <= 0);
        CHECK(largestExcess({6, 52, rate, Trouble::plannedRestarts}) <= 0);
        CHECK(largestExcess({6, 52, rate, Trouble::replacements}) <= 0);
    }
}

TEST_CASE("daemons that reload their settings send retries beyond the fleet's budget")
{
    CHECK(largestExcess({6, 52, 20, Trouble::reloads}) <= 0);
    CHECK(largestExcess({6, 52, 120, Trouble::reloads}) <= 0);
}

TEST_CASE("daemons without a list of daemons, or with a third of it, send retries beyond the fleet's budget")
{
    for (const double rate : {20.0, 120.0}) {
        CHECK(largestExcess({6, 52, rate, Trouble::noLists}) <= 0);
        CHECK(largestExcess({6, 52, rate, Trouble::partialLists}) <= 0);
    }
    CHECK(largestExcess({69, 178, 600, Trouble::noLists}) <= 0);
    CHECK(largestExcess({69, 178, 600, Trouble::partialLists}) <= 0);
}

TEST_CASE("a reload of the settings forgets the retries that requests have earned")
{
    constexpr double burst = 50;
    constexpr Time now = 100s;
    Process process(settingsOf("d-1", burst));
    process.proxy.daemons().recordOwnEntry(now - 20s);
    process.proxy.daemons().recordDaemonList(std::vector {handleOf<DaemonHandle>("d-1")}, now);
    for (int request = 0; request < 40; ++request) {
        process.proxy.countRequest(service, now);
    }
    const double earned = process.proxy.retryBudgetStats(service).left;
    REQUIRE(earned > 5);
    EdgeSettings settings = settingsOf("d-1", burst);
    settings.maxDescriptors += 1;
    process.proxy.setSettings(settings, now);
    CHECK(process.proxy.retryBudgetStats(service).left == earned);
    settings.bounds.retryBurst = 2;
    process.proxy.setSettings(settings, now);
    CHECK(process.proxy.retryBudgetStats(service).left < 2);
}

TEST_CASE("more daemons than the budget's fixed part send retries beyond the fleet's budget")
{
    CHECK(largestExcess({69, 178, 600, Trouble::kills}) <= 0);
    CHECK(largestExcess({350, 100, 1500, Trouble::none}) <= 0);
    CHECK(largestExcess({350, 100, 1500, Trouble::kills}) <= 0);
}

TEST_CASE("a fleet that runs undisturbed sends nearly all retries that its requests allow")
{
    for (const FleetOptions &options : {FleetOptions {6, 52, 60}, FleetOptions {69, 178, 600}}) {
        RetryingFleet fleet(options, 1);
        fleet.run(-12s, 0s, 0s);
        const std::size_t before = fleet.requests();
        fleet.run(0s, 20s, 0s);
        CHECK(static_cast<double>(fleet.retries()) >= 0.95 * ratio * static_cast<double>(fleet.requests() - before));
    }
}
