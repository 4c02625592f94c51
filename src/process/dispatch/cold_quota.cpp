#include "process/dispatch/cold_quota.h"

#include "process/rendezvous.h"

#include <algorithm>
#include <vector>

namespace eelgrassnotch::process::dispatch
{

std::uint32_t coldQuota(std::uint32_t limit, DaemonHandle self, std::span<const DaemonHandle> daemons, std::uint32_t backend)
{
    std::vector<DaemonHandle> all(daemons.begin(), daemons.end());
    if (std::find(all.begin(), all.end(), self) == all.end()) {
        all.push_back(self);
    }
    const auto count = static_cast<std::uint32_t>(all.size());
    const std::uint32_t baseShare = limit / count;
    const std::vector<DaemonHandle> withRemainder = chooseDaemons(backend, all, limit % count);
    const bool hasRemainder = std::find(withRemainder.begin(), withRemainder.end(), self) != withRemainder.end();
    return baseShare + (hasRemainder ? 1 : 0);
}

}
