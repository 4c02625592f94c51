#pragma once

/** @file Limits on the memory for answers that are buffered until they are complete. */

#include "process/budget/memory_budget.h"

#include <cstddef>
#include <utility>

namespace eelgrassnotch::process::proxy
{

/** Size limit of one buffered answer, in bytes. */
constexpr std::size_t maxBufferedAnswerBytes = 8u << 20;
/** Limit on all buffered answers together, in bytes; on a VM, the process can use about 88 MB in all. */
constexpr std::size_t maxBufferedTotalBytes = 24u << 20;
/** Answers up to this size, in bytes, are buffered even when the total limit is exceeded. */
constexpr std::size_t smallAnswerBytes = 256u << 10;

/** @brief Tracks the bytes of all buffered answers of the process. */
class AnswerBufferBudget
{
public:
    /** @brief Bytes of one answer; the destructor subtracts them from the total. */
    class Usage
    {
    public:
        explicit Usage(AnswerBufferBudget &answerBufferBudget)
            : budget(answerBufferBudget)
            , holding(answerBufferBudget.memory, process::budget::Ownership::OfNone)
        {
        }
        ~Usage()
        {
            this->budget.totalBytes -= this->answerBytes;
        }
        Usage(const Usage &) = delete;
        Usage &operator=(const Usage &) = delete;

        /** @brief Adds bytes that were buffered. @returns whether the answer is within the limits; false means it must be aborted. */
        bool add(std::size_t addedBytes)
        {
            this->answerBytes += addedBytes;
            this->budget.totalBytes += addedBytes;
            if (!this->holding.reserve(this->answerBytes)) {
                this->holding.set(this->answerBytes);
                if (this->answerBytes > smallAnswerBytes) {
                    return false;
                }
            }
            return this->answerBytes <= maxBufferedAnswerBytes
                && (this->budget.totalBytes <= maxBufferedTotalBytes || this->answerBytes <= smallAnswerBytes);
        }

    private:
        AnswerBufferBudget &budget;
        std::size_t answerBytes = 0;
        process::budget::MemoryBudget::Holding holding;
    };

    /** @brief Counts answers that begin from now on in the budget of the process, too. */
    void setMemoryBudget(process::budget::MemoryBudgetPtr memoryBudget)
    {
        this->memory = std::move(memoryBudget);
    }

    std::size_t bufferedBytes() const
    {
        return this->totalBytes;
    }

private:
    std::size_t totalBytes = 0;
    process::budget::MemoryBudgetPtr memory;
};

}
