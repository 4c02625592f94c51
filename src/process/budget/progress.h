#pragma once

/** @file Judges a connection by the rate at which it moves bytes, not by its presence. */

#include "eelgrassnotch/types.h"

#include <cstdint>

namespace eelgrassnotch::process::budget
{

/** Fewer bytes than this are no progress: a byte now and then keeps nothing open. A caller at 10 kB/s moves them in 0.1 s. */
constexpr std::uint64_t progressBytes = 1024;

/** @brief Remembers when a connection last moved a number of bytes that counts. */
class Progress
{
public:
    explicit Progress(Time now = Time(0))
        : movedAt(now)
    {
    }

    /** @param total Bytes that the connection has moved since it was opened. */
    void update(std::uint64_t total, Time now)
    {
        if (total >= this->movedTotal + progressBytes) {
            this->movedTotal = total;
            this->movedAt = now;
        }
    }
    /** @brief Begins anew, as the connection waits for somebody else, or has nothing to move. */
    void restart(std::uint64_t total, Time now)
    {
        this->movedTotal = total;
        this->movedAt = now;
    }
    /** @returns time since the connection last made progress. */
    Duration standstill(Time now) const
    {
        return now - this->movedAt;
    }

private:
    std::uint64_t movedTotal = 0;
    Time movedAt {0};
};

}
