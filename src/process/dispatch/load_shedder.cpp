#include "process/dispatch/load_shedder.h"

#include "process/dispatch/fair_share_tracker.h"

#include <algorithm>
#include <vector>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** A longer wait in the daemon uses up a noticeable part of the shortest latency target, 120 ms. */
constexpr Duration lagThreshold = 25ms;
/** A daemon sheds load only while its demand exceeds this multiple of the fleet's mean demand. */
constexpr double hotSpotFactor = 2.0;
/** Multiplicative decrease of the accepted fraction in an interval with too much lag, and additive increase in any other interval. */
constexpr double decreaseFactor = 0.7;
constexpr double increaseStep = 0.03;
/** Some requests are always accepted, so that the daemon's capacity can be measured again. */
constexpr double minFraction = 0.05;

}

void LoadShedder::update(const DaemonLoad &load)
{
    const bool isHotSpot = load.meanDemand > 0 && load.demand > hotSpotFactor * load.meanDemand;
    this->fraction = load.timerLag > lagThreshold && isHotSpot ? std::max(this->fraction * decreaseFactor, minFraction)
                                                               : std::min(this->fraction + increaseStep, 1.0);
    this->divideAmongWorkspaces();
}

void LoadShedder::divideAmongWorkspaces()
{
    std::erase_if(this->intakes, [](const auto &entry) { return entry.second.requests == 0; });
    std::vector<double> requests;
    double total = 0;
    for (const auto &[workspace, intake] : this->intakes) {
        requests.push_back(intake.requests);
        total += intake.requests;
    }
    const double share = maxMinShare(std::move(requests), this->fraction * total);
    for (auto &[workspace, intake] : this->intakes) {
        intake.fraction = std::min(share / intake.requests, 1.0);
        intake.requests = 0;
    }
}

bool LoadShedder::acceptNext(WorkspaceHandle workspace)
{
    // A workspace that has just come gets its first request in; it may be a flood, so the others wait for the next division.
    Intake &intake = this->intakes.try_emplace(workspace, Intake {0, this->fraction, 1.0}).first->second;
    intake.requests += 1.0;
    intake.credit += intake.fraction;
    if (intake.credit < 1.0) {
        return false;
    }
    intake.credit -= 1.0;
    return true;
}

}
