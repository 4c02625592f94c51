#include "process/rendezvous.h"

#include <algorithm>

namespace eelgrassnotch::process
{

std::uint64_t mixBits(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9ull;
    value ^= value >> 27;
    value *= 0x94d049bb133111ebull;
    return value ^ (value >> 31);
}

namespace
{

std::uint64_t weightOf(std::uint32_t role, DaemonHandle daemon)
{
    return mixBits((static_cast<std::uint64_t>(role) << 32) | daemon.id);
}

}

std::vector<DaemonHandle> chooseDaemons(std::uint32_t role, std::span<const DaemonHandle> daemons, std::size_t count)
{
    std::vector<DaemonHandle> chosen(daemons.begin(), daemons.end());
    const std::size_t chosenCount = std::min(count, chosen.size());
    const auto byWeight = [role](DaemonHandle left, DaemonHandle right) { return weightOf(role, left) > weightOf(role, right); };
    std::partial_sort(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(chosenCount), chosen.end(), byWeight);
    chosen.resize(chosenCount);
    return chosen;
}

bool isChosen(std::uint32_t role, DaemonHandle daemon, std::span<const DaemonHandle> daemons, std::size_t count)
{
    const std::uint64_t weight = weightOf(role, daemon);
    const auto before
        = std::count_if(daemons.begin(), daemons.end(), [role, weight](DaemonHandle other) { return weightOf(role, other) > weight; });
    return static_cast<std::size_t>(before) < count;
}

std::map<std::uint32_t, DaemonHandle> assignRoles(std::span<const std::uint32_t> roles, std::span<const DaemonHandle> daemons)
{
    std::map<std::uint32_t, DaemonHandle> assigned;
    if (daemons.empty()) {
        return assigned;
    }
    const std::size_t maxRolesPerDaemon = (roles.size() + daemons.size() - 1) / daemons.size();
    std::map<DaemonHandle, std::size_t> roleCounts;
    for (const std::uint32_t role : roles) {
        for (const DaemonHandle daemon : chooseDaemons(role, daemons, daemons.size())) {
            if (roleCounts[daemon] < maxRolesPerDaemon) {
                ++roleCounts[daemon];
                assigned[role] = daemon;
                break;
            }
        }
    }
    return assigned;
}

DaemonHandle chooseDaemon(std::uint32_t role, std::span<const DaemonHandle> daemons)
{
    const std::vector<DaemonHandle> chosen = chooseDaemons(role, daemons, 1);
    return chosen.empty() ? DaemonHandle {} : chosen.front();
}

}
