#pragma once

/** @file The thread that owns the core of a daemon. */

#include "process/node.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace eelgrassnotch::process
{

/**
 * @brief Feeds commands of all threads to the core, one after the other.
 *
 * Each turn takes all waiting commands, advances the core and hands its
 * outbox over as a whole. Other threads never touch the core.
 */
class CoreLoop
{
public:
    using Command = std::function<void(Node &node, Time now)>;
    using OutboxHook = std::function<void(Node &node, const Outbox &outbox)>;

    /** @brief Starts the thread. @param onOutbox Called on it after each turn. */
    void start(std::unique_ptr<Node> node, OutboxHook onOutbox);
    /** @brief Ends the thread after the commands posted so far. */
    void stop();
    /** @brief Queues a command; callable from any thread. */
    void post(Command command);

    /** @returns processor time that the thread has used. */
    Duration processorTime() const;

    ~CoreLoop();

private:
    void run();
    std::vector<Command> takeCommands();

    std::unique_ptr<Node> node;
    OutboxHook onOutbox;
    std::mutex mutex;
    std::condition_variable wake;
    std::vector<Command> commands;
    bool stopping = false;
    std::thread thread;
};

}
