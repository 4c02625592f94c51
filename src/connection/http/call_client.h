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
    std::shared_ptr<const AnswerHeader> header; ///< Null without a whole answer.

    bool operator==(const CallResult &) const = default;
};

/** @brief Time limits of a call. */
struct CallTimeouts {
    Duration connect {0};
    Duration whole {0}; ///< From the call to the end of its answer.

    bool operator==(const CallTimeouts &) const = default;
};

/** @brief Keeps its connection between calls. Nothing is called after cancel(). */
class CallClient
{
public:
    using OnDone = std::function<void(const CallResult &)>;

    CallClient(boost::asio::io_context &ioContext, Endpoint serverAddress);

    /** @brief Cancels a call in progress, and makes calls to another server. */
    void setServer(const Endpoint &serverAddress);
    /** @brief Begins a call; none may be in progress. @param request Its host is set. @param onDone May begin the next call. */
    void call(Request request, const CallTimeouts &timeouts, const OnDone &onDone);
    /** @brief Ends a call in progress, and the connection. */
    void cancel();

private:
    boost::asio::io_context &context;
    Endpoint server;
    OneShotTimer timer;
    std::shared_ptr<ClientConnection> link;
    std::uint64_t callNumber = 0;
};

}
