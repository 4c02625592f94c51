#pragma once

/** @file A server on loopback that answers byte by byte as a case wants it, one thread a connection. */

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace harness
{

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Socket = boost::asio::ip::tcp::socket;

/** @brief Reads requests of any size, and hands them to an answering function. */
class Server
{
public:
    /** Answers on the socket. @returns whether to read another request from the connection. */
    using Answer = std::function<bool(Socket &, const Request &)>;

    explicit Server(Answer answerFunction);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    std::string address() const;

private:
    void accept();
    void serve(Socket &socket);

    Answer answer;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::atomic<bool> stopping {false};
    std::mutex mutex;
    std::list<Socket> sockets;
    std::vector<std::thread> workers;
    std::thread thread;
};

/** @brief Writes all bytes; a peer that has gone is ignored. */
void sendBytes(Socket &socket, const std::string &bytes);

}
