#include "process/proxy/backend_connection_pool.h"

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
    const auto entry = std::find_if(backend.idle.begin(), backend.idle.end(),
                                    [connection](const directory::IdleConnection &idle) { return idle.connection.get() == connection; });
    if (entry != backend.idle.end()) {
        backend.idle.erase(entry);
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
    if (!backend->idle.empty() && now - backend->idle.back().since <= maxIdleTime) {
        auto connection = backend->idle.back().connection;
        backend->idle.pop_back();
        return connection;
    }
    ++backend->openConnections;
    return std::make_shared<ClientConnection>(this->context.get_executor(), connection::http::parseEndpoint(backend->record.address));
}

void BackendConnectionPool::release(const BackendServerPtr &backend, const std::shared_ptr<ClientConnection> &connection, Time now)
{
    if (!connection->isReusable() || backend->availability == directory::Availability::Gone) {
        connection->cancel();
        --backend->openConnections;
        return;
    }
    backend->idle.push_back({connection, now});
    connection->watchIdle([weak = std::weak_ptr<BackendServer>(backend), closed = connection.get()] {
        if (const auto server = weak.lock()) {
            removeIdleConnection(*server, closed);
        }
    });
}

void BackendConnectionPool::closeIdle(const BackendServerPtr &backend, Time now)
{
    while (!backend->idle.empty() && now - backend->idle.front().since > idleTimeout) {
        backend->idle.front().connection->cancel();
        backend->idle.pop_front();
        --backend->openConnections;
    }
}

}
