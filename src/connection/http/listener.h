#pragma once

/** @file Accepts connections on one address. */

#include "connection/http/server_session.h"
#include "connection/one_shot_timer.h"
#include "process/budget/progress.h"

#include <boost/asio/io_context.hpp>

#include <list>
#include <memory>
#include <vector>

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
    /** @returns whether more than half of the connections that may be open are taken. */
    bool isCrowded() const
    {
        return this->sessions.size() > this->maxConnections / 2;
    }
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
    /** A connection, and when it last moved bytes. */
    struct Entry {
        std::weak_ptr<ServerSession> session;
        process::budget::Progress progress;
    };
    /** Open connections with what the choice of whom to close needs, in the same order. */
    struct Candidates {
        std::vector<ServerSessionPtr> sessions;
        std::vector<process::budget::ClosingCandidate> described;
    };

    void accept();
    boost::system::error_code acceptWaiting();
    void forgetEnded();
    Candidates describe(Time now);
    /** @brief Closes idle connections, and then stalled ones, to free their descriptors. @returns whether there is room now. */
    bool makeRoom(Time now);
    /** @brief Closes connections whose caller takes nothing, and those that hold memory without progress while others wait for it. */
    void sweep();
    void giveWay(const Candidates &candidates, const std::vector<std::size_t> &chosen, const char *cause);
    void report(const Candidates &candidates, const std::vector<std::size_t> &chosen, const char *cause) const;

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    OneShotTimer pause;
    std::shared_ptr<const SessionHooks> hooks;
    std::size_t maxConnections;
    OneShotTimer sweepTimer;
    std::list<Entry> sessions;
    std::uint64_t accepted = 0;
};

}
