#pragma once

/** @file Checks that a streamed answer is complete and belongs to its request. */

#include <cstdint>
#include <string>

namespace eelgrassnotch::request
{

/** @brief What to do with one event of a streamed answer. */
enum class EventAction {
    Forward,
    Skip, ///< A duplicate, or an event of another request.
    Invalid, ///< A gap or malformed data: the answer can't be completed.
};

/**
 * @brief Checks the server-sent events of one streamed completion.
 *
 * Each event carries the request id in its data and a sequence number in its
 * "id" field. The answer is complete when all numbers have arrived once and in
 * order, the last event has a finish reason, and "[DONE]" followed.
 */
class AnswerCheck
{
public:
    explicit AnswerCheck(std::string requestId);

    /**
     * @brief Checks one event.
     * @param eventId Value of its "id" field; empty without one.
     * @param data Value of its "data" field.
     */
    EventAction accept(const std::string &eventId, const std::string &data);

    /** @returns whether the answer has been accepted up to its end. */
    bool isWhole() const
    {
        return this->done;
    }
    /** @returns total tokens that the backend server reported, in cost units; zero before that event. */
    std::uint32_t cost() const
    {
        return this->tokens;
    }
    /** @returns the number of tokens generated so far, one per event. */
    std::uint32_t generated() const
    {
        return this->generatedTokens;
    }
    /** @returns the number of skipped events. */
    std::uint32_t skipped() const
    {
        return this->skippedEvents;
    }

private:
    EventAction skip();

    std::string requestId;
    std::uint64_t nextSequence = 0;
    std::uint32_t tokens = 0;
    std::uint32_t generatedTokens = 0;
    std::uint32_t skippedEvents = 0;
    bool hasFinished = false;
    bool done = false;
};

}
