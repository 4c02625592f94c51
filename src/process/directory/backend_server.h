#pragma once

/** @file One incarnation of a backend server, with its load and health as observed by this daemon. */

#include "connection/http/client_connection.h"
#include "process/directory/backend_record.h"
#include "process/directory/version_certainty.h"
#include "process/dispatch/announced_limit.h"
#include "process/dispatch/decaying_average.h"
#include "process/dispatch/prefix_cache_model.h"
#include "process/dispatch/sliding_window.h"
#include "process/engine/committed_memory.h"
#include "process/engine/reported_slowness.h"
#include "process/exchange/load_summary.h"
#include "process/streams/stream_notes.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>

namespace eelgrassnotch::process::directory
{

/** @brief Whether new requests may go to a backend server. */
enum class Availability {
    Ready,
    Draining, ///< It or its data centre is leaving.
    Unconfirmed, ///< Its entry vanished around a store outage; usable until it should have refreshed the entry.
    Gone, ///< Removed from the directory; requests in progress may still hold it.
};

/** @returns the name used in logs. */
const char *nameOf(Availability availability);

/** @brief Location of a backend server relative to this daemon. */
struct Locality {
    std::string region;
    bool isInDataCentre = false; ///< In this daemon's data centre.
    bool isInRegion = false; ///< In this daemon's region.
    Duration roundTrip {0}; ///< Network round-trip time.

    bool operator==(const Locality &) const = default;
};

/** @brief Load report from the headers of an answer. */
struct LoadReport {
    std::uint32_t running = 0; ///< Requests in progress.
    std::uint32_t waiting = 0; ///< Queued requests.
    Time receivedAt {0};

    bool operator==(const LoadReport &) const = default;
};

/** @brief Whether this daemon holds a part of a backend server's announced limit, and what that was computed from. */
struct LimitHolding {
    std::uint64_t daemonsRevision = 0; ///< See dispatch::ActiveDaemons.
    std::uint32_t holders = 0;
    bool isHolder = false;

    bool operator==(const LimitHolding &) const = default;
};

/** @brief Idle keep-alive connection. */
struct IdleConnection {
    std::shared_ptr<connection::http::ClientConnection> connection;
    Time idleSince {0};
};

/**
 * @brief One incarnation of a backend server.
 *
 * Shared by the directory and the requests that were sent to it.
 */
class BackendServer
{
public:
    explicit BackendServer(BackendRecord firstRecord, std::uint64_t cacheTokens);

    /** @returns whether a request may be sent: it is responsive and has no recent failures, or the next probe request is due. */
    bool isRequestAllowed(Time now) const;
    /** @returns whether it certainly has this version, so that a stream that the version began may go on there. */
    bool isCertainlyOf(streams::VersionKey wanted) const
    {
        // One that has been replaced or removed may have started again already.
        return this->version == wanted && wanted != streams::uncertainVersion && this->versionCertainty.isCertain()
            && this->availability != Availability::Gone;
    }
    /** @returns whether it is cold, as far as this daemon knows. */
    bool isCold(Time now) const
    {
        return now < this->coldUntil;
    }
    /** @brief Records that it refuses requests for this time; after that, it gets single probe requests until it accepts one. */
    void recordBackoff(Duration closedFor, Time now);
    /** @brief Records that it has accepted a request. */
    void recordAccepted()
    {
        this->isAwaitingAcceptance = false;
    }
    /** @returns the time until which it refuses requests; in the past when it accepts them. */
    Time backoffUntil() const
    {
        return this->backoffEnd;
    }
    /**
     * @brief Records an answer that shows that it works.
     * @param coldPeriod How long it is treated as cold if it has failed repeatedly before, since it may have restarted.
     */
    void recordSuccess(Time now, Duration coldPeriod);
    /**
     * @brief Records a failed connection, a missing answer or an aborted answer.
     * @param sentAt When the attempt began. Attempts that were in progress at an earlier failure may have failed from the same
     * cause, so that only later ones count as another failure in a row.
     */
    void recordFailure(Time sentAt, Time now);
    /** @brief Records an answer with an internal error: it counts in the failure rate, but proves that it can be reached. */
    void recordErrorAnswer(Time now);
    /** @brief Records that it refused a connection, so that no process listens at its address. Only probe requests are sent from then on,
     * and one that succeeds shows that it has started again. */
    void recordRefusedConnection(Time now);
    /** @returns whether a request of this daemon has been answered there. */
    bool hasAnswered() const
    {
        return this->lastAnswerAt != Time(0);
    }
    /**
     * @brief Records that a connection was lost before an answer had begun.
     * @returns hash of the incarnation that was lost. One that refused connections since it was lost before has started again, although its
     * new entry isn't known, and counts as another incarnation.
     */
    std::uint32_t recordLoss();
    /** @brief Records that a request is being sent. */
    void recordAttempt(Time now);
    /** @brief Records that the answer to a request sent at @p sentAt has begun, or that the request was abandoned. */
    void recordWaitEnd(Time sentAt, bool hasAnswered, Time now);
    /** @returns whether requests are waiting for an answer and none has begun for longer than a working backend server takes. */
    bool isUnresponsive(Time now) const;
    /** @brief Records how much later than predicted a first event arrived. */
    void recordExcessDelay(Duration excess, Time now);
    /** @brief Records how long a request occupied a slot of a model engine. */
    void recordSlotTime(Duration hold, Time now);
    /** @brief Records how long an application request took. @param sentAt When it was sent. */
    void recordServiceTime(Duration taken, Time sentAt, Time now);
    /** @returns the expected time of an application request that begins now; zero without recent ones. */
    Duration expectedServiceTime(Time now) const;
    /** @returns predicted wait for a slot of a model engine, from the in-flight requests of all daemons. */
    Duration slotDelay(Time now) const;
    /** @returns predicted queueing delay of a new request, from the delays of recent first events. */
    Duration queueDelay(Time now) const;

    BackendRecord record;
    std::optional<Locality> locality; ///< Set when it is first considered for a request.
    Availability availability = Availability::Ready;
    Time unconfirmedUntil {0}; ///< When Availability::Unconfirmed ends.
    Time coldUntil {0};
    std::uint32_t handle; ///< Hash of the id.
    std::uint32_t incarnation; ///< Hash of the id and the start time.
    streams::VersionKey version; ///< Of the version that its entry names.
    VersionCertainty versionCertainty;
    std::uint32_t inFlight = 0; ///< This daemon's requests in progress there.
    std::uint32_t openConnections = 0; ///< This daemon's connections to it, idle ones included.
    double pendingPrefillTokens = 0; ///< Uncached prompt tokens of this daemon's requests whose first event has not arrived yet.
    exchange::BackendLoad loadFromOthers; ///< Load caused by the other daemons, from their last messages.
    std::optional<LoadReport> loadReport;
    dispatch::AnnouncedLimit announcedLimit;
    std::optional<LimitHolding> limitHolding;
    std::uint64_t heldBack = 0; ///< Requests that were placed elsewhere, or refused, since this daemon's part of its limit was used up.
    engine::ReportedSlowness slowness; ///< How long work takes there, as its answers tell.
    engine::CommittedMemory memory; ///< Tokens of requests in progress; only for model engines.
    dispatch::DecayingAverage excessDelay; ///< Delay of first events beyond the prediction, in microseconds.
    dispatch::DecayingSum firstEventCount; ///< Recent first events at this daemon, with decay.
    dispatch::DecayingAverage serviceTime; ///< Duration of an answer at a slowness of 1, or of a slot's occupation, in microseconds.
    dispatch::DecayingAverage failureRate; ///< Fraction of failed answers, 0 to 1.
    dispatch::SlidingWindow recentAttempts; ///< This daemon's requests in the window of the cold limit.
    dispatch::PrefixCacheModel prefixCache;
    std::deque<IdleConnection> idleConnections; ///< The least recently used one is at the front.

private:
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t unpublishedStarts = 0; ///< Starts that its entry doesn't tell of.
    bool wasLost = false; ///< Since its last start, as far as this daemon knows.
    bool isAbsent = false; ///< It has refused a connection since then.
    Time lastCountedFailureAt = Time::min();
    Time nextProbeAt {0}; ///< Earliest time of the next probe request.
    Time backoffEnd {0};
    bool isAwaitingAcceptance = false; ///< It has refused requests and has not accepted one since.
    Time lastAnswerAt {0};
    std::multiset<Time> unanswered; ///< Send times of the requests whose answers have not begun.
};

using BackendServerPtr = std::shared_ptr<BackendServer>;

}
