#pragma once

/** @file UDP socket for load messages. */

#include "process/exchange/load_exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>

namespace eelgrassnotch::process::exchange
{

/** @brief Sends and receives load messages; lost or unsent datagrams are not repeated, since newer ones follow. */
class LoadSocket
{
public:
    /** Called with a message and the IP address of its sender. */
    using OnMessage = std::function<void(const Message &, const std::string &)>;

    /** @param daemonPort The same for all daemons. @throws boost::system::system_error if the port can't be bound. */
    LoadSocket(boost::asio::io_context &context, const std::string &ownIp, std::uint16_t daemonPort, OnMessage messageHandler);

    void send(const Peer &to, const Message &message);

private:
    void receive();
    /** @brief Decodes the datagram in the buffer. */
    void process(std::size_t size);

    static constexpr std::size_t maxDatagramBytes = 65507;

    boost::asio::ip::udp::socket socket;
    std::uint16_t port;
    OnMessage onMessage;
    alignas(std::uint64_t) std::array<std::uint8_t, maxDatagramBytes> buffer {}; ///< Aligned, since numbers are read in place.
    boost::asio::ip::udp::endpoint sender;
};

}
