#pragma once

/** @file Event count in a sliding time window. */

#include "eelgrassnotch/types.h"

#include <cstddef>
#include <deque>

namespace eelgrassnotch::process::dispatch
{

/** @brief Exact count of the events in a sliding time window. */
class SlidingWindow
{
public:
    explicit SlidingWindow(Duration windowDuration)
        : length(windowDuration)
    {
    }

    void add(Time now)
    {
        this->removeExpired(now);
        this->events.push_back(now);
    }
    std::size_t count(Time now)
    {
        this->removeExpired(now);
        return this->events.size();
    }
    /** @returns when the oldest event leaves the window; @p now when the window is empty. */
    Time oldestExpiry(Time now) const
    {
        return this->events.empty() ? now : this->events.front() + this->length;
    }

private:
    void removeExpired(Time now)
    {
        while (!this->events.empty() && this->events.front() + this->length <= now) {
            this->events.pop_front();
        }
    }

    Duration length;
    std::deque<Time> events;
};

}
