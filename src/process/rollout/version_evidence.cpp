#include "process/rollout/version_evidence.h"

#include <algorithm>
#include <cmath>

namespace eelgrassnotch::process::rollout
{

namespace
{

using namespace std::chrono_literals;

/** Long enough that a version with a low share and some bad answers is found, short enough that one that turns bad isn't covered by its
 * past. */
constexpr Duration evidenceHalfLife = 20s;
/** The alternative of the test. Versions that are bad 3.4 times as often as the old one and more move the score up at small shares. */
constexpr double rateRatio = 8;
/** An answer is slow when it takes this multiple of the old version's mean for its route and size. Machines that are shared take 2.5 times
 * as long at times. */
constexpr double slowFactor = 3.0;
/** Below this, timer lag decides. */
constexpr Duration minSlowExcess = 20ms;
/** Old answers of a route and size that must be known before answers can be slow. */
constexpr double minOldAnswers = 3;
constexpr Duration longestRetention = 30s;
/** Bounds of the state; a service has a few routes. */
constexpr std::size_t maxRoutes = 32;
constexpr std::size_t maxSizes = 256;
/** Fraction of bad answers that any version is assumed to have. */
constexpr double minBadRate = 0.01;
/** Ratio of the alternative in comparisons with the old version's past. */
constexpr double baselineRatio = 4;
/** Fraction of bad answers that a sound version must be shown not to have, and the probability of missing it. */
constexpr double minDetectedRate = 0.06;
constexpr double maxDetectedRate = 0.9;
constexpr double missProbability = 0.01;

double baselineRate(const exchange::RolloutCounts &counts)
{
    return counts.oldAnswers > 0 ? std::clamp(counts.oldBad / counts.oldAnswers, minBadRate, maxDetectedRate) : minBadRate;
}

}

VersionEvidence::RouteSums::RouteSums()
    : failureScore(evidenceHalfLife)
    , slownessScore(evidenceHalfLife)
    , targetAnswers(evidenceHalfLife)
    , targetBad(evidenceHalfLife)
    , oldAnswers(evidenceHalfLife)
    , oldBad(evidenceHalfLife)
{
}

VersionEvidence::OldTimes::OldTimes()
    : total(evidenceHalfLife)
    , count(evidenceHalfLife)
{
}

double badAnswerScore(bool wasTarget, double targetShare)
{
    if (targetShare <= 0 || targetShare >= 1) {
        return 0; // Both hypotheses say which version it is.
    }
    const double badShare = rateRatio * targetShare / (rateRatio * targetShare + 1 - targetShare);
    return wasTarget ? std::log(badShare / targetShare) : std::log((1 - badShare) / (1 - targetShare));
}

double baselineScore(const exchange::RolloutCounts &counts)
{
    return counts.targetBad * std::log(baselineRatio) - counts.targetAnswers * baselineRate(counts) * (baselineRatio - 1);
}

bool isShownSound(const exchange::RolloutCounts &counts)
{
    const double soundRate = baselineRate(counts);
    const double badRate = std::clamp(soundRate * baselineRatio, minDetectedRate, maxDetectedRate);
    if (badRate <= soundRate) {
        return counts.targetAnswers > 0;
    }
    const double good = std::max(counts.targetAnswers - counts.targetBad, 0.0);
    const double score = counts.targetBad * std::log(badRate / soundRate) + good * std::log((1 - badRate) / (1 - soundRate));
    return score <= std::log(missProbability);
}

VersionEvidence::SizeKey VersionEvidence::sizeKey(const Outcome &outcome)
{
    return {outcome.route, std::ilogb(std::max(outcome.size, 1.0))};
}

bool VersionEvidence::isSlow(const Outcome &outcome, Time now) const
{
    const auto known = this->oldTimes.find(sizeKey(outcome));
    if (known == this->oldTimes.end() || known->second.count.value(now) < minOldAnswers) {
        return false;
    }
    const double mean = known->second.total.value(now) / known->second.count.value(now);
    const auto taken = static_cast<double>(outcome.duration.count());
    return taken > mean * slowFactor && taken - mean > static_cast<double>(minSlowExcess.count());
}

void VersionEvidence::record(const Outcome &outcome, Time now)
{
    if (!this->routes.contains(outcome.route) && this->routes.size() >= maxRoutes) {
        return;
    }
    RouteSums &sums = this->routes[outcome.route];
    const bool isSlowAnswer = !outcome.isFailure && this->isSlow(outcome, now);
    const bool isBad = outcome.isFailure || isSlowAnswer;
    (outcome.wasTarget ? sums.targetAnswers : sums.oldAnswers).add(1, now);
    (outcome.wasTarget ? sums.targetBad : sums.oldBad).add(isBad ? 1 : 0, now);
    // Where the old version had no room, the target version was used more often than the share says, which must not count against it.
    const bool isDrawn = !outcome.wasTarget || outcome.choice.isTarget;
    if (isBad && isDrawn) {
        (isSlowAnswer ? sums.slownessScore : sums.failureScore).add(badAnswerScore(outcome.wasTarget, outcome.choice.targetShare), now);
    }
    if (outcome.wasTarget) {
        return;
    }
    if (outcome.duration >= this->longest || now - this->longestAt > longestRetention) {
        this->longest = outcome.duration;
        this->longestAt = now;
    }
    const SizeKey key = sizeKey(outcome);
    if (!outcome.isFailure && (this->oldTimes.contains(key) || this->oldTimes.size() < maxSizes)) {
        OldTimes &times = this->oldTimes[key];
        times.total.add(static_cast<double>(outcome.duration.count()), now);
        times.count.add(1, now);
    }
}

std::vector<exchange::RolloutCounts> VersionEvidence::counts(std::uint32_t order, Time now) const
{
    std::vector<exchange::RolloutCounts> counts;
    counts.reserve(this->routes.size());
    for (const auto &[route, sums] : this->routes) {
        counts.push_back({{order, route},
                          sums.failureScore.value(now),
                          sums.slownessScore.value(now),
                          sums.targetAnswers.value(now),
                          sums.targetBad.value(now),
                          sums.oldAnswers.value(now),
                          sums.oldBad.value(now)});
    }
    return counts;
}

Duration VersionEvidence::longestOld(Time now) const
{
    return now - this->longestAt > longestRetention ? Duration(0) : this->longest;
}

}
