#pragma once

/** @file This daemon's part of what a cold backend server bears. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <span>

namespace eelgrassnotch::process::dispatch
{

/**
 * @brief Divides a bound among daemons without asking them.
 * @param bound Requests that all daemons together may start in the window.
 * @param self This daemon; counted even when it is not in the list.
 * @param daemons All daemons that may send, in any order.
 * @param backend Id of the backend server, so that the remainder falls on other daemons for each.
 * @returns whole requests; the parts of all daemons with the same list add up to the bound at most.
 * @remarks Load pattern: a data centre comes back cold while more daemons than its bound send to it.
 */
std::uint32_t coldQuota(std::uint32_t limit, DaemonHandle self, std::span<const DaemonHandle> daemons, std::uint32_t backend);

}
