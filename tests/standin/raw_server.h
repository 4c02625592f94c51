#pragma once

/** @file A server on loopback whose answers a test scripts byte by byte. */

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace standin
{

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Socket = boost::asio::ip::tcp::socket;

/** @brief How much of a request a server reads before it answers. */
enum class Reading {
    Whole,
    Head, ///< And the bytes that come with it; the script's request has no body.
};

/** @brief Reads requests and lets a script answer each one. */
class RawServer
{
public:
    /** Answers on the socket. @returns whether to read another request from the connection. */
    using Script = std::function<bool(Socket &, const Request &)>;

    explicit RawServer(Script answerScript, Reading requestReading = Reading::Whole);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    std::string address() const;
    /** @returns requests read so far. */
    std::vector<Request> requests() const;
    std::size_t connections() const
    {
        return this->accepted;
    }

private:
    void run();
    void serve(Socket socket);

    Script script;
    Reading reading;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::atomic<bool> stopping {false};
    std::atomic<std::size_t> accepted {0};
    mutable std::mutex mutex;
    std::vector<Request> seen;
    std::vector<int> descriptors;
    std::vector<std::thread> workers;
    std::thread thread;
};

/** @brief Writes all bytes, and ignores a peer that has gone. */
void sendBytes(Socket &socket, const std::string &bytes);
/** @brief Closes with a reset. */
void sendReset(Socket &socket);
/** @returns a port of loopback that is free for TCP and UDP, that no other call got, and that no outgoing connection will take. */
std::uint16_t findFreePort();

}
