#pragma once

/** @file This daemon's part of the retries that a service bears. */

#include "eelgrassnotch/types.h"
#include "process/dispatch/sliding_window.h"

#include <algorithm>

namespace eelgrassnotch::process::dispatch
{

/** @brief Bound on repeated sends to one service, over all daemons. */
struct RetryLimit {
    double ratio = 0; ///< Repeats per request.
    double burst = 0; ///< Repeats beyond that in one window, over all daemons.
    Duration window {0};

    bool operator==(const RetryLimit &) const = default;
};

/**
 * @brief Counts requests and repeats to one service in a sliding window.
 * @remarks Load pattern: backend servers that fail or shed under load must not get a second wave of the same requests.
 */
class RetryAllowance
{
public:
    explicit RetryAllowance(RetryLimit retryLimit)
        : limit(retryLimit)
        , requests(retryLimit.window)
        , retries(retryLimit.window)
    {
    }

    void countRequest(Time now)
    {
        this->requests.add(now);
    }
    /**
     * @brief Spends one repeat where the bound leaves room.
     * @param daemonCount Daemons that share the burst.
     * @returns whether the repeat may be sent.
     */
    bool spend(Time now, std::size_t daemonCount)
    {
        const double earned = this->limit.ratio * usedFraction * static_cast<double>(this->requests.count(now));
        const double burst = this->limit.burst * usedFraction / static_cast<double>(std::max<std::size_t>(daemonCount, 1));
        if (static_cast<double>(this->retries.count(now)) + 1.0 > earned + burst) {
            return false;
        }
        this->retries.add(now);
        return true;
    }

private:
    /** Part of the bound that is used; the rest covers daemons that count in windows of their own. */
    static constexpr double usedFraction = 0.8;

    RetryLimit limit;
    SlidingWindow requests;
    SlidingWindow retries;
};

}
