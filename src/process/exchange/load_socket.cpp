#include "process/exchange/load_socket.h"

#include "process/event_log.h"
#include "process/exchange/load_codec.h"

namespace eelgrassnotch::process::exchange
{

using boost::asio::ip::udp;

namespace
{

/**
 * Datagrams that are read in one turn of the event loop. One a turn would not keep up in a busy daemon, whose turns are long: it would
 * read ever older loads.
 */
constexpr std::size_t maxDatagramsAtOnce = 256;

}

LoadSocket::LoadSocket(boost::asio::io_context &context, const std::string &ownIp, std::uint16_t daemonPort, OnMessage messageHandler)
    : socket(context, udp::endpoint(boost::asio::ip::make_address(ownIp), daemonPort))
    , port(daemonPort)
    , onMessage(std::move(messageHandler))
{
    this->socket.non_blocking(true);
    this->receive();
}

void LoadSocket::send(const Peer &to, const Message &message)
{
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(to.address, error);
    if (!error) {
        const std::vector<std::uint8_t> bytes = encode(message);
        this->socket.send_to(boost::asio::buffer(bytes), udp::endpoint(address, this->port), 0, error);
    }
    if (error && error != boost::asio::error::would_block) {
        logWarning("load_message_not_sent", {{"to", to.address}, {"cause", error.message()}});
    }
}

void LoadSocket::process(std::size_t size)
{
    if (const auto message = decode(std::span<const std::uint8_t>(this->buffer.data(), size))) {
        this->onMessage(*message, this->sender.address().to_string());
    } else {
        logWarning("load_message_unreadable", {{"from", this->sender.address().to_string()}, {"bytes", std::to_string(size)}});
    }
}

void LoadSocket::receive()
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
                                            logWarning("load_message_not_received", {{"cause", error.message()}});
                                        }
                                        this->receive();
                                    });
}

}
