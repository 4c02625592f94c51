#pragma once

/** @file Memory of answers that are kept until they are whole. */

#include <cstddef>

namespace eelgrassnotch::process::proxy
{

/** Largest answer that is kept until it is whole, in bytes. */
constexpr std::size_t maxBufferedAnswerBytes = 8u << 20;
/** Bytes of all such answers together; a VM has some 88 MB for the process. */
constexpr std::size_t maxBufferedTotalBytes = 24u << 20;
/** Answers up to this size are kept also beyond that sum, in bytes. */
constexpr std::size_t smallAnswerBytes = 256u << 10;

/** @brief Sum over the answers of a process. */
class AnswerBufferBudget
{
public:
    /** @brief The bytes of one answer; they count until it is destroyed. */
    class Usage
    {
    public:
        explicit Usage(AnswerBufferBudget &answerBufferBudget)
            : budget(answerBufferBudget)
        {
        }
        ~Usage()
        {
            this->budget.totalBytes -= this->answerBytes;
        }
        Usage(const Usage &) = delete;
        Usage &operator=(const Usage &) = delete;

        /** @brief Counts bytes that were kept. @returns whether the answer may go on. */
        bool add(std::size_t addedBytes)
        {
            this->answerBytes += addedBytes;
            this->budget.totalBytes += addedBytes;
            return this->answerBytes <= maxBufferedAnswerBytes
                && (this->budget.totalBytes <= maxBufferedTotalBytes || this->answerBytes <= smallAnswerBytes);
        }

    private:
        AnswerBufferBudget &budget;
        std::size_t answerBytes = 0;
    };

    std::size_t bufferedBytes() const
    {
        return this->totalBytes;
    }

private:
    std::size_t totalBytes = 0;
};

}
