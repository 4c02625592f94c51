#pragma once

/** @file Centre of a stream of samples that single outliers hardly move. */

#include <algorithm>
#include <cmath>

namespace eelgrassnotch::process::engine
{

/**
 * @returns how much of a distance counts: all of it up to the scale, and the square of the scale over the distance beyond, so that far
 * outliers count least.
 */
inline double influence(double distance, double scale)
{
    return std::abs(distance) <= scale ? distance : scale * scale / distance;
}

/**
 * @brief Running mean that outliers hardly move.
 *
 * The n-th sample moves the centre by the influence of its distance, divided by the prior weight plus n; n grows up to the memory.
 */
class RobustCentre
{
public:
    /** @brief How samples are weighed. */
    struct Weights {
        double priorWeight = 0; ///< Number of samples that the starting value counts for.
        double memory = 0; ///< Number of samples after which the gain no longer falls.
    };

    /** @param scale Distance up to which a sample counts in full, in the unit of the samples. */
    void add(double sample, const Weights &weights, double scale)
    {
        this->count = std::min(this->count + 1, weights.memory);
        this->centre += influence(sample - this->centre, scale) / (weights.priorWeight + this->count);
    }
    /** @returns the centre; zero before the first sample. */
    double value() const
    {
        return this->centre;
    }

private:
    double centre = 0;
    double count = 0;
};

}
