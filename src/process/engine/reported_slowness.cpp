#include "process/engine/reported_slowness.h"

#include <cmath>

namespace eelgrassnotch::process::engine
{

namespace
{

constexpr RobustCentre::Weights reportWeights {1.0, 40.0};
/** Machines are slowed down for a seventh of the time, by a factor of 2.5; the scale keeps the centre near the undisturbed value. */
constexpr double reportScale = 0.2;

}

void ReportedSlowness::record(double slowness, Time now)
{
    this->reported = std::clamp(slowness, minSlowness, maxSlowness);
    this->reportedAt = now;
    this->hasReport = true;
    this->logTypical.add(std::log(this->reported), reportWeights, reportScale);
    this->typicalSlowness = std::exp(this->logTypical.value());
}

}
