#pragma once

/** @file How the descriptors of a process are divided. */

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace eelgrassnotch::process::budget
{

/** Descriptors that are kept for files, listeners, the store and backend servers. */
constexpr std::uint32_t reservedDescriptors = 1200;
/** Connections to the readiness address, and to the metrics: this part of all, within these bounds. */
constexpr std::uint32_t probeDivisor = 8;
constexpr std::uint32_t minProbeConnections = 32;
constexpr std::uint32_t maxProbeConnections = 128;
/** Idle and stalled connections that are closed at once when all are taken: a look at all connections makes room for some newcomers. */
constexpr std::size_t closedAtOnce = 16;

/** @brief Connections that each kind of listener may have open. */
struct DescriptorBudget {
    std::size_t callers = 0;
    std::size_t probes = 0;

    /** @param maxDescriptors Of the process. */
    static DescriptorBudget of(std::uint32_t maxDescriptors)
    {
        return {maxDescriptors - std::min(maxDescriptors / 2, reservedDescriptors),
                std::clamp(maxDescriptors / probeDivisor, minProbeConnections, maxProbeConnections)};
    }
    bool operator==(const DescriptorBudget &) const = default;
};

}
