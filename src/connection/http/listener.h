#pragma once

/** @file Accepts connections on one address. */

#include "connection/http/server_session.h"
#include "connection/one_shot_timer.h"

#include <boost/asio/io_context.hpp>

#include <list>
#include <memory>

namespace eelgrassnotch::connection::http
{

/** @brief Accepts callers and keeps track of their sessions. */
class Listener
{
public:
    /** @throws boost::system::system_error when the address can't be listened on. */
    Listener(boost::asio::io_context &context, const Endpoint &address, SessionHooks sessionHooks, std::size_t mostConnections);

    /** @returns open connections. */
    std::size_t connectionCount();
    /** @returns connections accepted since the start. */
    std::uint64_t acceptedCount() const
    {
        return this->accepted;
    }
    /** @returns connections on which a request is being served. */
    std::size_t servingCount();
    /** @brief Ends connections that have no request. */
    void closeIdle();

private:
    void accept();
    boost::system::error_code acceptWaiting();
    void forgetEnded();

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    OneShotTimer pause;
    std::shared_ptr<const SessionHooks> hooks;
    std::size_t maxConnections;
    std::list<std::weak_ptr<ServerSession>> sessions;
    std::uint64_t accepted = 0;
};

}
