#pragma once

/** @file Calls to one server, one at a time, whose answers are read whole and in bounded time. */

#include "connection/http/client_connection.h"
#include "connection/one_shot_timer.h"

#include <boost/asio/io_context.hpp>

namespace eelgrassnotch::connection::http
{

/** @brief What a call brought. */
struct CallResult {
    unsigned status = 0; ///< Zero without a whole answer.
    std::string body;
    std::string failure; ///< Cause, without a whole answer.
    std::shared_ptr<const AnswerHeader> header; ///< Null without a whole answer, unless a hook took what came of it.

    bool operator==(const CallResult &) const = default;
};

/** @brief Time limits of a call. */
struct CallTimeouts {
    Duration connect {0};
    Duration whole {0}; ///< From the call to the end of its answer.
    Duration begin = whole; ///< From the call to the first part of the answer's body.
    Duration pause = whole; ///< Between two parts of the body.

    bool operator==(const CallTimeouts &) const = default;
};

/** @brief Keeps its connection between calls. Nothing is called after cancel(). */
class CallClient
{
public:
    using OnDone = std::function<void(const CallResult &)>;
    /** Takes the body of an answer in parts. */
    using OnBody = std::function<void(const AnswerHeader &header, std::string_view part)>;

    CallClient(boost::asio::io_context &ioContext, Endpoint serverAddress);

    /** @brief Cancels a call in progress, and makes calls to another server. */
    void setServer(const Endpoint &serverAddress);
    /** @brief Begins a call; none may be in progress. @param request Its host is set. @param onDone May begin the next call. */
    void call(Request request, const CallTimeouts &timeouts, const OnDone &onDone);
    /** @brief Begins a call whose answer's body is not kept, and may have any size. @param onBody May not make or cancel calls. */
    void call(Request request, const CallTimeouts &timeouts, const OnBody &onBody, const OnDone &onDone);
    /** @brief Ends a call in progress, and the connection. */
    void cancel();

private:
    /** A call in progress. */
    struct Exchange {
        CallTimeouts timeouts;
        OnBody onBody; ///< Empty when the result keeps the body.
        OnDone onDone;
        Time until {0}; ///< End of the time for the whole answer.
        CallResult result;
    };

    static CallResult failureOf(const Exchange &exchange, const std::string &cause);
    void takePart(const std::shared_ptr<Exchange> &exchange, std::string_view part);
    /** @brief Gives the call up after this time, or at the end of the time for the whole answer. */
    void setTimer(const std::shared_ptr<Exchange> &exchange, Duration longest);
    void giveUp(const std::shared_ptr<Exchange> &exchange, const std::string &cause);

    boost::asio::io_context &context;
    Endpoint server;
    OneShotTimer timer;
    std::shared_ptr<ClientConnection> link;
    std::uint64_t callNumber = 0;
};

}
