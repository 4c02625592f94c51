#pragma once

/** @file Pool of persistent connections to backend servers. */

#include "process/directory/backend_server.h"

#include <boost/asio/io_context.hpp>

namespace eelgrassnotch::process::proxy
{

/** @brief Hands out connections to backend servers and reuses them; idle ones are stored at their BackendServer. */
class BackendConnectionPool
{
public:
    explicit BackendConnectionPool(boost::asio::io_context &ioContext);

    /**
     * @brief Returns the most recently used idle connection, or a new one.
     * @param maxIdleTime A connection that was idle for longer is not reused: its backend server may be about to close it.
     */
    std::shared_ptr<connection::http::ClientConnection> acquire(const directory::BackendServerPtr &backend, Duration maxIdleTime, Time now);
    /** @brief Returns a connection to the pool; it is closed when it cannot be reused or its backend server is gone. */
    void release(const directory::BackendServerPtr &backend, const std::shared_ptr<connection::http::ClientConnection> &connection,
                 Time now);
    /** @brief Closes connections that have been idle for longer than the pool's idle timeout. */
    static void closeIdle(const directory::BackendServerPtr &backend, Time now);

private:
    boost::asio::io_context &context;
};

}
