#pragma once

/** @file A backend server with a hidden capacity, a cold start, and faults on demand. */

#include "emulator/event_queue.h"
#include "request/attempt.h"

#include <functional>
#include <map>
#include <string>

namespace eelgrassnotch::emulator
{

/** @brief The truth about a backend server, which the system has to find out. */
struct BackendTruth {
    double capacity = 8; ///< Concurrent requests at full speed.
    double coldCapacity = 2; ///< The same right after a start.
    Duration warmUp = std::chrono::seconds(10);
    Duration tokenTime = std::chrono::milliseconds(20); ///< For one token at full speed.
    Duration tokenTarget = std::chrono::milliseconds(31); ///< Slower than this is past what it bears.
    double fallOver = 2.5; ///< Multiple of the current capacity at which it restarts by itself.
    bool cancels = true; ///< Whether it notices that a caller went away.
};

/** @brief One attempt as it reaches a backend server. */
struct BackendRequest {
    std::string name; ///< Idempotency key, or id of the request.
    std::uint32_t cost = 1; ///< Tokens.
    std::function<void(const request::AttemptOutcome &)> ended;
};

/** @brief Runs requests side by side; once they exceed the capacity, each slows down in proportion. */
class Backend
{
public:
    Backend(EventQueue &events, BackendTruth truth);

    /** @returns an id for cancel(). */
    std::uint64_t start(const BackendRequest &request);
    /** @brief The caller's connection ended. */
    void cancel(std::uint64_t id);
    /** @brief Ends all requests and starts again, cold. */
    void restart();

    /** @returns concurrent requests that it bears right now. */
    double bears() const;
    std::size_t active() const
    {
        return this->running.size();
    }
    /** @returns largest number of requests above what it bore at that moment. */
    double worstExcess() const
    {
        return this->excess;
    }
    /** @brief Forgets the excess so far. */
    void resetExcess()
    {
        this->excess = 0;
    }

    bool down = false; ///< Refuses connections.
    int refuse = 0; ///< Requests to refuse, not run.
    int loseAnswers = 0; ///< Requests to run without an answer: the connection ends.
    int crossAnswers = 0; ///< Requests to answer with another one's answer.
    double slowdown = 1.0;
    int restarts = 0;
    std::uint64_t starts = 0;
    std::uint64_t completedCost = 0; ///< Tokens of completed requests.
    std::map<std::string, int> executions;

    /** @returns tokens that it could have produced since its start at full use. */
    double capacityTokens() const;

private:
    struct Running {
        BackendRequest request;
        Time since {0};
        double remaining = 0; ///< Tokens that are still to come.
    };

    double capacityNow() const;
    void advance();
    void scheduleNext();
    void finishDue();
    void finish(std::uint64_t id);
    void end(std::uint64_t id, request::AttemptResult result, Verdict verdict);

    EventQueue &events;
    BackendTruth truth;
    Time startedAt;
    std::uint64_t nextId = 1;
    std::uint32_t generation = 1;
    double excess = 0;
    Time advancedAt {0};
    std::uint64_t epoch = 0; ///< Grows with every change; an event of a former epoch is void.
    double tokensPerSecond = 0; ///< For each running request, since the last change.
    std::map<std::uint64_t, Running> running;
};

}
