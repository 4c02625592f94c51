#pragma once

/** @file Bound on retries as a part of the requests. */

#include "eelgrassnotch/config.h"

#include <algorithm>

namespace eelgrassnotch::request
{

/**
 * @brief Token bucket that earns a fraction of a retry with each request.
 * @remarks Keeps a failing pool from getting more than 1 + config::retryBudgetRatio times its load.
 */
class RetryBudget
{
public:
    /** @brief Notes a new request. */
    void earn()
    {
        this->tokens = std::min(config::retryBudgetBurst, this->tokens + config::retryBudgetRatio);
    }
    /** @returns whether one retry may be spent, and spends it. */
    bool spend()
    {
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    double tokens = config::retryBudgetBurst;
};

}
