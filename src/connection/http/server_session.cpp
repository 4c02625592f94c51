#include "connection/http/server_session.h"

#include "connection/http/limits.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <charconv>
#include <sstream>

#include <sys/socket.h>

namespace eelgrassnotch::connection::http
{

namespace beast = boost::beast;
using beast::http::field;

namespace
{

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusTimeout = 408;
constexpr unsigned statusBodyTooLarge = 413;
constexpr unsigned statusHeaderTooLarge = 431;

unsigned statusOf(boost::system::error_code error)
{
    if (error == beast::http::error::header_limit || error == beast::http::error::buffer_overflow) {
        return statusHeaderTooLarge;
    }
    return error == beast::http::error::body_limit ? statusBodyTooLarge : statusBadRequest;
}

/** Whether the caller closed or reset; otherwise the bytes were no valid request. */
bool isDisconnect(boost::system::error_code error)
{
    return error == beast::http::error::end_of_stream || error == beast::http::error::partial_message
        || error.category() == boost::system::system_category() || error == boost::asio::error::eof;
}

/** A coding other than "chunked" would leave the end of the body to guesswork, and what follows it to be taken for a request. */
bool hasUnknownTransferCoding(const Request &request)
{
    const auto coding = request.find(field::transfer_encoding);
    return coding != request.end() && (!beast::iequals(coding->value(), "chunked") || request.count(field::transfer_encoding) > 1);
}

/** What a socket tells without waiting. */
enum class SocketState {
    quiet,
    hasBytes,
    ended, ///< Closed or reset by the peer.
};

SocketState peek(int descriptor)
{
    char byte = 0;
    const ssize_t received = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received > 0) {
        return SocketState::hasBytes;
    }
    const bool isQuiet = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return isQuiet ? SocketState::quiet : SocketState::ended;
}

std::string toChunk(std::string_view part)
{
    std::array<char, 20> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), part.size(), 16).ptr;
    std::string chunk(size.data(), end);
    chunk += "\r\n";
    chunk += part;
    chunk += "\r\n";
    return chunk;
}

template <class Message>
std::string headerText(const Message &message)
{
    std::ostringstream text;
    text << message.base();
    return text.str();
}

}

ServerSession::ServerSession(Socket callerSocket, std::shared_ptr<const SessionHooks> sessionHooks)
    : socket(std::move(callerSocket))
    , hooks(std::move(sessionHooks))
    , timer(this->socket.get_executor())
{
}

void ServerSession::start()
{
    configureSocket(this->socket);
    this->waitForRequest();
}

void ServerSession::arm(Duration timeout, std::function<void()> onExpiry)
{
    this->timer.start(timeout, [weak = this->weak_from_this(), onExpiry = std::move(onExpiry)] {
        if (const auto self = weak.lock()) {
            onExpiry();
        }
    });
}

void ServerSession::waitForRequest()
{
    this->serving = false;
    this->answerEnds = false;
    this->reading = this->buffer.size() > 0;
    if (this->reading) {
        this->readHeader();
        return;
    }
    // Thousands of idle connections would hold most of a small VM's memory.
    this->buffer.shrink_to_fit();
    this->arm(this->hooks->limits().idleTimeout, [this] { this->closeIfIdle(); });
    this->socket.async_wait(Socket::wait_read, [self = this->shared_from_this()](boost::system::error_code error) {
        if (error || self->closed) {
            return;
        }
        self->reading = true;
        self->readHeader();
    });
}

void ServerSession::readHeader()
{
    const SessionLimits limits = this->hooks->limits();
    this->buffer.reserve(requestBufferBytes);
    this->parser.emplace();
    this->parser->header_limit(limits.maxHeaderBytes);
    this->parser->body_limit(limits.maxBodyBytes);
    this->arm(limits.headerTimeout, [this] {
        if (this->parser->got_some()) {
            this->reject(statusTimeout, "request not received in time");
        } else {
            this->abort();
        }
    });
    beast::http::async_read_header(
        this->socket, this->buffer, *this->parser,
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t) { self->onHeaderRead(error); });
}

void ServerSession::onHeaderRead(boost::system::error_code error)
{
    if (this->closed || this->serving) {
        return;
    }
    if (error) {
        this->onRequestRead(error);
        return;
    }
    if (hasUnknownTransferCoding(this->parser->get())) {
        this->reject(statusBadRequest, "unknown transfer coding");
        return;
    }
    beast::http::async_read(
        this->socket, this->buffer, *this->parser,
        [self = this->shared_from_this()](boost::system::error_code bodyError, std::size_t) { self->onRequestRead(bodyError); });
}

void ServerSession::onRequestRead(boost::system::error_code error)
{
    if (this->closed || this->serving) {
        return;
    }
    this->timer.cancel();
    if (error) {
        if (isDisconnect(error)) {
            this->abort();
            return;
        }
        this->reject(statusOf(error), error.message());
        return;
    }
    this->serving = true;
    this->reading = false;
    ++this->requests;
    Request request = this->parser->release();
    this->parser.reset();
    this->closeAfter = !request.keep_alive();
    this->waitForLeaving();
    this->hooks->onRequest(this->shared_from_this(), std::move(request));
}

void ServerSession::reject(unsigned status, const std::string &reason)
{
    this->serving = true;
    this->closeAfter = true;
    this->hooks->onRejected(status, reason);
    Answer answer(static_cast<beast::http::status>(status), 11);
    answer.set(field::content_type, "text/plain");
    answer.body() = reason + "\n";
    this->sendAnswer(std::move(answer));
}

void ServerSession::watchCaller(std::function<void()> onLeft)
{
    this->onCallerLeft = std::move(onLeft);
}

void ServerSession::waitForLeaving()
{
    this->socket.async_wait(Socket::wait_read,
                            [self = this->shared_from_this(), number = ++this->watchNumber](boost::system::error_code error) {
                                if (!error && number == self->watchNumber && self->serving && !self->closed) {
                                    self->onBytesWhileServing();
                                }
                            });
}

void ServerSession::onBytesWhileServing()
{
    const SocketState state = peek(this->socket.native_handle());
    if (state == SocketState::hasBytes) {
        // The next request came early: it stays in the socket, where the end of the connection can't be seen past it.
        return;
    }
    if (state == SocketState::quiet) {
        this->waitForLeaving();
        return;
    }
    const auto onLeft = std::exchange(this->onCallerLeft, nullptr);
    this->abort();
    if (onLeft) {
        onLeft();
    }
}

void ServerSession::sendAnswer(Answer answer)
{
    if (this->closed) {
        return;
    }
    this->onCallerLeft = nullptr;
    this->closeAfter = this->closeAfter || this->hooks->isClosing();
    answer.version(11);
    answer.keep_alive(!this->closeAfter);
    answer.prepare_payload();
    this->answerEnds = true;
    this->queue(headerText(answer) + answer.body());
}

void ServerSession::startStream(AnswerHeader header)
{
    if (this->closed) {
        return;
    }
    beast::http::response<beast::http::empty_body> answer(std::move(header));
    answer.version(11);
    this->closeAfter = this->closeAfter || this->hooks->isClosing();
    answer.keep_alive(!this->closeAfter);
    answer.erase(field::content_length);
    answer.set(field::transfer_encoding, "chunked");
    this->queue(headerText(answer));
}

void ServerSession::sendPart(std::string_view part)
{
    if (this->closed || part.empty()) {
        return;
    }
    if (this->waiting.size() + part.size() > maxQueuedAnswerBytes) {
        const auto onLeft = std::exchange(this->onCallerLeft, nullptr);
        this->abort();
        if (onLeft) {
            onLeft();
        }
        return;
    }
    this->queue(toChunk(part));
}

void ServerSession::finishStream()
{
    if (this->closed) {
        return;
    }
    this->onCallerLeft = nullptr;
    this->answerEnds = true;
    this->queue("0\r\n\r\n");
}

void ServerSession::queue(const std::string &bytes)
{
    this->waiting += bytes;
    if (!this->writing) {
        this->writeQueued();
    }
}

void ServerSession::writeQueued()
{
    this->writing = true;
    this->outgoing.swap(this->waiting);
    this->waiting.clear();
    boost::asio::async_write(this->socket, boost::asio::buffer(this->outgoing),
                             [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                                 self->writing = false;
                                 if (self->closed) {
                                     return;
                                 }
                                 if (error) {
                                     const auto onLeft = std::exchange(self->onCallerLeft, nullptr);
                                     self->abort();
                                     if (onLeft) {
                                         onLeft();
                                     }
                                     return;
                                 }
                                 if (!self->waiting.empty()) {
                                     self->writeQueued();
                                 } else if (self->answerEnds) {
                                     self->onAnswerWritten();
                                 }
                             });
}

void ServerSession::onAnswerWritten()
{
    ++this->watchNumber;
    if (this->closeAfter) {
        this->closeGently();
        return;
    }
    boost::system::error_code ignored; // Cancelling a wait can't fail on an open socket.
    this->socket.cancel(ignored);
    this->waitForRequest();
}

void ServerSession::closeGently()
{
    this->serving = false;
    boost::system::error_code ignored; // The caller may have closed first.
    this->socket.shutdown(Socket::shutdown_send, ignored);
    this->arm(lingerTimeout, [this] { this->abort(); });
    this->socket.async_wait(Socket::wait_read, [self = this->shared_from_this()](boost::system::error_code) {
        if (!self->closed) {
            self->abort();
        }
    });
}

void ServerSession::closeIfIdle()
{
    if (this->serving || this->reading || this->closed) {
        return;
    }
    this->closed = true;
    this->timer.cancel();
    boost::system::error_code ignored; // The socket is given up either way.
    this->socket.close(ignored);
}

void ServerSession::abort()
{
    if (this->closed) {
        return;
    }
    this->closed = true;
    this->serving = false;
    this->reading = false;
    this->onCallerLeft = nullptr;
    this->timer.cancel();
    resetSocket(this->socket);
}

bool ServerSession::hasCallerLeft()
{
    return peek(this->socket.native_handle()) == SocketState::ended;
}

}
