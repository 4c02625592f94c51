#pragma once

/** @file One order: which version the next request may use, and whether the rollout is completed or rolled back. */

#include "process/exchange/load_summary.h"
#include "process/rollout/exposure_plan.h"
#include "process/rollout/version_evidence.h"

#include <optional>
#include <string>

namespace eelgrassnotch::process::rollout
{

/** @brief What a daemon knows besides the order and the answers. */
struct RolloutSituation {
    std::uint32_t daemons = 1; ///< That may be sending requests, this one included.
    double slackPart = 0; ///< Requests that this daemon may send beyond its share: its part of half of RolloutBounds::exposureSlack; zero
                          ///< while others don't count it.
    bool isStoreReachable = false;
    bool hasTargetServers = false; ///< Backend servers of the target version can get requests.
    bool hasOldServers = true; ///< Backend servers of other versions are known.
    std::uint32_t oldInProgress = 0; ///< This daemon's requests in progress at other versions.
    std::uint32_t rank = 0; ///< Daemons that write the status before this one.
    std::optional<exchange::LoadSummary> others; ///< Sum of the other daemons' loads; nullopt when unknown.
};

/** @brief A change of the order's state that is due. */
struct RolloutDecision {
    RolloutState state = RolloutState::Active; ///< Active for none.
    std::string reason;

    bool operator==(const RolloutDecision &) const = default;
};

/** @brief The figures that decisions rest on, for logs and metrics. */
struct RolloutStats {
    Stage stage = Stage::Probing;
    double share = 0;
    double failureScore = 0; ///< Largest one over the routes and their sum.
    double slownessScore = 0;
    double threshold = 0; ///< Of both scores.
    double targetAnswers = 0; ///< Recent ones, over all daemons.
    double targetBad = 0;
    double oldAnswers = 0;
    double oldBad = 0;
    std::uint64_t requests = 0; ///< Of the service, at this daemon, since it knows the order.
    std::uint64_t sentToTarget = 0; ///< By this daemon.
    std::uint32_t oldInProgress = 0; ///< Over all daemons.
    std::uint32_t emptyingDaemons = 0;
    std::uint32_t daemons = 0;
    Duration elapsed {0};
    bool isKnownBad = false;

    bool operator==(const RolloutStats &) const = default;
};

/**
 * @brief Follows one order at one daemon.
 *
 * Daemons decide by the same rule from sums that they tell each other. Until the
 * steps begin, a daemon sends the target version at most its own part of the
 * operators' bound: a share of the requests that it has received itself, and its
 * part of the slack. Parts add up to the bound without any message. Each daemon
 * begins with a random credit below one request, so that daemons which receive
 * few requests don't all have to wait for their first whole one; the credits are
 * covered by the half of the slack that isn't divided.
 */
class ServiceRollout
{
public:
    ServiceRollout(RolloutOrder rolloutOrder, RolloutBounds rolloutBounds, DaemonHandle self, Time now);

    const RolloutOrder &order() const
    {
        return this->currentOrder;
    }
    /** @brief Takes over a later state of the same order. */
    void setState(RolloutState state)
    {
        this->currentOrder.state = state;
    }
    /** @brief Takes over a later revision of its object, under which the status is written. */
    void setRevision(std::uint64_t revision)
    {
        this->currentOrder.revision = revision;
    }
    /** @brief Counts a request of the service that is about to be placed. */
    void recordRequest()
    {
        ++this->requests;
    }
    /** @param requestHash Hash of the request's id. @param isRepeated It was sent before: the target version gets it only while it gets
     * all. */
    VersionChoice choose(std::uint64_t requestHash, bool isRepeated) const;
    /** @brief Counts an attempt that is being sent. */
    void recordSent(bool isTarget)
    {
        this->sentToTarget += isTarget ? 1 : 0;
    }
    void recordOutcome(const Outcome &outcome, Time now)
    {
        this->evidence.record(outcome, now);
    }
    /** @brief Moves between stages and judges; called several times a second. */
    void update(const RolloutSituation &situation, Time now);
    /** @returns whether the target version must get no more requests. */
    bool isKnownBad() const
    {
        return this->isBad || this->currentOrder.state == RolloutState::RolledBack;
    }
    /** @returns the state that this daemon has to write now. */
    RolloutDecision decide(const RolloutSituation &situation, Time now) const;
    /** @brief Adds what other daemons are told. */
    void addTo(exchange::LoadSummary &load, std::uint32_t oldInProgress, Time now) const;
    const RolloutStats &stats() const
    {
        return this->current;
    }

private:
    /** @returns the counts over all daemons, by route. */
    std::vector<exchange::RolloutCounts> fleetCounts(const RolloutSituation &situation, Time now) const;
    void judge(const RolloutSituation &situation, Time now);
    void advance(const RolloutSituation &situation, Time now);
    void setStage(Stage stage, Time now);
    Duration elapsed(Time now) const
    {
        return now - this->since;
    }
    bool mayComplete(const RolloutSituation &situation, Time now) const;
    /** @returns the state that the rollout should have, whoever writes it. */
    RolloutDecision dueState(const RolloutSituation &situation, Time now) const;

    RolloutOrder currentOrder;
    RolloutBounds bounds;
    double startCredit; ///< Requests.
    VersionEvidence evidence;
    Time since; ///< When the first daemon learnt of the order, as far as known.
    Duration longestOld {0}; ///< Over all daemons.
    Stage stage = Stage::Probing;
    Time stageSince;
    std::uint32_t probingStep = 0;
    Time probingStepSince;
    std::uint32_t retreats = 0;
    double share = 0;
    double slackPart = 0;
    bool isBad = false;
    bool isSuspect = false;
    bool isSound = false;
    bool isPastSuspect = false; ///< Compared with the old version's past.
    std::string badReason;
    std::optional<Time> emptiedSince; ///< Nothing is in progress at the old version, at any daemon.
    RolloutDecision due;
    std::optional<Time> dueSince;
    std::uint64_t requests = 0;
    std::uint64_t sentToTarget = 0;
    RolloutStats current;
};

}
