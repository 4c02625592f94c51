#pragma once

/** @file Limits retries to a fraction of the requests. */

#include <algorithm>

namespace eelgrassnotch::request
{

/**
 * @brief Token bucket that requests fill and retries empty.
 *
 * Within any time window, daemons together send at most the retries that the
 * window's requests earn and what their buckets held at its beginning. If buckets
 * are empty at first, a daemon that forgets what it has spent sends less, not more.
 *
 * @remarks Load pattern: most answers of a service fail while daemons are killed, restarted or reloaded.
 */
class RetryBudget
{
public:
    /**
     * @param mostRetries Most retries that the bucket may hold.
     * @param firstRetries Retries that it holds at first. Each start of a process grants these again, so they are zero where
     * processes share a limit.
     */
    RetryBudget(double retriesPerRequest, double mostRetries, double firstRetries = 0)
        : ratio(retriesPerRequest)
        , capacity(mostRetries)
        , level(firstRetries)
    {
    }

    void setRatio(double retriesPerRequest)
    {
        this->ratio = retriesPerRequest;
    }
    void setCapacity(double retries)
    {
        this->capacity = retries;
        this->level = std::min(this->level, this->capacity);
    }
    /** @brief Adds what a new request earns. */
    void countRequest()
    {
        this->level = std::min(this->level + this->ratio, this->capacity);
    }
    /** @brief Takes one retry from the bucket. @returns whether the retry may be sent. */
    bool spend()
    {
        if (this->level < 1.0) {
            return false;
        }
        this->level -= 1.0;
        return true;
    }
    /** @returns how many retries the bucket holds. */
    double left() const
    {
        return this->level;
    }
    /** @returns how many retries the bucket may hold. */
    double mostLeft() const
    {
        return this->capacity;
    }

private:
    double ratio;
    double capacity;
    double level;
};

}
