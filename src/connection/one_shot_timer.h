#pragma once

/** @file A timer that calls back once, and never after it was cancelled. */

#include "eelgrassnotch/types.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace eelgrassnotch::connection
{

/**
 * @brief Calls a function after some time, unless it is cancelled, started again or destroyed before.
 * @remarks Cancelling the underlying timer doesn't stop a handler that has already been queued, as happens when a process stands still and
 * finds its timers expired together with the bytes that they waited for.
 */
class OneShotTimer
{
public:
    explicit OneShotTimer(const boost::asio::any_io_executor &executor)
        : timer(executor)
    {
    }
    ~OneShotTimer()
    {
        this->cancel();
    }
    OneShotTimer(const OneShotTimer &) = delete;
    OneShotTimer &operator=(const OneShotTimer &) = delete;

    /** @brief Calls a function after this time, in place of the one that it was started with before. */
    void start(Duration delay, std::function<void()> onExpiry)
    {
        const std::uint64_t number = ++*this->current;
        this->timer.expires_after(delay);
        this->timer.async_wait([current = this->current, number, onExpiry = std::move(onExpiry)](boost::system::error_code error) {
            if (!error && number == *current) {
                onExpiry();
            }
        });
    }

    /** @brief After this, the function isn't called any more. */
    void cancel()
    {
        ++*this->current;
        this->timer.cancel();
    }

private:
    boost::asio::steady_timer timer;
    std::shared_ptr<std::uint64_t> current = std::make_shared<std::uint64_t>(0); ///< Number of the last start or cancellation.
};

}
