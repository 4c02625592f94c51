#pragma once

/** @file Sends and receives load messages over UDP. */

#include "process/exchange/load_exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>

namespace eelgrassnotch::process::exchange
{

/** @brief One UDP socket; datagrams that are lost or can't be sent are not repeated, as newer ones follow. */
class LoadSocket
{
public:
    /** Takes a message and the IP of its sender. */
    using OnMessage = std::function<void(const Message &, const std::string &)>;

    /** @param port The same for all daemons. @throws boost::system::system_error when the port can't be bound. */
    LoadSocket(boost::asio::io_context &context, const std::string &ownIp, std::uint16_t daemonPort, OnMessage messageHandler);

    void send(const Peer &to, const Message &message);

private:
    void receive();

    static constexpr std::size_t maxDatagramBytes = 65507;

    boost::asio::ip::udp::socket socket;
    std::uint16_t port;
    OnMessage onMessage;
    alignas(std::uint64_t) std::array<std::uint8_t, maxDatagramBytes> buffer {}; ///< Numbers are read in place.
    boost::asio::ip::udp::endpoint sender;
};

}
