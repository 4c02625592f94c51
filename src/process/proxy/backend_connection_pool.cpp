#include "process/proxy/backend_connection_pool.h"

#include "process/clock.h"

#include <algorithm>

namespace eelgrassnotch::process::proxy
{

using connection::http::ClientConnection;
using directory::BackendServer;
using directory::BackendServerPtr;

namespace
{

using namespace std::chrono_literals;

constexpr Duration idleTimeout = 8s;

void removeIdleConnection(BackendServer &backend, const ClientConnection *connection)
{
    const auto entry = std::find_if(backend.idleConnections.begin(), backend.idleConnections.end(),
                                    [connection](const directory::IdleConnection &idle) { return idle.connection.get() == connection; });
    if (entry != backend.idleConnections.end()) {
        backend.idleConnections.erase(entry);
        --backend.openConnections;
    }
}

}

BackendConnectionPool::BackendConnectionPool(boost::asio::io_context &ioContext)
    : context(ioContext)
{
}

std::shared_ptr<ClientConnection> BackendConnectionPool::acquire(const BackendServerPtr &backend, Duration maxIdleTime, Time now)
{
    if (!backend->idleConnections.empty() && now - backend->idleConnections.back().idleSince <= maxIdleTime) {
        auto connection = backend->idleConnections.back().connection;
        backend->idleConnections.pop_back();
        return connection;
    }
    ++backend->openConnections;
    return std::make_shared<ClientConnection>(this->context.get_executor(), connection::http::parseEndpoint(backend->record.address), now);
}

void BackendConnectionPool::release(const BackendServerPtr &backend, const std::shared_ptr<ClientConnection> &connection, Time now)
{
    if (!connection->isReusable() || backend->availability == directory::Availability::Gone) {
        connection->cancel();
        --backend->openConnections;
        return;
    }
    backend->idleConnections.push_back({connection, now});
    connection->watchIdle([weak = std::weak_ptr<BackendServer>(backend), closed = connection.get()] {
        if (const auto server = weak.lock()) {
            // It may be idle for too long, or its process has ended.
            server->versionCertainty.recordSuspicion(readClock());
            removeIdleConnection(*server, closed);
        }
    });
}

void BackendConnectionPool::closeIdle(const BackendServerPtr &backend, Time now)
{
    while (!backend->idleConnections.empty() && now - backend->idleConnections.front().idleSince > idleTimeout) {
        backend->idleConnections.front().connection->cancel();
        backend->idleConnections.pop_front();
        --backend->openConnections;
    }
}

}
