#include "server.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <limits>

#include <sys/socket.h>

namespace harness
{

using boost::asio::ip::tcp;

Server::Server(Answer answerFunction)
    : answer(std::move(answerFunction))
    , acceptor(this->context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    , thread([this] { this->accept(); })
{
}

Server::~Server()
{
    this->stopping = true;
    boost::system::error_code ignored; // Only wakes the acceptor.
    Socket wake(this->context);
    wake.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
    for (Socket &socket : this->sockets) {
        ::shutdown(socket.native_handle(), SHUT_RDWR);
    }
    for (std::thread &worker : this->workers) {
        worker.join();
    }
}

std::string Server::address() const
{
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

void Server::accept()
{
    while (true) {
        Socket socket(this->context);
        this->acceptor.accept(socket);
        if (this->stopping) {
            return;
        }
        const std::lock_guard lock(this->mutex);
        Socket &accepted = this->sockets.emplace_back(std::move(socket));
        this->workers.emplace_back([this, &accepted] { this->serve(accepted); });
    }
}

void Server::serve(Socket &socket)
{
    boost::beast::flat_buffer buffer;
    bool goesOn = true;
    while (goesOn) {
        boost::beast::http::request_parser<boost::beast::http::string_body> parser;
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        boost::system::error_code error;
        boost::beast::http::read(socket, buffer, parser, error);
        if (error) {
            break;
        }
        goesOn = this->answer(socket, parser.get());
    }
    ::shutdown(socket.native_handle(), SHUT_RDWR);
}

void sendBytes(Socket &socket, const std::string &bytes)
{
    boost::system::error_code ignored; // A killed daemon is what some cases are about.
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
}

}
