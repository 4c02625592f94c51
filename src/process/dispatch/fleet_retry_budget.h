#pragma once

/** @file This daemon's budget of retries to a service. */

#include <algorithm>

namespace eelgrassnotch::process::dispatch
{

/**
 * @brief Token bucket that requests fill and retries empty.
 *
 * Within any time window, daemons together send at most the retries that the
 * window's requests earn and what their buckets held at its beginning. The
 * capacities of all daemons add up to at most the burst. A bucket is empty at
 * first, so a daemon that forgets what it has spent sends less, not more.
 *
 * @remarks Load pattern: most answers of a service fail while daemons are killed, restarted or reloaded.
 */
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(double retriesPerRequest)
        : ratio(retriesPerRequest)
    {
    }

    void setRatio(double retriesPerRequest)
    {
        this->ratio = retriesPerRequest;
    }
    /** @param retries Most retries that the bucket may hold: this daemon's part of the fleet's burst. */
    void setCapacity(double retries)
    {
        this->capacity = retries;
        this->level = std::min(this->level, this->capacity);
    }
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
    double mostLeft() const
    {
        return this->capacity;
    }

private:
    double ratio;
    double capacity = 0;
    double level = 0;
};

}
