#include "process/dispatch/load_shedder.h"

#include <algorithm>

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
}

bool LoadShedder::acceptNext()
{
    this->credit += this->fraction;
    if (this->credit < 1.0) {
        return false;
    }
    this->credit -= 1.0;
    return true;
}

}
