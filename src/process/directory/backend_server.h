#pragma once

/** @file One incarnation of a backend server, with what this daemon knows of its load and health. */

#include "connection/http/client_connection.h"
#include "process/directory/backend_record.h"
#include "process/dispatch/decaying_average.h"
#include "process/dispatch/prefix_cache_model.h"
#include "process/dispatch/sliding_window.h"
#include "process/exchange/load_summary.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>

namespace eelgrassnotch::process::directory
{

/** @brief Whether new requests may go to a backend server. */
enum class Availability {
    Ready,
    Draining, ///< It leaves, or its data centre is about to.
    Unconfirmed, ///< Its entry vanished while the store was away; usable until the store has had time to hear of it again.
    Gone,
};

/** @returns a name for logs. */
const char *nameOf(Availability availability);

/** @brief Where a backend server is, as seen from this daemon. */
struct Locality {
    std::string region;
    bool isInDataCentre = false; ///< In this daemon's data centre.
    bool isInRegion = false;
    Duration roundTrip {0};

    bool operator==(const Locality &) const = default;
};

/** @brief Load report that came with an answer. */
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    Time receivedAt {0};

    bool operator==(const LoadReport &) const = default;
};

/** @brief A kept connection and since when it has been idle. */
struct IdleConnection {
    std::shared_ptr<connection::http::ClientConnection> connection;
    Time idleSince {0};
};

/** @brief Lives as long as one incarnation, or a request that was sent to it. */
class BackendServer
{
public:
    explicit BackendServer(BackendRecord firstRecord, std::uint64_t cacheTokens);

    /** @returns whether a request may be tried: it has not failed lately, or the pause after failures is over. */
    bool isRequestAllowed(Time now) const;
    /** @returns whether it is cold, as far as known. */
    bool isCold(Time now) const
    {
        return now < this->coldUntil;
    }
    /** @brief Notes that it wants no requests for so long; it is then tried by single requests until it takes one. */
    void recordClosed(Duration closedFor, Time now);
    /** @brief Notes that it has taken a request. */
    void recordAccepted()
    {
        this->isReopening = false;
    }
    /** @returns the time until which it wants no requests; in the past when it takes them. */
    Time closedUntil() const
    {
        return this->closedEnd;
    }
    /** @brief Notes an answer that a working backend server would give. */
    void recordSuccess(Time now, Duration coldPeriod);
    /** @brief Notes that it did not connect, was silent or broke off. */
    void recordFailure(Time now);
    /** @brief Notes an answer that tells of an error inside the backend server. */
    void recordErrorAnswer(Time now);
    /** @brief Notes a request that is being sent. */
    void recordAttempt(Time now);
    /** @brief Notes that the answer to the request sent then has begun, or that nobody waits for it any more. */
    void recordWaitEnd(Time sentAt, bool hasAnswered, Time now);
    /** @returns whether requests wait there and nothing has come back for longer than a working backend server takes. */
    bool isUnresponsive(Time now) const;
    /** @brief Notes how much later than predicted a first event came. */
    void recordExcessDelay(Duration excess, Time now);
    /** @brief Notes how long a request held a slot of a model engine. */
    void recordSlotHold(Duration hold, Time now);
    /** @returns predicted wait for a slot of a model engine, from the requests in flight of all daemons. */
    Duration slotDelay(Time now) const;
    /** @returns predicted wait of a new request. */
    Duration queueDelay(Time now) const;

    BackendRecord record;
    std::optional<Locality> locality; ///< Set when it is first considered.
    Availability availability = Availability::Ready;
    Time unconfirmedUntil {0}; ///< End of Availability::Unconfirmed.
    Time coldUntil {0};
    std::uint32_t handle; ///< Hash of the id.
    std::uint32_t inFlight = 0; ///< This daemon's requests there.
    std::uint32_t openConnections = 0; ///< This daemon's connections there.
    double pendingPrefillTokens = 0; ///< Prompt tokens sent by this daemon, whose first event is not here yet.
    exchange::BackendLoad loadFromOthers; ///< Load from the other daemons, as of their last messages.
    std::optional<LoadReport> loadReport;
    dispatch::DecayingAverage excessDelay; ///< Microseconds beyond the prediction.
    dispatch::DecayingSum firstEventCount; ///< First events that this daemon saw lately.
    dispatch::DecayingAverage answerTime; ///< Microseconds to a whole answer of a plain service.
    dispatch::DecayingAverage failureRate;
    dispatch::SlidingWindow recentAttempts; ///< Requests sent in the last second.
    dispatch::PrefixCacheModel prefixCache;
    std::deque<IdleConnection> idleConnections; ///< Least recently used first.

private:
    std::uint32_t consecutiveFailures = 0;
    Time nextTrialAt {0};
    Time closedEnd {0};
    bool isReopening = false; ///< It was closed, and has not taken a request since.
    Time lastAnswerAt {0};
    std::multiset<Time> unanswered; ///< When requests were sent whose answers have not begun.
};

using BackendServerPtr = std::shared_ptr<BackendServer>;

}
