#pragma once

/** @file Limits retries to a fraction of the requests. */

#include "eelgrassnotch/config.h"

#include <algorithm>

namespace eelgrassnotch::request
{

/**
 * @brief Token bucket to which each request adds a fraction of a retry.
 * @remarks Bounds the load of a failing pool to 1 + config::retryBudgetRatio times its requests, apart from the initial burst.
 */
class RetryBudget
{
public:
    /** @brief Adds the tokens of a new request. */
    void earn()
    {
        this->tokens = std::min(config::retryBudgetBurst, this->tokens + config::retryBudgetRatio);
    }
    /** @brief Takes the token for one retry. @returns false if there is none. */
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
