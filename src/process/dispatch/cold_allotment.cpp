#include "process/dispatch/cold_allotment.h"

#include "process/rendezvous.h"

#include <algorithm>
#include <vector>

namespace eelgrassnotch::process::dispatch
{

std::uint32_t coldAllotment(std::uint32_t bound, DaemonHandle self, std::span<const DaemonHandle> daemons, std::uint32_t backend)
{
    std::vector<DaemonHandle> all(daemons.begin(), daemons.end());
    if (std::find(all.begin(), all.end(), self) == all.end()) {
        all.push_back(self);
    }
    const auto count = static_cast<std::uint32_t>(all.size());
    const std::uint32_t even = bound / count;
    const std::vector<DaemonHandle> favoured = chooseDaemons(backend, all, bound % count);
    const bool isFavoured = std::find(favoured.begin(), favoured.end(), self) != favoured.end();
    return even + (isFavoured ? 1 : 0);
}

}
