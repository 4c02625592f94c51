#pragma once

/** @file Expected length of answers, from the callers' estimates and their error. */

#include "eelgrassnotch/types.h"
#include "process/engine/robust_centre.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace eelgrassnotch::process::engine
{

/**
 * @brief Learns for each route how much longer answers are, in the mean, than their callers estimate.
 *
 * Answers state no token counts, so that their length is known in events. As the estimate is right at the median, the median of estimate
 * over events gives the tokens per event of a route. Expected output = estimate x (sum of actual tokens / sum of estimates): a sum of
 * requests needs the mean, which is above the median when some answers are much longer.
 */
class OutputLengths
{
public:
    /** Bounds of the factor on an estimate. */
    static constexpr double minFactor = 0.5;
    static constexpr double maxFactor = 3.0;

    /** @brief Records an answer that was delivered whole. @param hint Estimated tokens. @param events Number of events of the answer. */
    void record(const std::string &route, std::uint32_t hint, std::uint64_t events, Time now);
    /** @returns the expected tokens of an answer, at most the declared maximum; the maximum without an estimate. */
    double expected(const std::string &route, std::optional<std::uint32_t> hint, std::uint32_t maxTokens) const;
    /** @brief Removes routes without answers for some minutes. */
    void removeUnusedRoutes(Time now);

private:
    struct RouteLengths {
        RobustCentre logTokensPerEvent;
        double hinted = 0; ///< Tokens, with older answers counting less.
        double actual = 0; ///< The same.
        Time recordedAt {0};
    };

    std::map<std::string, RouteLengths> byRoute;
};

}
