#pragma once

/** @file This daemon's quota of the request limit of a cold backend server. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <span>

namespace eelgrassnotch::process::dispatch
{

/**
 * @brief Divides a limit among daemons without communication between them.
 * @param limit Requests that all daemons together may start in the window.
 * @param self This daemon; counted even when it is not in the list.
 * @param daemons All daemons that may send requests, in any order.
 * @param backend Hash of the backend server's id; it selects the daemons that get the remainder of the division.
 * @returns whole requests; the quotas of all daemons with the same list add up to at most the limit.
 * @remarks Load pattern: cold backend servers of a returning data centre, with more daemons than the limit of one of them.
 */
std::uint32_t coldQuota(std::uint32_t limit, DaemonHandle self, std::span<const DaemonHandle> daemons, std::uint32_t backend);

}
