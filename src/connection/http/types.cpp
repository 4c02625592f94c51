#include "connection/http/types.h"

#include "connection/http/limits.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <stdexcept>

namespace eelgrassnotch::connection::http
{

Endpoint parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("\"" + text + "\" is not of the form IP:PORT");
    }
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    std::uint16_t port = 0;
    const auto [end, result] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (error || result != std::errc {} || end != text.data() + text.size()) {
        throw std::invalid_argument("\"" + text + "\" is not of the form IP:PORT");
    }
    return {address, port};
}

bool hasUnknownTransferCoding(const boost::beast::http::fields &header)
{
    constexpr auto transferEncoding = boost::beast::http::field::transfer_encoding;
    const auto coding = header.find(transferEncoding);
    return coding != header.end() && (!boost::beast::iequals(coding->value(), "chunked") || header.count(transferEncoding) > 1);
}

void configureSocket(Socket &socket)
{
    boost::system::error_code ignored; // A socket that its peer has reset fails on the next read.
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const int descriptor = socket.native_handle();
    const auto set = [descriptor](int level, int option, int value) { ::setsockopt(descriptor, level, option, &value, sizeof value); };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(std::chrono::milliseconds(unacknowledgedTimeout).count()));
}

void resetSocket(Socket &socket)
{
    boost::system::error_code ignored; // The socket is given up either way.
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

}
