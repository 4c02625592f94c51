#pragma once

/** @file Hands requests of a busy daemon over to neighbours in its data centre. */

#include "connection/http/server_session.h"
#include "connection/one_shot_timer.h"
#include "process/handover/frame_link.h"
#include "process/handover/room.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassnotch::process::handover
{

/** @brief Why a request that was handed over got no answer of its neighbour. */
enum class HandoverFailure {
    Declined, ///< The neighbour doesn't serve it, and nothing of it was passed on.
    Lost, ///< The link has ended. The request may have run.
    Expired, ///< No answer within the request's time limit. The request may have run.
};

/** @brief What a sender needs from its daemon. */
struct SenderHooks {
    /** Answers a caller whose request was handed over, as far as nothing of its answer has been written. */
    std::function<void(connection::http::AnswerWriter &, const std::string &id, HandoverFailure)> onFailure;
};

/** @brief A request to be handed over. */
struct HandoverRequest {
    std::string id; ///< For logs and for an answer of this daemon's own.
    Duration waited {0}; ///< Since it arrived.
    Duration timeLimit {0}; ///< Until its answer is due.
    std::uint64_t configurationVersion = 0; ///< In force at this daemon.
};

/** @brief Counts since the start of the daemon. */
struct SenderStats {
    std::uint64_t handedOver = 0;
    std::uint64_t declined = 0;
    std::uint64_t lost = 0; ///< Links that ended, and answers that didn't come in time.
    std::uint64_t noRoom = 0; ///< Requests for which no neighbour had room.

    bool operator==(const SenderStats &) const = default;
};

/**
 * @brief Keeps links to neighbours while this daemon is busy, and relays the answers.
 *
 * A request is handed over once, and never sent again by this daemon. Links are
 * opened when the first request is to be handed over, and closed when they have
 * not been used for some seconds.
 */
class Sender
{
public:
    Sender(boost::asio::io_context &ioContext, SenderHooks senderHooks);
    ~Sender();

    /** @brief Sets the addresses at which daemons of this data centre serve others. */
    void setNeighbours(std::vector<connection::http::Endpoint> addresses);
    /** @brief Hands a request over. @returns false when no neighbour has room, and the request is unchanged. */
    bool handOver(const connection::http::ServerSessionPtr &session, const connection::http::Request &request,
                  const HandoverRequest &handover);
    /** @brief Adapts the limit, and ends links and requests that are overdue; must be called at a constant interval. */
    void tick(Duration timerLag, double acceptedFraction, Time now);
    /** @brief Answers all requests that are still handed over, since the process is about to end. */
    void endRequests();
    /** @returns whether some neighbour has room. */
    bool hasRoom() const;
    const SenderStats &stats() const
    {
        return this->counts;
    }

private:
    struct Relayed {
        connection::http::ServerSessionPtr session;
        std::string id;
        Time expiresAt {0};
        bool hasBytes = false; ///< Bytes of its answer have been written.
    };
    struct Neighbour {
        connection::http::Endpoint address;
        FrameLinkPtr link; ///< Null while there is none.
        std::shared_ptr<connection::http::Socket> connecting;
        std::map<std::uint32_t, Relayed> requests;
        std::uint32_t room = 0;
        std::uint32_t nextRequest = 0;
        Time lastUsedAt {0};
        Time retryAt {0}; ///< Not connected again before.
    };
    using NeighbourPtr = std::shared_ptr<Neighbour>;

    void connect(const NeighbourPtr &neighbour);
    void onConnected(const NeighbourPtr &neighbour, connection::http::Socket socket);
    void onFrame(Neighbour &neighbour, const wire::Frame &frame);
    void closeLink(Neighbour &neighbour, const std::string &cause);
    void cancel(Neighbour &neighbour, std::uint32_t number);
    void fail(const Relayed &relayed, HandoverFailure failure);

    boost::asio::io_context &context;
    SenderHooks hooks;
    std::vector<NeighbourPtr> neighbours;
    RelayLimit limit;
    SenderStats counts;
};

}
