#pragma once

/** @file Settings of a daemon that runs between callers and backend servers of a platform. */

#include "eelgrassnotch/types.h"
#include "process/rollout/rollout_order.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace eelgrassnotch::process
{

/** @brief Bounds that the platform's operators set. */
struct OperatorBounds {
    Duration keyRevocation {0}; ///< A key that was taken away may not be used any more after this.
    Duration stopGrace {0}; ///< From SIGTERM to SIGKILL.
    double retryRatio = 0; ///< Repeated sends per request, over all daemons.
    double retryBurst = 0; ///< Repeated sends beyond that in any time window.
    double coldOvershoot = 1; ///< Factor on the rate that a cold backend server bears, over all daemons.
    double coldSlack = 0; ///< Requests beyond that in one second.
    std::optional<rollout::RolloutBounds> rollout {}; ///< Where services are moved to another version by orders.

    bool operator==(const OperatorBounds &) const = default;
};

/** @brief Where a daemon runs and whom it talks to. */
struct EdgeSettings {
    std::string name;
    std::string ip;
    std::string dataCentre;
    std::map<std::string, std::string> regions; ///< Region of each data centre.
    std::string callersAddress; ///< IP:PORT for callers.
    std::string readyAddress; ///< IP:PORT for readiness probes.
    std::string metricsAddress; ///< IP:PORT for metrics.
    std::string storeAddress; ///< IP:PORT of the platform's store.
    std::uint16_t loadPort = 0; ///< UDP port on which daemons tell each other their load; the same for all.
    std::uint16_t handoverPort = 0; ///< TCP port on which daemons serve requests of busy neighbours; the same for all, zero for none.
    std::uint16_t streamsPort
        = 0; ///< UDP port on which daemons tell each other which versions began streams; the same for all, zero for none.
    Duration entryLifetime
        = std::chrono::milliseconds(3600); ///< The store removes a backend server's entry after this long without a heartbeat.
    std::uint32_t maxDescriptors = 1024;
    std::uint64_t memoryBytes = 0; ///< Memory limit of the process; zero where the settings name none.
    bool isFirstStart = false; ///< All daemons of the fleet start now, for the first time.
    double cores = 1; ///< Of the VM; parts of one where the daemon has no whole core.
    bool isEngineMemoryBounded = false; ///< Engines end when their requests exceed their memory, so placement counts it.
    OperatorBounds bounds;

    bool operator==(const EdgeSettings &) const = default;
};

}
