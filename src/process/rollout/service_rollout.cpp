#include "process/rollout/service_rollout.h"

#include "process/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace eelgrassnotch::process::rollout
{

namespace
{

using namespace std::chrono_literals;

/** Probability with which a sound version is rolled back, over all checks of one order. */
constexpr double falseAlarmRate = 1e-3;
/** Scores are checked this often; the sums that they rest on change as often. */
constexpr Duration checkPeriod = 200ms;
constexpr double judgedKinds = 2; ///< Failures and slowness.
/** Scores at which no further step is taken. */
constexpr double suspicionScore = 6;
/** Score against the old version's past at which versions are compared side by side again. */
constexpr double pastSuspicionScore = 6;
/** Later ones would keep a sound version, whose caches are empty, from being completed. */
constexpr std::uint32_t maxRetreats = 2;
constexpr Duration retreatTime = 1s;
/** Part of the operators' bound that is used before the steps begin; the rest is for daemons that restart and count anew. */
constexpr double usedPart = 0.8;
/** Answers of the target version before its share grows while probing, for each step. */
constexpr double answersPerStep = 8;
/** Answers that the target version has at least given before it gets more than the bound. */
constexpr double minAnswers = 10;
/** Stages and probing steps last for this long at least: evidence takes half a second to reach all daemons. */
constexpr Duration minStageTime = 500ms;
/** The old version must have been empty for this long, since sums of other daemons are late. */
constexpr Duration emptyHoldTime = 1s;
constexpr Duration minEmptyingTime = 1500ms;
/** An order for the version that already runs is completed after this time, in which late entries of other versions are read. */
constexpr Duration soleVersionTime = 2s;
/** Daemons write one after the other, so that all but the first find the object changed. */
constexpr Duration writeSpacing = 150ms;
constexpr std::uint32_t maxRank = 12;
/** Bounds on told ages: a corrupt one must not end an order. */
constexpr Duration maxToldAge = 24h;

constexpr int hashBits = 32;

/** @returns a number from 0 to less than 1 that a hash determines. */
double unitInterval(std::uint64_t hash)
{
    return std::ldexp(static_cast<double>(hash >> hashBits), -hashBits);
}

exchange::RolloutCounts plus(const exchange::RolloutCounts &left, const exchange::RolloutCounts &right)
{
    return {left.key,
            left.failureScore + right.failureScore,
            left.slownessScore + right.slownessScore,
            left.targetAnswers + right.targetAnswers,
            left.targetBad + right.targetBad,
            left.oldAnswers + right.oldAnswers,
            left.oldBad + right.oldBad};
}

const exchange::RolloutProgress *progressOf(const RolloutSituation &situation, std::uint32_t order)
{
    if (!situation.others) {
        return nullptr;
    }
    const auto &progress = situation.others->rollouts;
    const auto found
        = std::find_if(progress.begin(), progress.end(), [order](const exchange::RolloutProgress &told) { return told.order == order; });
    return found == progress.end() ? nullptr : &*found;
}

}

ServiceRollout::ServiceRollout(RolloutOrder rolloutOrder, RolloutBounds rolloutBounds, DaemonHandle self, Time now)
    : currentOrder(std::move(rolloutOrder))
    , bounds(rolloutBounds)
    , startCredit(unitInterval(mixBits(self.id ^ static_cast<std::uint64_t>(this->currentOrder.id()) << hashBits)))
    , since(now)
    , stageSince(now)
    , probingStepSince(now)
{
}

VersionChoice ServiceRollout::choose(std::uint64_t requestHash, bool isRepeated) const
{
    if (this->isKnownBad()) {
        return {false, 0};
    }
    if (this->currentOrder.state == RolloutState::Completed || this->share >= 1) {
        return {true, 1};
    }
    const double drawn = unitInterval(mixBits(requestHash ^ static_cast<std::uint64_t>(this->currentOrder.id()) << hashBits));
    VersionChoice choice {!isRepeated && drawn < this->share, isRepeated ? 0 : this->share};
    if (this->stage == Stage::Probing) {
        const double earned = usedPart * this->bounds.exposureShare * static_cast<double>(this->requests) + this->startCredit;
        choice.isTarget = choice.isTarget && static_cast<double>(this->sentToTarget) + 1 <= earned + this->slackPart;
    }
    return choice;
}

std::vector<exchange::RolloutCounts> ServiceRollout::fleetCounts(const RolloutSituation &situation, Time now) const
{
    const std::uint32_t order = this->currentOrder.id();
    std::vector<exchange::RolloutCounts> counts = this->evidence.counts(order, now);
    if (!situation.others) {
        return counts;
    }
    for (const exchange::RolloutCounts &told : situation.others->rolloutCounts) {
        if (told.key.order != order) {
            continue;
        }
        const auto own = std::find_if(counts.begin(), counts.end(), [&told](const auto &known) { return known.key == told.key; });
        if (own == counts.end()) {
            counts.push_back(told);
        } else {
            *own = plus(*own, told);
        }
    }
    return counts;
}

void ServiceRollout::judge(const RolloutSituation &situation, Time now)
{
    std::vector<exchange::RolloutCounts> counts = this->fleetCounts(situation, now);
    exchange::RolloutCounts all;
    for (const exchange::RolloutCounts &route : counts) {
        all = plus(all, route);
    }
    counts.push_back(all);
    RolloutStats &stats = this->current;
    const double checks = std::max(1.0, static_cast<double>(this->currentOrder.duration / checkPeriod));
    stats.threshold = std::log(checks * judgedKinds * static_cast<double>(counts.size()) / falseAlarmRate);
    stats.failureScore = all.failureScore;
    stats.slownessScore = all.slownessScore;
    stats.targetAnswers = all.targetAnswers;
    stats.targetBad = all.targetBad;
    stats.oldAnswers = all.oldAnswers;
    stats.oldBad = all.oldBad;
    double pastScore = 0;
    for (const exchange::RolloutCounts &route : counts) {
        stats.failureScore = std::max(stats.failureScore, route.failureScore);
        stats.slownessScore = std::max(stats.slownessScore, route.slownessScore);
        pastScore = std::max(pastScore, baselineScore(route));
    }
    this->isSuspect = std::max(stats.failureScore, stats.slownessScore) >= suspicionScore;
    this->isPastSuspect = pastScore >= pastSuspicionScore;
    this->isSound = isShownSound(all);
    if (this->isBad) {
        return;
    }
    const exchange::RolloutProgress *told = progressOf(situation, this->currentOrder.id());
    if (stats.failureScore >= stats.threshold) {
        this->badReason = "failures";
    } else if (stats.slownessScore >= stats.threshold) {
        this->badReason = "slowness";
    } else if (told != nullptr && told->badVerdicts > 0) {
        this->badReason = "found by another daemon";
    } else {
        return;
    }
    this->isBad = true;
    stats.isKnownBad = true;
}

void ServiceRollout::setStage(Stage newStage, Time now)
{
    this->stage = newStage;
    this->stageSince = now;
}

void ServiceRollout::advance(const RolloutSituation &situation, Time now)
{
    const ExposurePlan plan(this->currentOrder, this->bounds, this->longestOld);
    const bool isHeld = !situation.isStoreReachable || this->isSuspect;
    const exchange::RolloutProgress *told = progressOf(situation, this->currentOrder.id());
    if (this->stage == Stage::Probing && !isHeld && told != nullptr && 2 * told->emptying > situation.daemons) {
        this->setStage(Stage::Emptying, now); // This daemon has just started.
    }
    if (this->stage == Stage::Emptying && this->isPastSuspect && this->retreats < maxRetreats) {
        ++this->retreats;
        this->setStage(Stage::MiddleShare, now);
    }
    const Duration pause = this->retreats > 0 ? retreatTime : minStageTime;
    if (!isHeld && situation.hasTargetServers && now - this->stageSince >= pause && plan.stageAt(this->elapsed(now)) > this->stage) {
        const bool hasAnswers = this->current.targetAnswers >= minAnswers;
        const Stage next = static_cast<Stage>(static_cast<int>(this->stage) + 1);
        // With few requests, nothing can be shown; then the absence of suspicion decides, at the last moment.
        const bool isLate = this->elapsed(now) >= plan.startOf(Stage::Emptying);
        const bool isLowShareLate = this->elapsed(now) >= plan.startOf(Stage::HalfShare);
        const bool isAllowed
            = next == Stage::LowShare ? hasAnswers || isLowShareLate : (next != Stage::Emptying || this->isSound || isLate);
        const bool isIdle = isLate && this->current.oldAnswers < 1;
        if (isAllowed && (this->current.targetAnswers > 0 || isIdle)) {
            this->setStage(next, now);
        }
    }
    if (this->stage == Stage::Probing && !isHeld && now - this->probingStepSince >= minStageTime
        && this->probingStep + 1 < ExposurePlan::probingSteps && this->current.targetAnswers >= answersPerStep * (this->probingStep + 1)) {
        ++this->probingStep;
        this->probingStepSince = now;
    }
    const bool isAlone = !situation.isStoreReachable && !situation.others && situation.daemons > 1;
    // A daemon that nobody hears adds to no evidence, so that it may not expose its callers.
    const bool mayProbe = situation.hasTargetServers && (!isAlone || this->stage == Stage::Emptying);
    this->share = mayProbe && !this->isKnownBad() ? plan.share(this->stage, this->probingStep) : 0;
}

void ServiceRollout::update(const RolloutSituation &situation, Time now)
{
    this->slackPart = situation.slackPart;
    const exchange::RolloutProgress *told = progressOf(situation, this->currentOrder.id());
    this->longestOld = this->evidence.longestOld(now);
    if (told != nullptr) {
        // Time on the network isn't added: errors would add up, as the others take over what this daemon tells.
        this->since = std::min(this->since, now - std::min(told->age, maxToldAge));
        this->longestOld = std::max(this->longestOld, told->longest);
    }
    RolloutStats &stats = this->current;
    stats.oldInProgress = situation.oldInProgress + (told == nullptr ? 0 : told->oldInProgress);
    this->judge(situation, now);
    if (this->currentOrder.state == RolloutState::Active) {
        this->advance(situation, now);
    }
    stats.emptyingDaemons = (this->stage == Stage::Emptying ? 1 : 0) + (told == nullptr ? 0 : told->emptying);
    stats.daemons = situation.daemons;
    const bool isEmpty = stats.oldInProgress == 0 && stats.emptyingDaemons >= situation.daemons;
    if (!isEmpty) {
        this->emptiedSince.reset();
    } else if (!this->emptiedSince) {
        this->emptiedSince = now;
    }
    stats.stage = this->stage;
    stats.share = this->share;
    stats.requests = this->requests;
    stats.sentToTarget = this->sentToTarget;
    stats.elapsed = this->elapsed(now);
    stats.isKnownBad = this->isKnownBad();
    const RolloutDecision state = this->dueState(situation, now);
    if (state.state != this->due.state) {
        this->dueSince = now;
    }
    this->due = state;
}

bool ServiceRollout::mayComplete(const RolloutSituation &situation, Time now) const
{
    if (this->stage != Stage::Emptying || this->isSuspect || !situation.hasTargetServers) {
        return false;
    }
    const ExposurePlan plan(this->currentOrder, this->bounds, this->longestOld);
    if (this->elapsed(now) >= plan.lastRollback()) {
        return true;
    }
    if (now - this->stageSince < minEmptyingTime) {
        return false;
    }
    // Daemons that aren't heard, or requests that don't end, must not keep a sound version from being completed.
    return (this->emptiedSince && now - *this->emptiedSince >= emptyHoldTime) || this->elapsed(now) >= plan.lastCall();
}

RolloutDecision ServiceRollout::dueState(const RolloutSituation &situation, Time now) const
{
    if (this->currentOrder.state != RolloutState::Active) {
        return {};
    }
    if (this->isBad) {
        return {RolloutState::RolledBack, this->badReason};
    }
    if (!situation.isStoreReachable) {
        return {};
    }
    if (situation.hasTargetServers && !situation.hasOldServers && this->elapsed(now) >= soleVersionTime) {
        return {RolloutState::Completed, "no other version has servers"};
    }
    if (this->mayComplete(situation, now)) {
        return {RolloutState::Completed, this->emptiedSince ? "emptied" : "last call before the deadline"};
    }
    const ExposurePlan plan(this->currentOrder, this->bounds, this->longestOld);
    if (this->elapsed(now) >= plan.lastRollback()) {
        return {RolloutState::RolledBack, situation.hasTargetServers ? "not shown sound by the deadline" : "no servers by the deadline"};
    }
    return {};
}

RolloutDecision ServiceRollout::decide(const RolloutSituation &situation, Time now) const
{
    const Duration turn = writeSpacing * std::min(situation.rank, maxRank);
    const bool isDue = this->due.state != RolloutState::Active && this->currentOrder.state == RolloutState::Active;
    return isDue && situation.isStoreReachable && now - *this->dueSince >= turn ? this->due : RolloutDecision();
}

void ServiceRollout::addTo(exchange::LoadSummary &load, std::uint32_t oldInProgress, Time now) const
{
    if (this->currentOrder.state != RolloutState::Active) {
        return; // The store tells it, and a repeated order must not find an old verdict.
    }
    const std::uint32_t id = this->currentOrder.id();
    load.rollouts.push_back({id, this->elapsed(now), this->evidence.longestOld(now), oldInProgress,
                             this->stage == Stage::Emptying ? 1U : 0U, this->isBad ? 1U : 0U});
    const std::vector<exchange::RolloutCounts> counts = this->evidence.counts(id, now);
    load.rolloutCounts.insert(load.rolloutCounts.end(), counts.begin(), counts.end());
}

}
