#pragma once

/** @file Events in the order of a fake clock. */

#include "eelgrassnotch/types.h"

#include <functional>
#include <queue>
#include <vector>

namespace eelgrassnotch::emulator
{

/** @brief Runs actions at their times; equal times in the order of their posting. */
class EventQueue
{
public:
    Time now() const
    {
        return this->current;
    }

    /** @brief Runs an action after a pause. */
    void after(Duration pause, std::function<void()> action)
    {
        this->events.push({this->current + pause, this->nextSequence++, std::move(action)});
    }

    /** @brief Runs all events up to a time, and sets the clock to it. */
    void runUntil(Time until)
    {
        while (!this->events.empty() && this->events.top().at <= until) {
            const Event event = this->events.top();
            this->events.pop();
            this->current = event.at;
            event.action();
        }
        this->current = until;
    }

private:
    struct Event {
        Time at;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->sequence > other.sequence;
        }
    };

    std::priority_queue<Event> events;
    Time current = std::chrono::hours(1); ///< Away from zero, as on a machine that has run for a while.
    std::uint64_t nextSequence = 0;
};

}
