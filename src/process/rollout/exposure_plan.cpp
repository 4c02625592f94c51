#include "process/rollout/exposure_plan.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace eelgrassnotch::process::rollout
{

namespace
{

using namespace std::chrono_literals;

/** Part of the duration that is left after the planned end, for the write and for a store that is away for a while. */
constexpr double marginPart = 0.08;
constexpr Duration minMargin = 1500ms;
constexpr Duration maxMargin = 6s;
/** Part of the duration for each step, and its limits: evidence takes half a second to reach all daemons. */
constexpr double stepPart = 0.02;
constexpr Duration minStep = 600ms;
constexpr Duration maxStep = 2s;
/** Time to empty the old version beyond its longest request: daemons hear of each other's progress late, and it must hold for a while. */
constexpr Duration settleTime = 2s;
/** Part of the duration for the emptying at most. */
constexpr double maxEmptyingPart = 0.2;
/** Shares of the steps between probing and emptying. */
constexpr std::array<double, 3> stepShares {0.12, 0.25, 0.5};
/** While nothing is known, the target version gets this part of the operators' share at most, in steps. */
constexpr double maxProbingPart = 0.4;
constexpr double minProbingPart = 0.25;
/** Part of the operators' share that the whole plan may use, if it can. */
constexpr double plannedPart = 0.85;

Duration part(Duration whole, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(whole.count()) * factor));
}

}

const char *nameOf(Stage stage)
{
    constexpr std::array names {"probing", "low_share", "middle_share", "half_share", "emptying"};
    return names.at(static_cast<std::size_t>(stage));
}

ExposurePlan::ExposurePlan(const RolloutOrder &order, const RolloutBounds &bounds, Duration longestRequest)
    : duration(order.duration)
    , margin(std::clamp(part(order.duration, marginPart), minMargin, maxMargin))
    , emptyingTime(std::max(std::min(longestRequest + settleTime, part(order.duration, maxEmptyingPart)), settleTime))
    , stepTime(std::clamp(part(order.duration, stepPart), minStep, maxStep))
    , probingShare(0)
{
    const auto seconds = [](Duration time) { return std::chrono::duration<double>(time).count(); };
    // What the steps and the emptying cost, in seconds of all traffic; the rest of the share is for probing.
    double fullSeconds = seconds(this->emptyingTime);
    for (const double stepShare : stepShares) {
        fullSeconds += stepShare * seconds(this->stepTime);
    }
    const double probingSeconds = std::max(seconds(this->startOf(Stage::LowShare)), 1.0);
    const double left = plannedPart * bounds.exposureShare * seconds(this->duration) - fullSeconds;
    this->probingShare = std::clamp(left / probingSeconds, minProbingPart * bounds.exposureShare, maxProbingPart * bounds.exposureShare);
}

Duration ExposurePlan::startOf(Stage stage) const
{
    const auto stepsBefore = static_cast<std::int64_t>(Stage::Emptying) - static_cast<std::int64_t>(stage);
    return stage == Stage::Probing ? Duration(0) : this->duration - this->margin - this->emptyingTime - stepsBefore * this->stepTime;
}

Stage ExposurePlan::stageAt(Duration elapsed) const
{
    for (const Stage stage : {Stage::Emptying, Stage::HalfShare, Stage::MiddleShare, Stage::LowShare}) {
        if (elapsed >= this->startOf(stage)) {
            return stage;
        }
    }
    return Stage::Probing;
}

double ExposurePlan::share(Stage stage, std::uint32_t probingStep) const
{
    switch (stage) {
    case Stage::Probing:
        return this->probingShare * std::exp2(static_cast<double>(std::min(probingStep, probingSteps - 1)) - (probingSteps - 1));
    case Stage::Emptying:
        return 1;
    default:
        return stepShares.at(static_cast<std::size_t>(stage) - 1);
    }
}

}
