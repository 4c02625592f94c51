#pragma once

/** @file An event loop on a thread of its own. */

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace eelgrassnotch::process
{

/** @brief Runs handlers until it is destroyed; those that wait then are not called. */
class LoopThread
{
public:
    LoopThread();
    ~LoopThread();
    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;

    boost::asio::io_context &context()
    {
        return this->loop;
    }
    /** @brief Ends the thread, so that what its handlers use can be destroyed. */
    void stop();

private:
    void run();

    boost::asio::io_context loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::thread thread;
};

}
