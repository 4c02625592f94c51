#include "process/core_loop.h"

#include "process/clock.h"

#include <pthread.h>

namespace eelgrassnotch::process
{

namespace
{

/** Longest time between two turns; timers are checked at least this often. */
constexpr auto turnPeriod = std::chrono::milliseconds(20);

}

void CoreLoop::start(std::unique_ptr<Node> ownedNode, OutboxHook hook)
{
    this->node = std::move(ownedNode);
    this->onOutbox = std::move(hook);
    this->thread = std::thread([this] { this->run(); });
}

CoreLoop::~CoreLoop()
{
    this->stop();
}

void CoreLoop::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_one();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void CoreLoop::post(Command command)
{
    {
        const std::lock_guard lock(this->mutex);
        this->commands.push_back(std::move(command));
    }
    this->wake.notify_one();
}

Duration CoreLoop::processorTime() const
{
    clockid_t clock {};
    timespec used {};
    auto handle = const_cast<std::thread &>(this->thread).native_handle();
    if (pthread_getcpuclockid(handle, &clock) == 0) {
        clock_gettime(clock, &used);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
}

std::vector<CoreLoop::Command> CoreLoop::takeCommands()
{
    std::unique_lock lock(this->mutex);
    this->wake.wait_for(lock, turnPeriod, [this] { return this->stopping || !this->commands.empty(); });
    return std::exchange(this->commands, {});
}

void CoreLoop::run()
{
    while (true) {
        const std::vector<Command> batch = this->takeCommands();
        this->node->advance(readClock());
        for (const Command &command : batch) {
            command(*this->node, readClock());
        }
        this->onOutbox(*this->node, this->node->takeOutbox(readClock()));
        const std::lock_guard lock(this->mutex);
        if (this->stopping && this->commands.empty()) {
            return;
        }
    }
}

}
