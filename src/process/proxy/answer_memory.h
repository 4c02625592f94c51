#pragma once

/** @file Memory of answers that are kept until they are whole. */

#include <cstddef>

namespace eelgrassnotch::process::proxy
{

/** Largest answer that is kept until it is whole, in bytes. */
constexpr std::size_t mostBufferedBytes = 8u << 20;
/** Bytes of all such answers together; a VM has some 88 MB for the process. */
constexpr std::size_t mostBufferedTogether = 24u << 20;
/** Answers up to this size are kept also beyond that sum, in bytes. */
constexpr std::size_t smallAnswerBytes = 256u << 10;

/** @brief Sum over the answers of a process. */
class AnswerMemory
{
public:
    /** @brief The bytes of one answer; they count until it is destroyed. */
    class Part
    {
    public:
        explicit Part(AnswerMemory &answerMemory)
            : memory(answerMemory)
        {
        }
        ~Part()
        {
            this->memory.bytes -= this->own;
        }
        Part(const Part &) = delete;
        Part &operator=(const Part &) = delete;

        /** @brief Counts bytes that were kept. @returns whether the answer may go on. */
        bool add(std::size_t added)
        {
            this->own += added;
            this->memory.bytes += added;
            return this->own <= mostBufferedBytes && (this->memory.bytes <= mostBufferedTogether || this->own <= smallAnswerBytes);
        }

    private:
        AnswerMemory &memory;
        std::size_t own = 0;
    };

    std::size_t held() const
    {
        return this->bytes;
    }

private:
    std::size_t bytes = 0;
};

}
