#include "process/proxy/backend_pool.h"

#include <algorithm>

namespace eelgrassnotch::process::proxy
{

using connection::http::ClientConnection;
using directory::BackendServer;
using directory::BackendServerPtr;

namespace
{

using namespace std::chrono_literals;

/** Connections are kept for this long without a request. */
constexpr Duration keptFor = 8s;

void drop(BackendServer &backend, const ClientConnection *connection)
{
    const auto entry = std::find_if(backend.idleConnections.begin(), backend.idleConnections.end(),
                                    [connection](const directory::IdleConnection &idle) { return idle.connection.get() == connection; });
    if (entry != backend.idleConnections.end()) {
        backend.idleConnections.erase(entry);
        --backend.openConnections;
    }
}

}

BackendPool::BackendPool(boost::asio::io_context &ioContext)
    : context(ioContext)
{
}

std::shared_ptr<ClientConnection> BackendPool::acquire(const BackendServerPtr &backend, Duration longestIdle, Time now)
{
    if (!backend->idleConnections.empty() && now - backend->idleConnections.back().idleSince <= longestIdle) {
        auto connection = backend->idleConnections.back().connection;
        backend->idleConnections.pop_back();
        return connection;
    }
    ++backend->openConnections;
    return std::make_shared<ClientConnection>(this->context.get_executor(), connection::http::parseEndpoint(backend->record.address));
}

void BackendPool::release(const BackendServerPtr &backend, const std::shared_ptr<ClientConnection> &connection, Time now)
{
    if (!connection->isReusable() || backend->availability == directory::Availability::Gone) {
        connection->cancel();
        --backend->openConnections;
        return;
    }
    backend->idleConnections.push_back({connection, now});
    connection->watchIdle([weak = std::weak_ptr<BackendServer>(backend), closed = connection.get()] {
        if (const auto server = weak.lock()) {
            drop(*server, closed);
        }
    });
}

void BackendPool::closeIdle(const BackendServerPtr &backend, Time now)
{
    while (!backend->idleConnections.empty() && now - backend->idleConnections.front().idleSince > keptFor) {
        backend->idleConnections.front().connection->cancel();
        backend->idleConnections.pop_front();
        --backend->openConnections;
    }
}

}
