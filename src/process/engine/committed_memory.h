#pragma once

/** @file Memory of an engine that requests in progress are expected to use. */

#include <algorithm>

namespace eelgrassnotch::process::engine
{

/**
 * @brief Tokens committed to one engine: prompt plus expected output of the requests in progress there.
 *
 * Those of this daemon are exact as of now; those of the others are the sum of their last load messages, and expire with them.
 */
class CommittedMemory
{
public:
    /**
     * Fraction of the memory that is kept free, for requests of other daemons that no load message tells of yet. At 17 requests of 5,100
     * tokens per second, the number of requests of 0.4 s varies by 2.6, which is 4% of 314,564 tokens.
     */
    static constexpr double reservedFraction = 0.05;

    /** @brief Records that a request of this daemon is sent. @param tokens Prompt plus expected output. */
    void begin(double tokens)
    {
        this->own += tokens;
    }
    /** @brief Records that a request has ended. @param tokens As passed to begin(). */
    void end(double tokens)
    {
        this->own = std::max(0.0, this->own - tokens);
    }
    /** @brief Sets the sum that the other daemons report; zero when no recent message is known. */
    void setFromOthers(double tokens)
    {
        this->others = tokens;
    }
    /** @returns tokens of this daemon's requests, as reported to the others. */
    double ownCommitted() const
    {
        return this->own;
    }
    /** @returns tokens of the requests of all daemons. */
    double committed() const
    {
        return this->own + this->others;
    }
    /** @returns tokens that another request may use without displacing a request in progress, at least zero. */
    double free(double capacityTokens) const
    {
        return std::max(0.0, capacityTokens * (1.0 - reservedFraction) - this->committed());
    }

private:
    double own = 0;
    double others = 0;
};

}
