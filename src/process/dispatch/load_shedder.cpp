#include "process/dispatch/load_shedder.h"

#include <algorithm>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Requests that wait this long for the daemon lose a noticeable part of the shortest latency targets, 120 ms. */
constexpr Duration lagThreshold = 25ms;
/** A daemon sheds only while it takes this many times what a daemon takes in the mean. */
constexpr double hotSpotFactor = 2.0;
/** Factor on the taken part in a period with too much lag, and what is added in any other one. */
constexpr double decreaseFactor = 0.7;
constexpr double increaseStep = 0.03;
/** Some requests are always taken: they tell whether there is room again. */
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
