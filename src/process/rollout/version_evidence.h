#pragma once

/** @file Compares the answers of two versions that are used side by side. */

#include "process/dispatch/decaying_average.h"
#include "process/exchange/rollout_evidence.h"

#include <cstdint>
#include <map>
#include <vector>

namespace eelgrassnotch::process::rollout
{

/** @brief The version that a request may use, and how it was drawn. */
struct VersionChoice {
    bool isTarget = false; ///< The target version; otherwise any other one.
    double targetShare = 0; ///< Probability with which a request like this one was given to the target version.

    bool operator==(const VersionChoice &) const = default;
};

/** @brief The end of an attempt at a backend server. */
struct Outcome {
    VersionChoice choice;
    bool wasTarget = false; ///< Version of the backend server that was used; differs from the choice where that version had no room.
    std::uint32_t route = 0; ///< Hash of its name.
    bool isFailure = false; ///< Error, reset, broken or invalid answer.
    Duration duration {0};
    double size = 0; ///< Work in tokens or bytes, for requests of the same route.

    bool operator==(const Outcome &) const = default;
};

/**
 * @brief This daemon's evidence on one order.
 *
 * Each request is given to the target version at random, with a known probability.
 * If the versions were alike, a bad answer would therefore come from the target
 * version with that probability, whatever the load, the hour or the daemon. Each
 * bad answer adds the logarithm of its likelihood if the target version were bad
 * rateRatio times as often, over its likelihood if both were alike. When both
 * versions are bad at once, this speaks against neither. The exponential of a
 * sum has a mean of at most one for alike versions, also with weights that
 * decay. By Markov's inequality it reaches 1/e with probability e at most.
 */
class VersionEvidence
{
public:
    void record(const Outcome &outcome, Time now);
    /** @returns the counts of each route. */
    std::vector<exchange::RolloutCounts> counts(std::uint32_t order, Time now) const;
    /** @returns the duration of the longest recent request to the old version. */
    Duration longestOld(Time now) const;

private:
    struct RouteSums {
        RouteSums();

        dispatch::DecayingSum failureScore;
        dispatch::DecayingSum slownessScore;
        dispatch::DecayingSum targetAnswers;
        dispatch::DecayingSum targetBad;
        dispatch::DecayingSum oldAnswers;
        dispatch::DecayingSum oldBad;
    };
    struct OldTimes {
        OldTimes();

        dispatch::DecayingSum total; ///< In microseconds.
        dispatch::DecayingSum count;
    };
    using SizeKey = std::pair<std::uint32_t, int>; ///< Route, and power of two of the size.

    bool isSlow(const Outcome &outcome, Time now) const;
    static SizeKey sizeKey(const Outcome &outcome);

    std::map<std::uint32_t, RouteSums> routes;
    std::map<SizeKey, OldTimes> oldTimes;
    Duration longest {0};
    Time longestAt {0};
};

/** @brief Likelihood ratio of one bad answer. @returns its logarithm. */
double badAnswerScore(bool wasTarget, double targetShare);
/** @returns log-likelihood ratio that the target version is bad several times as often as the old one has been, without regard to time. */
double baselineScore(const exchange::RolloutCounts &counts);
/** @returns whether a target version whose answers are bad far more often than the old version's would have shown it. */
bool isShownSound(const exchange::RolloutCounts &counts);

}
