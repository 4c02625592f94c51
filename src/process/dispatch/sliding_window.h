#pragma once

/** @file Counts what happened within the last while. */

#include "eelgrassnotch/types.h"

#include <cstddef>
#include <deque>

namespace eelgrassnotch::process::dispatch
{

/** @brief Exact count of events in a window that slides with the time. */
class SlidingWindow
{
public:
    explicit SlidingWindow(Duration windowLength)
        : length(windowLength)
    {
    }

    void add(Time now)
    {
        this->forget(now);
        this->events.push_back(now);
    }
    std::size_t count(Time now)
    {
        this->forget(now);
        return this->events.size();
    }
    /** @returns when the oldest event leaves the window; @p now when the window is empty. */
    Time oldestLeaves(Time now) const
    {
        return this->events.empty() ? now : this->events.front() + this->length;
    }

private:
    void forget(Time now)
    {
        while (!this->events.empty() && this->events.front() + this->length <= now) {
            this->events.pop_front();
        }
    }

    Duration length;
    std::deque<Time> events;
};

}
