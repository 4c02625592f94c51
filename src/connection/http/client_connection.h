#pragma once

/** @file One kept HTTP/1.1 connection to a server: a backend server or the platform's store. */

#include "connection/http/limits.h"
#include "connection/http/types.h"
#include "connection/one_shot_timer.h"
#include "eelgrassnotch/types.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassnotch::connection::http
{

/** @brief How an exchange ended. */
enum class EndKind {
    Complete, ///< The whole answer has been read.
    ConnectFailed, ///< No connection, so nothing was sent.
    Lost, ///< The connection ended before an answer began.
    BrokenOff, ///< The connection ended inside the answer.
    Malformed, ///< The bytes are not HTTP, or more than an answer may have.
};

/** @brief End of an exchange, with a text for the log. */
struct ExchangeEnd {
    EndKind kind = EndKind::Complete;
    std::string detail;
    bool isRefused = false; ///< The connection was refused: the host can be reached, and no process listens at the address.

    bool operator==(const ExchangeEnd &) const = default;
};

/** @brief Called while an exchange proceeds; nothing is called after onEnd() or cancel(). */
struct ExchangeHooks {
    /** @returns whether the answer is the one waited for; otherwise it is read to its end and dropped. */
    std::function<bool(const AnswerHeader &)> onHeader;
    std::function<void(std::string_view)> onBody;
    std::function<void(const ExchangeEnd &)> onEnd;
};

/**
 * @brief Sends one request at a time and reads its answer piece by piece.
 * @remarks Nothing is ever sent a second time. A connection that got bytes nobody waited for is not used again.
 */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /** @param createdAt For the owner. */
    ClientConnection(const boost::asio::any_io_executor &executor, Endpoint server, Time createdAt = Time(0));

    /** @brief Sends a request, over a new connection if none is open. @param connectTimeout For the connection alone. */
    void send(std::shared_ptr<const Request> request, Duration connectTimeout, ExchangeHooks hooks);
    /** @brief Ends the exchange by closing the connection; its hooks are not called any more. */
    void cancel();
    /** @brief Watches an idle connection. @param onClosed Called once when the server closes it or sends bytes unasked. */
    void watchIdle(std::function<void()> onClosed);
    /** @returns whether the connection is open and may carry another request. */
    bool isReusable() const;
    /** @returns the executor that calls the hooks. */
    boost::asio::any_io_executor executor()
    {
        return this->socket.get_executor();
    }
    /** @returns when the connection was created, which is before it was opened. */
    Time createdAt() const
    {
        return this->creationTime;
    }
    /** @returns whether a request has gone over this connection before. */
    bool wasUsed() const
    {
        return this->exchanges > 1;
    }

private:
    void connect(Duration timeout);
    void writeRequest();
    void beginAnswer();
    void receive();
    void onReceived(boost::system::error_code error);
    /** @brief Parses a head or a part of a body from the buffer. @returns the parser's error; it wants more bytes, or the answer is none.
     */
    boost::system::error_code parseReceived();
    void onHeader();
    void onEndOfFile();
    void finishAnswer();
    /** @returns whether an end of file is a reset that the write has met before the read. */
    bool isEndReset() const;
    void end(EndKind kind, const std::string &detail, bool isRefused = false);

    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    Endpoint server;
    Time creationTime;
    Socket socket;
    OneShotTimer connectTimer;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    std::array<char, readChunkBytes> chunk {};
    std::shared_ptr<const Request> request;
    ExchangeHooks hooks;
    std::function<void()> onIdleClosed;
    std::uint64_t generation = 0; ///< Handlers of an earlier exchange or watch see another number and do nothing.
    std::uint64_t exchanges = 0;
    std::uint32_t informationalAnswers = 0;
    std::uint32_t droppedAnswers = 0;
    std::size_t droppedBytes = 0;
    bool isOpen = false;
    bool isBusy = false;
    bool isWritten = false;
    boost::system::error_code writeError; ///< Of the request.
    bool isWanted = false; ///< The answer being read is the one waited for.
    bool keepsAlive = true;
};

}
