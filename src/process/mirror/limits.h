#pragma once

/** @file Limits of what daemons tell each other about the store's collections. */

#include "eelgrassnotch/types.h"

#include <cstdint>

namespace eelgrassnotch::process::mirror
{

/** What a follower knows may be this old: half of the time that operators allow for taking a data centre out of use, 5 s on all
 * deployments. */
constexpr Duration maxAge = std::chrono::milliseconds(2500);
/** A relay's watches wait this long. What it tells is up to two waits old, and up to a hold more when the next reply comes. */
constexpr Duration relayWait = std::chrono::milliseconds(600);
/** A request without news is answered after this long. */
constexpr Duration longestHold = std::chrono::milliseconds(1000);
/** A fresh confirmation of the configuration answers requests that have waited this long. */
constexpr Duration shortestHold = std::chrono::milliseconds(300);
/** Time for a reply beyond the longest hold: some round trips between regions and a relay that is busy. */
constexpr Duration replyTimeout = std::chrono::milliseconds(800);
/** A substitute that took over from a relay watches the store for this long at least: several times what an overload lasts. */
constexpr Duration substituteTime = std::chrono::seconds(20);
/** A daemon that has just started waits this long for the answer of a relay. */
constexpr Duration startPatience = std::chrono::milliseconds(1000);
/** Pause between a follower's calls to a lost store: its relays look for the store more often, and tell when it is back. */
constexpr Duration followerSearchPause = std::chrono::seconds(3);
constexpr Duration connectTimeout = std::chrono::milliseconds(500);
/** Followers of one relay: all daemons of a region of the largest deployment, and room. */
constexpr std::size_t maxFollowers = 512;
constexpr std::uint32_t maxRequestHeaderBytes = 4096;
constexpr std::uint64_t maxRequestBytes = 4096;
constexpr Duration requestTimeout = std::chrono::seconds(2);
constexpr Duration idleTimeout = std::chrono::seconds(5);

}
