#include "connection/http/listener.h"

#include "connection/http/limits.h"

namespace eelgrassnotch::connection::http
{

Listener::Listener(boost::asio::io_context &ioContext, const Endpoint &address, SessionHooks sessionHooks, std::size_t mostConnections)
    : context(ioContext)
    , acceptor(ioContext)
    , pause(ioContext.get_executor())
    , hooks(std::make_shared<const SessionHooks>(std::move(sessionHooks)))
    , maxConnections(mostConnections)
{
    this->acceptor.open(address.protocol());
    this->acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    this->acceptor.bind(address);
    this->acceptor.listen(listenBacklog);
    this->acceptor.non_blocking(true);
    this->accept();
}

void Listener::accept()
{
    this->acceptor.async_wait(boost::asio::ip::tcp::acceptor::wait_read, [this](boost::system::error_code error) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            error = this->acceptWaiting();
        }
        if (!error || error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
            this->accept();
            return;
        }
        this->pause.start(acceptPause, [this] { this->accept(); });
    });
}

boost::system::error_code Listener::acceptWaiting()
{
    // One connection a turn of the event loop would let callers wait for as long as a turn takes, each.
    boost::system::error_code error;
    for (std::size_t count = 0; count < maxAcceptsPerTurn; ++count) {
        Socket socket(this->context);
        this->acceptor.accept(socket, error);
        if (error) {
            return error;
        }
        if (this->sessions.size() >= this->maxConnections) {
            this->forgetEnded();
        }
        if (this->sessions.size() < this->maxConnections) {
            const auto session = std::make_shared<ServerSession>(std::move(socket), this->hooks);
            this->sessions.push_back(session);
            session->start();
            ++this->accepted;
        }
    }
    return error;
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
