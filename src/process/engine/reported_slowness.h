#pragma once

/** @file Slowness that a backend server reports of its machine. */

#include "eelgrassnotch/types.h"
#include "process/engine/robust_centre.h"

#include <chrono>
#include <optional>

namespace eelgrassnotch::process::engine
{

/**
 * @brief The last report of how long work takes at a backend server, as a multiple of the usual, and the typical report.
 *
 * A report is trusted in full when it arrives, and not at all after reportLifetime; between, its difference from the typical
 * report falls linearly. Without any report, the slowness is 1.
 */
class ReportedSlowness
{
public:
    /** The figure changes many times a second, so that older reports say nothing about the present. */
    static constexpr Duration reportLifetime = std::chrono::milliseconds(100);
    /** Bounds on what counts of a report. */
    static constexpr double minSlowness = 0.25;
    static constexpr double maxSlowness = 8.0;

    void record(double slowness, Time now);
    /** @brief Drops a report from before this time: work that began later has been observed. */
    void dropOlderThan(Time time)
    {
        if (this->hasReport && this->reportedAt < time) {
            this->hasReport = false;
        }
    }
    /** @returns the last report if it arrived at this time or later. */
    std::optional<double> reportSince(Time time) const
    {
        return this->hasReport && this->reportedAt >= time ? std::optional(this->reported) : std::nullopt;
    }
    /** @returns the centre of all reports. */
    double typical() const
    {
        return this->typicalSlowness;
    }
    /** @returns the expected slowness of work that begins now. */
    double current(Time now) const
    {
        const Duration age = std::max(now - this->reportedAt, Duration(0));
        if (!this->hasReport || age >= reportLifetime) {
            return this->typicalSlowness;
        }
        const double weight = 1.0 - static_cast<double>(age.count()) / static_cast<double>(reportLifetime.count());
        return this->typicalSlowness + weight * (this->reported - this->typicalSlowness);
    }

private:
    RobustCentre logTypical;
    double typicalSlowness = 1;
    double reported = 1;
    Time reportedAt {0};
    bool hasReport = false;
};

}
