#include "process/streams/stream_socket.h"

#include "process/event_log.h"

namespace eelgrassnotch::process::streams
{

using boost::asio::ip::udp;

namespace
{

/** Datagrams that are read in one turn of the event loop, as a busy daemon's turns are long. */
constexpr std::size_t maxDatagramsAtOnce = 256;

}

StreamSocket::StreamSocket(boost::asio::io_context &context, const std::string &ownIp, std::uint16_t daemonPort, OnMessage messageHandler)
    : socket(context, udp::endpoint(boost::asio::ip::make_address(ownIp), daemonPort))
    , port(daemonPort)
    , onMessage(std::move(messageHandler))
{
    this->socket.non_blocking(true);
    this->receive();
}

void StreamSocket::send(const std::string &to, const StreamMessage &message)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(to, error);
    if (!error) {
        const std::vector<std::uint8_t> bytes = encode(message);
        this->socket.send_to(boost::asio::buffer(bytes), udp::endpoint(address, this->port), 0, error);
    }
    if (error && error != boost::asio::error::would_block) {
        logWarning("stream_message_not_sent", {{"to", to}, {"cause", error.message()}});
    }
}

void StreamSocket::process(std::size_t size)
{
    const std::string from = this->sender.address().to_string();
    if (const auto message = decode(std::span<const std::uint8_t>(this->buffer.data(), size))) {
        this->onMessage(*message, from);
    } else {
        logWarning("stream_message_unreadable", {{"from", from}, {"bytes", std::to_string(size)}});
    }
}

void StreamSocket::receive()
{
    this->socket.async_receive_from(boost::asio::buffer(this->buffer), this->sender,
                                    [this](boost::system::error_code error, std::size_t size) {
                                        if (error == boost::asio::error::operation_aborted) {
                                            return;
                                        }
                                        for (std::size_t count = 0; !error; ++count) {
                                            this->process(size);
                                            if (count == maxDatagramsAtOnce) {
                                                break;
                                            }
                                            size = this->socket.receive_from(boost::asio::buffer(this->buffer), this->sender, 0, error);
                                        }
                                        if (error && error != boost::asio::error::would_block) {
                                            logWarning("stream_message_not_received", {{"cause", error.message()}});
                                        }
                                        this->receive();
                                    });
}

}
