#pragma once

/** @file Rendezvous (highest random weight) hashing of roles to daemons. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace eelgrassnotch::process
{

/** @brief Finalizer of the SplitMix64 generator: every input bit affects every output bit. */
std::uint64_t mixBits(std::uint64_t value);

/**
 * Role of the daemons that watch the platform for their data centre; hashed from a former name, as all versions must choose the
 * same daemons.
 */
constexpr std::uint32_t platformWatcherRole = hashName("relay");

/**
 * @brief Chooses the daemon of a role.
 * @param role Id of a service handle, or a constant such as platformWatcherRole.
 * @param daemons Candidates; their order does not matter.
 * @returns the daemon with the highest weight, or the invalid handle without candidates.
 */
DaemonHandle chooseDaemon(std::uint32_t role, std::span<const DaemonHandle> daemons);

/**
 * @brief Assigns roles to daemons, with at most roles / daemons (rounded up) to each.
 * @param roles Ids, in the same order on all daemons.
 * @returns the daemon of each role; empty without daemons.
 * @remarks Each role goes to the daemon with the highest weight that is below the
 * maximum, so that the loss of a daemon moves its own roles and few others.
 */
std::map<std::uint32_t, DaemonHandle> assignRoles(std::span<const std::uint32_t> roles, std::span<const DaemonHandle> daemons);

/** @returns whether a daemon is among those that chooseDaemons() returns. @param daemons Need not hold @p daemon, which is a candidate too.
 */
bool isChosen(std::uint32_t role, DaemonHandle daemon, std::span<const DaemonHandle> daemons, std::size_t count);

/** @returns up to @p count daemons for a role, in descending order of weight. */
std::vector<DaemonHandle> chooseDaemons(std::uint32_t role, std::span<const DaemonHandle> daemons, std::size_t count);

}
