#include "standin/raw_server.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <limits>

namespace standin
{

using boost::asio::ip::tcp;

RawServer::RawServer(Script answerScript, Reading requestReading)
    : script(std::move(answerScript))
    , reading(requestReading)
    , acceptor(this->context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    , thread([this] { this->run(); })
{
}

RawServer::~RawServer()
{
    this->stopping = true;
    {
        boost::system::error_code ignored; // Only wakes the acceptor.
        tcp::socket wake(this->context);
        wake.connect(this->acceptor.local_endpoint(), ignored);
    }
    this->thread.join();
    {
        const std::lock_guard lock(this->mutex);
        for (const int descriptor : this->descriptors) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
    for (std::thread &worker : this->workers) {
        worker.join();
    }
}

std::string RawServer::address() const
{
    return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

std::vector<Request> RawServer::requests() const
{
    const std::lock_guard lock(this->mutex);
    return this->seen;
}

void RawServer::run()
{
    while (true) {
        tcp::socket socket(this->context);
        this->acceptor.accept(socket);
        if (this->stopping) {
            return;
        }
        ++this->accepted;
        this->workers.emplace_back([this, accepted = std::move(socket)]() mutable { this->serve(std::move(accepted)); });
    }
}

void RawServer::serve(Socket socket)
{
    const int descriptor = socket.native_handle();
    {
        const std::lock_guard lock(this->mutex);
        this->descriptors.push_back(descriptor);
    }
    boost::beast::flat_buffer buffer;
    bool goesOn = true;
    while (goesOn) {
        boost::beast::http::request_parser<boost::beast::http::string_body> parser;
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        boost::system::error_code error;
        if (this->reading == Reading::Whole) {
            boost::beast::http::read(socket, buffer, parser, error);
        } else {
            boost::beast::http::read_header(socket, buffer, parser, error);
        }
        if (error) {
            break;
        }
        const Request request = parser.release();
        {
            const std::lock_guard lock(this->mutex);
            this->seen.push_back(request);
        }
        goesOn = this->script(socket, request);
    }
    const std::lock_guard lock(this->mutex);
    std::erase(this->descriptors, descriptor);
    boost::system::error_code ignored; // The script may have closed it.
    socket.close(ignored);
}

void sendBytes(Socket &socket, const std::string &bytes)
{
    boost::system::error_code ignored; // A peer that has gone is what some tests are about.
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
}

void sendReset(Socket &socket)
{
    boost::system::error_code ignored; // The socket is given up either way.
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

namespace
{

/** Below the ports that the kernel gives to outgoing connections and to listeners that ask for any. */
constexpr std::uint16_t firstPort = 12000;
constexpr std::uint16_t portCount = 18000;
/** Test programs that run side by side begin far from each other. */
constexpr std::uint16_t portsPerProcess = 600;

template <class Protocol>
bool isFree(std::uint16_t port)
{
    boost::asio::io_context context;
    typename Protocol::socket socket(context, Protocol::v4());
    boost::system::error_code error;
    socket.bind({boost::asio::ip::make_address("127.0.0.1"), port}, error);
    return !error;
}

}

std::uint16_t findFreePort()
{
    static std::atomic<std::uint32_t> next {static_cast<std::uint32_t>(::getpid()) * portsPerProcess};
    while (true) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        if (isFree<tcp>(port) && isFree<boost::asio::ip::udp>(port)) {
            return port;
        }
    }
}

}
