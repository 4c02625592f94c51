#include "process/dispatch/load_shedding.h"

#include <algorithm>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Requests that wait this long for the daemon lose a noticeable part of the shortest latency targets, 120 ms. */
constexpr Duration sheddingLag = 25ms;
/** A daemon sheds only while it takes this many times what a daemon takes in the mean. */
constexpr double hotFactor = 2.0;
/** Factor on the taken part in a period with too much lag, and what is added in any other one. */
constexpr double decrease = 0.7;
constexpr double increase = 0.03;
/** Some requests are always taken: they tell whether there is room again. */
constexpr double leastPart = 0.05;

}

void LoadShedding::update(const DaemonLoad &load)
{
    const bool isHot = load.meanAsked > 0 && load.asked > hotFactor * load.meanAsked;
    this->part = load.lag > sheddingLag && isHot ? std::max(this->part * decrease, leastPart) : std::min(this->part + increase, 1.0);
}

bool LoadShedding::takesNext()
{
    this->credit += this->part;
    if (this->credit < 1.0) {
        return false;
    }
    this->credit -= 1.0;
    return true;
}

}
