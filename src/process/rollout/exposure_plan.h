#pragma once

/** @file When the target version gets which part of a service's requests. */

#include "process/rollout/rollout_order.h"

#include <cstdint>

namespace eelgrassnotch::process::rollout
{

/** @brief Steps of a rollout, in their order. */
enum class Stage {
    Probing, ///< A small share, within the operators' bound.
    LowShare,
    MiddleShare,
    HalfShare, ///< Versions are compared best here.
    Emptying, ///< All requests go to the target version; those at the old one end.
};

/** @returns the name in logs. */
const char *nameOf(Stage stage);

/**
 * @brief Times and shares of one order.
 *
 * A version that turns bad late must not have had more than the operators'
 * share of all requests between order and deadline. So all traffic moves as late
 * as the deadline allows: the steps and the emptying end a margin before it.
 */
class ExposurePlan
{
public:
    /** @param longestRequest Longest time for which a request is in progress, as far as known. */
    ExposurePlan(const RolloutOrder &order, const RolloutBounds &bounds, Duration longestRequest);

    /** @returns the furthest stage that is due after this time. */
    Stage stageAt(Duration elapsed) const;
    /** @returns the time from the order after which a stage is due. */
    Duration startOf(Stage stage) const;
    /** @returns the fraction of requests that the target version gets. @param probingStep From 0; see probingSteps. */
    double share(Stage stage, std::uint32_t probingStep) const;
    /** @returns the time from the order after which the rollout is completed although daemons aren't heard from. */
    Duration lastCall() const
    {
        return this->duration - this->margin / 2;
    }

    /** @returns the time from the order after which it is rolled back, if the target version has not been shown sound by then. */
    Duration lastRollback() const
    {
        return this->duration - this->margin / 4;
    }

    /** Steps of the share while nothing is known of the target version. */
    static constexpr std::uint32_t probingSteps = 2;

private:
    Duration duration;
    Duration margin;
    Duration emptyingTime;
    Duration stepTime;
    double probingShare;
};

}
