#pragma once

/** @file Losses of backend servers that speak against a prompt part. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace eelgrassnotch::process::dispatch
{

/** @brief Loss of a backend server that had not begun to answer a request. */
struct Loss {
    std::uint32_t incarnation = 0; ///< See directory::BackendServer::recordLoss().
    Time at {0};

    bool operator==(const Loss &) const = default;
};

/** @brief In order of time, one for each incarnation. */
using Losses = std::vector<Loss>;

/** @brief Adds a loss. An incarnation's first one counts. @returns whether the losses have changed. */
bool addLoss(Losses &losses, const Loss &loss);
/** @returns whether any loss was removed. */
bool removeLossesUntil(Losses &losses, Time until);
/** @returns when the loss came that completes as many distinct times as convict a part; nullopt without one. */
std::optional<Time> convictingTime(const Losses &losses);
/** @returns whether a part with these losses is more than one of the many that a single loss suspects. */
bool isRepeated(const Losses &losses);

/** @brief Counts parts by the times at which backend servers with them were lost. */
class LossCounts
{
public:
    /** @brief Adds a part's losses, or takes them away again. @param change 1 or -1. */
    void add(const Losses &losses, int change);
    /** @returns parts with losses at the same time, once for each neighbouring span of time. */
    int countAt(const Loss &loss) const;

private:
    std::unordered_map<std::int64_t, int> parts; ///< By span of time.
};

}
