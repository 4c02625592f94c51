#include "connection/http/listener.h"

#include "connection/http/limits.h"

namespace eelgrassnotch::connection::http
{

Listener::Listener(boost::asio::io_context &ioContext, const Endpoint &address, SessionHooks sessionHooks, std::size_t mostConnections)
    : context(ioContext)
    , acceptor(ioContext)
    , pause(ioContext)
    , hooks(std::make_shared<const SessionHooks>(std::move(sessionHooks)))
    , maxConnections(mostConnections)
{
    this->acceptor.open(address.protocol());
    this->acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    this->acceptor.bind(address);
    this->acceptor.listen(listenBacklog);
    this->accept();
}

void Listener::accept()
{
    this->acceptor.async_accept([this](boost::system::error_code error, Socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            this->pause.expires_after(acceptPause);
            this->pause.async_wait([this](boost::system::error_code waitError) {
                if (!waitError) {
                    this->accept();
                }
            });
            return;
        }
        if (this->sessions.size() >= this->maxConnections) {
            this->forgetEnded();
        }
        if (this->sessions.size() < this->maxConnections) {
            const auto session = std::make_shared<ServerSession>(std::move(socket), this->hooks);
            this->sessions.push_back(session);
            session->start();
        }
        this->accept();
    });
}

void Listener::forgetEnded()
{
    this->sessions.remove_if([](const std::weak_ptr<ServerSession> &session) { return session.expired(); });
}

std::size_t Listener::connectionCount()
{
    this->forgetEnded();
    return this->sessions.size();
}

std::size_t Listener::servingCount()
{
    this->forgetEnded();
    std::size_t serving = 0;
    for (const auto &weak : this->sessions) {
        if (const auto session = weak.lock(); session && session->isServing()) {
            ++serving;
        }
    }
    return serving;
}

void Listener::closeIdle()
{
    this->forgetEnded();
    for (const auto &weak : this->sessions) {
        if (const auto session = weak.lock()) {
            session->closeIfIdle();
        }
    }
}

}
