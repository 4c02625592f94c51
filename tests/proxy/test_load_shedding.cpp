/** @file Load shedding of a daemon that gets more requests than its VM can handle, while its neighbours are idle. */

#include "process/dispatch/load_shedder.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

using namespace eelgrassnotch;
using namespace std::chrono_literals;
using process::dispatch::DaemonLoad;
using process::dispatch::LoadShedder;

namespace
{

constexpr std::size_t daemonCount = 40;
constexpr Duration period = 100ms;
constexpr int periods = 150;
constexpr int warmUpPeriods = 30;
/** CPU time of a VM per period, followed by the CPU times to serve and to refuse one request. */
constexpr Duration processorTime = 12ms;
constexpr Duration timeToServe = 450us;
constexpr Duration timeToRefuse = 80us;
/** A request counts as served if its answer begins within this time. */
constexpr Duration answerTimeout = 250ms;
/** Callers abandon requests that the VM has not read after this time. */
constexpr Duration callerTimeout = 1s;
constexpr double cost = 1000;
constexpr WorkspaceHandle busy {1};
constexpr WorkspaceHandle small {2};

/** One VM with its queue of unread requests. */
struct Vm {
    LoadShedder shedding;
    std::deque<Time> unread;
    Duration remaining {0}; ///< CPU time left in the period.
    int accepted = 0; ///< Requests accepted in the period.
};

struct Outcome {
    int offered = 0;
    int served = 0; ///< Requests whose answers began within answerTimeout.

    double servedFraction() const
    {
        return static_cast<double>(this->served) / this->offered;
    }
};

/** Simulates callers that send to one VM and retry each refused request once at another VM. */
Outcome replay(int perPeriodAtHot, int perPeriodElsewhere, bool isShedding)
{
    std::mt19937_64 random(7);
    std::vector<Vm> vms(daemonCount);
    Outcome outcome;
    const auto serve = [&outcome](Vm &vm, Time arrived, Time now, bool isCounted) {
        vm.remaining -= timeToServe;
        ++vm.accepted;
        outcome.served += isCounted && now - arrived <= answerTimeout ? 1 : 0;
    };
    for (int step = 0; step < periods; ++step) {
        const Time now = period * step;
        const bool isCounted = step >= warmUpPeriods;
        for (std::size_t index = 0; index < vms.size(); ++index) {
            const int arriving = index == 0 ? perPeriodAtHot : perPeriodElsewhere;
            vms[index].unread.insert(vms[index].unread.end(), static_cast<std::size_t>(arriving), now);
            vms[index].remaining = processorTime;
            vms[index].accepted = 0;
            outcome.offered += isCounted && index == 0 ? arriving : 0;
        }
        for (std::size_t index = vms.size(); index-- > 0;) {
            Vm &vm = vms[index];
            while (!vm.unread.empty() && vm.remaining > Duration(0)) {
                const Time arrived = vm.unread.front();
                vm.unread.pop_front();
                if (now - arrived > callerTimeout) {
                    vm.remaining -= timeToRefuse;
                } else if (!isShedding || vm.shedding.acceptNext(busy)) {
                    serve(vm, arrived, now, isCounted && index == 0);
                } else {
                    vm.remaining -= timeToRefuse;
                    Vm &other = vms[1 + random() % (vms.size() - 1)];
                    if (other.remaining > Duration(0)) {
                        serve(other, arrived, now, isCounted && index == 0);
                    }
                }
            }
        }
        double total = 0;
        for (const Vm &vm : vms) {
            total += vm.accepted * cost;
        }
        for (Vm &vm : vms) {
            const Duration lag = vm.unread.empty() ? Duration(0) : now + period - vm.unread.front();
            vm.shedding.update({lag, vm.accepted * cost, total / static_cast<double>(vms.size())});
        }
    }
    return outcome;
}

}

TEST_CASE("a caller whose requests all reach one VM is served by its neighbours")
{
    constexpr int flood = 80;
    constexpr int background = 2;
    CHECK(replay(flood, background, false).servedFraction() < 0.2);
    CHECK(replay(flood, background, true).servedFraction() > 0.95);
}

TEST_CASE("a daemon whose demand is not above that of the others sheds nothing, however busy it is")
{
    LoadShedder shedding;
    for (int step = 0; step < 50; ++step) {
        shedding.update({200ms, 1500, 1000});
        CHECK(shedding.acceptNext(busy));
    }
    shedding.update({200ms, 5000, 0});
    CHECK(shedding.acceptedFraction() == 1.0);
}

TEST_CASE("a daemon accepts all requests again soon after a flood has ended")
{
    LoadShedder shedding;
    for (int step = 0; step < 20; ++step) {
        shedding.update({300ms, 5000, 1000});
    }
    CHECK(shedding.acceptedFraction() < 0.1);
    for (int step = 0; step < 40; ++step) {
        shedding.update({0ms, 100, 1000});
    }
    CHECK(shedding.acceptedFraction() == 1.0);
}

// Guards against shedding a workspace's few requests as often as those of a flood that overloads its daemon.
TEST_CASE("a workspace that sends little to a daemon keeps its requests while the daemon sheds the flood of another one")
{
    constexpr int floodPerPeriod = 90;
    constexpr int smallEvery = 15;
    constexpr int smallPerPeriod = floodPerPeriod / smallEvery;
    LoadShedder shedding;
    int sent = 0;
    int accepted = 0;
    int floodAccepted = 0;
    for (int step = 0; step < periods; ++step) {
        shedding.update({step < warmUpPeriods || step % 2 == 0 ? 60ms : 10ms, 9000, 1000});
        for (int index = 0; index < floodPerPeriod; ++index) {
            const bool isFloodAccepted = shedding.acceptNext(busy);
            const bool isSmall = index % smallEvery == 0;
            const bool isSmallAccepted = isSmall && shedding.acceptNext(small);
            if (step >= warmUpPeriods) {
                floodAccepted += isFloodAccepted ? 1 : 0;
                sent += isSmall ? 1 : 0;
                accepted += isSmallAccepted ? 1 : 0;
            }
        }
    }
    CHECK(shedding.acceptedFraction() < 0.2);
    CHECK(accepted >= 0.4 * sent);
    CHECK(accepted >= 0.9 * floodAccepted);
    // The sum stays what the daemon can handle.
    CHECK(accepted + floodAccepted <= 0.2 * (periods - warmUpPeriods) * (floodPerPeriod + smallPerPeriod));
}
