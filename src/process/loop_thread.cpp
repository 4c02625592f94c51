#include "process/loop_thread.h"

#include "process/event_log.h"

#include <exception>

namespace eelgrassnotch::process
{

LoopThread::LoopThread()
    : work(boost::asio::make_work_guard(this->loop))
    , thread([this] { this->run(); })
{
}

LoopThread::~LoopThread()
{
    this->stop();
}

void LoopThread::stop()
{
    this->loop.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void LoopThread::run()
{
    while (!this->loop.stopped()) {
        try {
            this->loop.run();
        } catch (const std::exception &error) {
            // A handler that fails must not end the process; what it served ends at its time limit.
            logEvent("handler_failed", {{"cause", error.what()}});
        }
    }
}

}
