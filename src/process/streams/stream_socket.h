#pragma once

/** @file UDP socket for messages about streams. */

#include "process/streams/stream_codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>

namespace eelgrassnotch::process::streams
{

/** @brief Sends and receives messages about streams; the owner repeats what matters. */
class StreamSocket
{
public:
    /** Called with a message and the IP address of its sender. */
    using OnMessage = std::function<void(const StreamMessage &message, const std::string &from)>;

    /** @param daemonPort The same for all daemons. @throws boost::system::system_error if the port can't be bound. */
    StreamSocket(boost::asio::io_context &context, const std::string &ownIp, std::uint16_t daemonPort, OnMessage messageHandler);

    void send(const std::string &to, const StreamMessage &message);

private:
    void receive();
    void process(std::size_t size);

    static constexpr std::size_t maxDatagramBytes = 65507;

    boost::asio::ip::udp::socket socket;
    std::uint16_t port;
    OnMessage onMessage;
    alignas(std::uint64_t) std::array<std::uint8_t, maxDatagramBytes> buffer {}; ///< Aligned, since numbers are read in place.
    boost::asio::ip::udp::endpoint sender;
};

}
