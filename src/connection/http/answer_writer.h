#pragma once

/** @file Where the answer to one request is written. */

#include "connection/http/types.h"
#include "process/budget/memory_budget.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace eelgrassnotch::connection::http
{

/** @brief Takes the answer to one request: on a caller's connection to this daemon, or through a neighbour that reads the request. */
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;

    /** @brief Sets what is called when the caller leaves before its answer is complete. */
    virtual void watchCaller(std::function<void()> onLeft) = 0;
    /** @brief Answers the request. */
    virtual void sendAnswer(Answer answer) = 0;
    /** @brief Begins an answer whose length is not known. */
    virtual void startStream(AnswerHeader header) = 0;
    /** @brief Sends a part of the answer; a caller that reads too slowly is cut off. */
    virtual void sendPart(std::string_view part) = 0;
    /** @brief Ends the answer that startStream() began. */
    virtual void finishStream() = 0;
    /** @brief Resets the connection, so that no answer, or none that looks complete, reaches the caller. */
    virtual void abort() = 0;
    /** @returns whether the caller has closed, as far as is known at once. */
    virtual bool hasCallerLeft() = 0;
    /** @returns how many requests have been read from the connection, this one included. */
    virtual std::uint64_t requestCount() const = 0;
    /**
     * @brief Hands over the count of the bytes that the request holds: its head, its body and the copy that an attempt sends.
     * @remarks Who takes it sets it to what is still held. Otherwise it lasts until the answer has been written.
     */
    virtual process::budget::MemoryBudget::Holding takeRequestHolding()
    {
        return {};
    }
    /** @returns the address of the neighbour that read the request; empty where this daemon did. */
    virtual std::string handedOverBy() const
    {
        return {};
    }
};

using AnswerWriterPtr = std::shared_ptr<AnswerWriter>;

}
