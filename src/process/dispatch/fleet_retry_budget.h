#pragma once

/** @file This daemon's quota of the retries to a service. */

#include "eelgrassnotch/types.h"
#include "process/dispatch/sliding_window.h"

#include <algorithm>

namespace eelgrassnotch::process::dispatch
{

/** @brief Limit on retries to one service, over all daemons. */
struct RetryLimit {
    double ratio = 0; ///< Retries per request.
    double burst = 0; ///< Additional retries in one window, over all daemons.
    Duration window {0};

    bool operator==(const RetryLimit &) const = default;
};

/**
 * @brief Counts requests and retries to one service in a sliding window.
 * @remarks Load pattern: retry storms, that is waves of retries at backend servers that fail or shed load.
 */
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(RetryLimit retryLimit)
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
     * @brief Counts one retry if the limit allows it.
     * @param daemonCount Daemons that share the burst.
     * @returns whether the retry may be sent.
     */
    bool spend(Time now, std::size_t daemonCount)
    {
        if (this->left(now, daemonCount) < 1.0) {
            return false;
        }
        this->retries.add(now);
        return true;
    }
    /** @returns how many retries the limit still allows. */
    double left(Time now, std::size_t daemonCount)
    {
        const double earned = this->limit.ratio * usedFraction * static_cast<double>(this->requests.count(now));
        const double burst = this->limit.burst * usedFraction / static_cast<double>(std::max<std::size_t>(daemonCount, 1));
        return earned + burst - static_cast<double>(this->retries.count(now));
    }

private:
    /** Fraction of the limit that is used; the rest is a margin, as the daemons' windows are not aligned with each other. */
    static constexpr double usedFraction = 0.8;

    RetryLimit limit;
    SlidingWindow requests;
    SlidingWindow retries;
};

}
