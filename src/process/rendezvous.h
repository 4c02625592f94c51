#pragma once

/** @file Rendezvous (highest random weight) hashing of roles onto daemons. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace eelgrassnotch::process
{

/** @brief Finalizer of the SplitMix64 generator: every input bit reaches every output bit. */
std::uint64_t mixBits(std::uint64_t value);

/** Role of holding the platform watch for a data centre. */
constexpr std::uint32_t platformWatcherRole = hashName("relay");

/**
 * @brief Picks the daemon that carries a role.
 * @param role Id of a service handle, or a constant such as platformWatcherRole.
 * @param daemons Candidates; their order does not matter.
 * @returns the daemon of highest weight, or the invalid handle without candidates.
 */
DaemonHandle chooseDaemon(std::uint32_t role, std::span<const DaemonHandle> daemons);

/**
 * @brief Places roles so that no daemon carries more than its even part.
 * @param roles Ids in an order that all daemons share.
 * @returns the daemon of each role; empty without daemons.
 * @remarks Each role takes the daemon of highest weight that still has room, so
 * that the end of one daemon moves its own roles and few others.
 */
std::map<std::uint32_t, DaemonHandle> assignRoles(std::span<const std::uint32_t> roles, std::span<const DaemonHandle> daemons);

/** @returns up to @p count daemons for a role, the first choice first. */
std::vector<DaemonHandle> chooseDaemons(std::uint32_t role, std::span<const DaemonHandle> daemons, std::size_t count);

}
