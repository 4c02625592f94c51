#pragma once

/** @file Kept connections to backend servers. */

#include "process/directory/backend_server.h"

#include <boost/asio/io_context.hpp>

namespace eelgrassnotch::process::proxy
{

/** @brief Lends connections and takes them back. */
class BackendConnectionPool
{
public:
    explicit BackendConnectionPool(boost::asio::io_context &ioContext);

    /**
     * @brief Lends a connection, kept or new.
     * @param maxIdleTime A connection that was idle for longer is not lent: its backend server may be about to close it.
     */
    std::shared_ptr<connection::http::ClientConnection> acquire(const directory::BackendServerPtr &backend, Duration maxIdleTime, Time now);
    /** @brief Takes a connection back, to keep it when it may be used again. */
    void release(const directory::BackendServerPtr &backend, const std::shared_ptr<connection::http::ClientConnection> &connection,
                 Time now);
    /** @brief Closes connections that have been idle for too long. */
    static void closeIdle(const directory::BackendServerPtr &backend, Time now);

private:
    boost::asio::io_context &context;
};

}
