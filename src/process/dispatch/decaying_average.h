#pragma once

/** @file Sums and averages with exponential decay over time. */

#include "eelgrassnotch/types.h"

#include <cmath>

namespace eelgrassnotch::process::dispatch
{

/** @brief Sum that halves once per half-life; divided by the mean lifetime, it gives a rate. */
class DecayingSum
{
public:
    explicit DecayingSum(Duration sumHalfLife)
        : halfLife(sumHalfLife)
    {
    }

    void add(double amount, Time now)
    {
        this->sum = this->value(now) + amount;
        this->updatedAt = now;
    }
    double value(Time now) const
    {
        if (now <= this->updatedAt || this->sum == 0) {
            return this->sum;
        }
        return this->sum * std::exp2(-static_cast<double>((now - this->updatedAt).count()) / static_cast<double>(this->halfLife.count()));
    }
    /** @returns amount per second. */
    double rate(Time now) const
    {
        constexpr double microsecondsPerSecond = 1e6;
        const double meanLife = static_cast<double>(this->halfLife.count()) / std::log(2.0);
        return this->value(now) / meanLife * microsecondsPerSecond;
    }

private:
    Duration halfLife;
    double sum = 0;
    Time updatedAt {0};
};

/** @brief Exponentially weighted average that decays to zero without new samples. */
class DecayingAverage
{
public:
    DecayingAverage(double sampleWeight, Duration averageHalfLife)
        : weight(sampleWeight)
        , average(averageHalfLife)
    {
    }

    void add(double sample, Time now)
    {
        const double previous = this->average.value(now);
        this->average.add((sample - previous) * this->weight, now);
    }
    double value(Time now) const
    {
        return this->average.value(now);
    }

private:
    double weight;
    DecayingSum average;
};

}
