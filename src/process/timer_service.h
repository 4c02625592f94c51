#pragma once

/** @file Timers that parts of a process subscribe to. */

#include "eelgrassnotch/types.h"

#include <functional>
#include <list>
#include <memory>

namespace eelgrassnotch::process
{

/** @brief Calls subscribers when their time has come; the owner tells the time. */
class TimerService
{
public:
    using Callback = std::function<void(Time now)>;
    using Period = std::function<Duration()>;

    /** @brief Ends the subscription when it is destroyed. */
    class Subscription
    {
    public:
        Subscription() = default;

    private:
        friend class TimerService;
        std::shared_ptr<void> alive;
    };

    /**
     * @brief Subscribes a callback.
     * @param period Asked after each call for the time until the next one.
     * @returns a subscription that must be kept as long as the callback may run.
     * @remarks The first call comes with the next advance().
     */
    [[nodiscard]] Subscription subscribe(Period period, Callback callback)
    {
        auto alive = std::make_shared<bool>(true);
        this->timers.push_back({alive, std::move(period), std::move(callback), Time::min()});
        Subscription subscription;
        subscription.alive = alive;
        return subscription;
    }

    /** @brief Calls all subscribers that are due. */
    void advance(Time now)
    {
        std::erase_if(this->timers, [](const Timer &timer) { return timer.alive.expired(); });
        for (Timer &timer : this->timers) {
            if (timer.due > now) {
                continue;
            }
            timer.callback(now);
            timer.due = now + timer.period();
        }
    }

private:
    struct Timer {
        std::weak_ptr<bool> alive;
        Period period;
        Callback callback;
        Time due;
    };

    std::list<Timer> timers;
};

}
