#pragma once

/** @file Types that the HTTP server and the HTTP client share. */

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>

namespace eelgrassnotch::connection::http
{

using Endpoint = boost::asio::ip::tcp::endpoint;
using Socket = boost::asio::ip::tcp::socket;
using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Answer = boost::beast::http::response<boost::beast::http::string_body>;
using AnswerHeader = boost::beast::http::response_header<>;

/** @returns the endpoint of "IP:PORT". @throws std::invalid_argument when it is none. */
Endpoint parseEndpoint(const std::string &text);

/**
 * @returns whether a message has a transfer coding other than "chunked", or more than one (RFC 9112, section 6.1). Its body can't be
 * decoded, or its end can't be told, so that what follows might be taken for another message.
 */
bool hasUnknownTransferCoding(const boost::beast::http::fields &header);

/** @brief Turns on probes and timeouts that find a peer which has gone silent, and turns off delayed sends. */
void configureSocket(Socket &socket);

/** @brief Closes with a reset, so that nothing sent so far can be taken for a whole answer. */
void resetSocket(Socket &socket);

}
