#pragma once

/** @file
 * Every compiled-in limit, with its unit. Settings may lower or raise those
 * that are named in docs/operators/install.md; the rest are fixed.
 */

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace eelgrassnotch::config
{

using namespace std::chrono_literals;

/** Heartbeat period inside a data centre, and between relays. */
constexpr std::chrono::microseconds heartbeatPeriod = 500ms;
/** A member not heard for this long takes no role and gets no request. */
constexpr std::chrono::microseconds suspectAfter = 1500ms;
/** Promise of a router to obey one dispatcher, counted from the dispatcher's heartbeat. */
constexpr std::chrono::microseconds obedienceLease = 2000ms;
/** Without the platform, a minority stops granting after not hearing the majority for this long. */
constexpr std::chrono::microseconds minorityYieldAfter = 45s;
/** Without the platform, a majority takes over the share of a member not heard for this long. */
constexpr std::chrono::microseconds reclaimAfter = 60s;
/** Age beyond which the platform's VM list no longer vouches for a silent member. */
constexpr std::chrono::microseconds vmListFreshFor = 15s;
/** The platform's VM list may lack a VM for this long after its start. */
constexpr std::chrono::microseconds vmListLag = 30s;
/** Slots of a lost router stay occupied for this long, since its backend server may still work. */
constexpr std::chrono::microseconds lostRouterHold = 5s;
/** The same where the router's process is known to have ended, which closed its connections. */
constexpr std::chrono::microseconds closedRouterHold = 500ms;
/** A router drops a grant that waited longer than this in its own process. */
constexpr std::chrono::microseconds grantFreshFor = 1s;

/** Slots of a backend server that just started, or turned cold. */
constexpr double coldLimit = 2.0;
/** Smallest and largest adaptive limit, in concurrent requests. */
constexpr double minimumLimit = 1.0;
constexpr double maximumLimit = 1024.0;
/** Largest growth of the limit in one round of successes, where latency leaves room for it. */
constexpr double largestGrowthFactor = 1.5;
/** Factor applied to the limit on overload. */
constexpr double overloadFactor = 0.7;
/** At most one decrease in this time. */
constexpr std::chrono::microseconds decreasePeriod = 1s;
/** A backend server that turned cold gets no retried request for this long. */
constexpr std::chrono::microseconds noRetryOntoCold = 5s;
/** Connection failures in a row after which a backend server is probed by single requests. */
constexpr std::uint32_t failuresUntilProbing = 2;
/** Pause between two probes of an unreachable backend server. */
constexpr std::chrono::microseconds probePeriod = 2s;
/** Default bounds on latency, from the service target. */
constexpr std::chrono::microseconds firstTokenTarget = 750ms;
constexpr std::chrono::microseconds perTokenTarget = 31ms;

/** A router or dispatcher of another data centre that is not heard for this long is no longer served or used. */
constexpr std::chrono::microseconds guestQuietAfter = 6s;

/** Waiting requests of one workspace in one pool. */
constexpr std::size_t maxWaitingPerWorkspace = 256;
/** Waiting requests in one pool. */
constexpr std::size_t maxWaitingPerPool = 8192;
/** Requests inside one daemon, waiting or running. */
constexpr std::size_t maxRequestsPerDaemon = 4096;
/** Attempts of one idempotent request. */
constexpr std::uint32_t maxAttempts = 3;
/** Retries earned by one request, and the most that are saved up. */
constexpr double retryBudgetRatio = 0.1;
constexpr double retryBudgetBurst = 10.0;
/** Assumed cost of a request without a hint and without history, in cost units (tokens). */
constexpr std::uint32_t defaultCost = 256;
/** Largest cost that is charged or assumed for one request, in cost units. */
constexpr std::uint32_t maxCost = 1'000'000;
/** Bounds on a caller's deadline. */
constexpr std::chrono::microseconds defaultDeadline = 30s;
constexpr std::chrono::microseconds maxDeadline = 600s;
/** Bounds on the time named in Retry-After. */
constexpr std::chrono::microseconds minRetryAfter = 1s;
constexpr std::chrono::microseconds maxRetryAfter = 60s;

/** Period of the digests that data centres exchange. */
constexpr std::chrono::microseconds digestPeriod = 1s;
/** A digest older than this says nothing about its data centre. */
constexpr std::chrono::microseconds digestFreshFor = 5s;

/** Idempotency claims that one daemon keeps in memory, and their lifetime. */
constexpr std::size_t maxClaimsCached = 16384;
constexpr std::chrono::microseconds claimLifetime = 3600s;
/** Largest answer body kept with a claim, in bytes. */
constexpr std::size_t maxClaimAnswerBytes = 16384;
/** An undecided claim call is given up after this long. */
constexpr std::chrono::microseconds claimTimeout = 2s;

/** Largest frame between two daemons, in bytes. */
constexpr std::uint32_t maxFrameBytes = 4u << 20;
/** Bytes queued on a link before it is closed as stuck. */
constexpr std::size_t maxLinkBacklogBytes = 16u << 20;
/** Largest body of a caller's request, in bytes. */
constexpr std::size_t maxRequestBytes = 1u << 20;
/** Largest answer of a backend server that is not streamed, in bytes. */
constexpr std::size_t maxAnswerBytes = 16u << 20;
/** Longest header value that is read, in bytes. */
constexpr std::size_t maxHeaderBytes = 256;
/** Largest configuration document, in bytes: the platform's bound on a value. */
constexpr std::size_t maxConfigurationBytes = 1u << 20;
/** Longest event line in a streamed answer, in bytes. */
constexpr std::size_t maxEventBytes = 256u << 10;

/** Data centre relays that hold a watch at the platform. */
constexpr std::size_t relaysPerDataCentre = 2;

}
