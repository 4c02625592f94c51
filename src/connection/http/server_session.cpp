#include "connection/http/server_session.h"

#include "connection/http/answer_text.h"
#include "connection/http/limits.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

#include <sys/ioctl.h>
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

bool isWouldBlock(boost::system::error_code error)
{
    return error == boost::asio::error::would_block || error == boost::asio::error::try_again;
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

/** Bytes that the peer has not acknowledged; zero where the system doesn't tell. */
std::size_t unsentBytes(int descriptor)
{
    int bytes = 0;
    return ::ioctl(descriptor, TIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes) : 0;
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
    boost::system::error_code ignored; // A socket that can't be configured fails with its first read.
    this->socket.non_blocking(true, ignored);
    this->waitForRequest();
}

void ServerSession::enter(State next)
{
    this->state = next;
    ++this->stateNumber;
    this->timer.cancel();
    boost::system::error_code ignored; // Cancelling a wait can't fail on an open socket.
    this->socket.cancel(ignored);
}

template <class Handler>
auto ServerSession::inThisState(Handler handler)
{
    return [self = this->shared_from_this(), number = this->stateNumber, handler = std::move(handler)](boost::system::error_code error,
                                                                                                       auto...) {
        if (number == self->stateNumber) {
            handler(error);
        }
    };
}

void ServerSession::whenReadable(std::function<void()> onReadable)
{
    this->socket.async_wait(Socket::wait_read,
                            this->inThisState([onReadable = std::move(onReadable)](boost::system::error_code) { onReadable(); }));
}

void ServerSession::whenExpired(Duration timeout, std::function<void()> onExpiry)
{
    this->timer.start(timeout, [weak = this->weak_from_this(), onExpiry = std::move(onExpiry)] {
        if (const auto self = weak.lock()) {
            onExpiry();
        }
    });
}

void ServerSession::waitForRequest()
{
    this->enter(State::idle);
    this->answerEnds = false;
    if (this->buffer.size() > 0) {
        this->beginRequest();
        return;
    }
    // Thousands of idle connections would hold most of a small VM's memory.
    this->buffer.shrink_to_fit();
    this->whenExpired(this->hooks->limits().idleTimeout, [this] { this->closeIfIdle(); });
    this->whenReadable([this] { this->beginRequest(); });
}

void ServerSession::beginRequest()
{
    this->enter(State::receiving);
    const SessionLimits limits = this->hooks->limits();
    this->buffer.reserve(requestBufferBytes);
    this->parser.emplace();
    this->parser->header_limit(limits.maxHeaderBytes);
    this->parser->body_limit(limits.maxBodyBytes);
    this->maxUnparsedBytes = limits.maxHeaderBytes + requestBufferBytes;
    this->whenExpired(limits.headerTimeout, [this] { this->onRequestTimeout(); });
    this->receive();
}

void ServerSession::receive()
{
    std::size_t received = 0;
    while (this->parseReceived() && received < maxReceivedPerTurn) {
        const std::size_t size = this->readArrived();
        if (size == 0) {
            break;
        }
        received += size;
    }
    if (this->state == State::receiving) {
        this->whenReadable([this] { this->receive(); });
    }
}

std::size_t ServerSession::readArrived()
{
    const std::size_t space = std::max(this->buffer.capacity() - this->buffer.size(), minReadBytes);
    boost::system::error_code error;
    const std::size_t size = this->socket.read_some(this->buffer.prepare(space), error);
    this->buffer.commit(size);
    if (error && !isWouldBlock(error)) {
        this->abort();
    }
    return size;
}

bool ServerSession::parseReceived()
{
    while (this->buffer.size() > 0) {
        const bool hadHeader = this->parser->is_header_done();
        boost::system::error_code error;
        this->buffer.consume(this->parser->put(this->buffer.data(), error));
        if (error == beast::http::error::need_more) {
            if (this->buffer.size() < this->maxUnparsedBytes) {
                return true;
            }
            error = beast::http::error::buffer_overflow;
        }
        if (error) {
            this->reject(statusOf(error), error.message());
            return false;
        }
        if (!hadHeader && this->parser->is_header_done() && hasUnknownTransferCoding(this->parser->get())) {
            this->reject(statusBadRequest, "unknown transfer coding");
            return false;
        }
        if (this->parser->is_done()) {
            this->handOn();
            return false;
        }
    }
    return true;
}

void ServerSession::onRequestTimeout()
{
    // After a standstill of the process, the rest may wait in the socket.
    this->receive();
    if (this->state != State::receiving) {
        return;
    }
    if (this->parser->got_some()) {
        this->reject(statusTimeout, "request not received in time");
    } else {
        this->abort();
    }
}

void ServerSession::handOn()
{
    this->enter(State::serving);
    ++this->requests;
    Request request = this->parser->release();
    this->parser.reset();
    this->closeAfter = !request.keep_alive();
    this->waitForLeaving();
    this->hooks->onRequest(this->shared_from_this(), std::move(request));
}

void ServerSession::reject(unsigned status, const std::string &reason)
{
    this->enter(State::refusing);
    this->parser.reset();
    this->buffer = {};
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
    this->whenReadable([this] {
        const SocketState found = peek(this->socket.native_handle());
        if (found == SocketState::quiet) {
            this->waitForLeaving();
        } else if (found == SocketState::ended) {
            this->leaveCaller();
        }
        // Bytes of the next request stay in the socket, where the end of the connection can't be seen past them.
    });
}

void ServerSession::leaveCaller()
{
    const auto onLeft = std::exchange(this->onCallerLeft, nullptr);
    this->abort();
    if (onLeft) {
        onLeft();
    }
}

bool ServerSession::isAnswering() const
{
    return this->state == State::serving || this->state == State::refusing;
}

void ServerSession::sendAnswer(Answer answer)
{
    if (!this->isAnswering()) {
        return;
    }
    this->onCallerLeft = nullptr;
    this->answerEnds = true;
    this->queue(answerText(std::move(answer), this->closesAfterAnswer()));
}

void ServerSession::startStream(AnswerHeader header)
{
    if (!this->isAnswering()) {
        return;
    }
    this->queue(streamHeaderText(std::move(header), this->closesAfterAnswer()));
}

bool ServerSession::closesAfterAnswer()
{
    this->closeAfter = this->closeAfter || this->hooks->isClosing();
    return this->closeAfter;
}

void ServerSession::relay(std::string_view bytes)
{
    if (!this->isAnswering() || bytes.empty()) {
        return;
    }
    if (this->waiting.size() + bytes.size() > maxQueuedAnswerBytes) {
        this->leaveCaller();
        return;
    }
    this->queue(bytes);
}

void ServerSession::finishRelay()
{
    if (!this->isAnswering()) {
        return;
    }
    this->onCallerLeft = nullptr;
    this->answerEnds = true;
    if (!this->writing) {
        this->onAnswerWritten();
    }
}

void ServerSession::sendPart(std::string_view part)
{
    if (!this->isAnswering() || part.empty()) {
        return;
    }
    if (this->waiting.size() + part.size() > maxQueuedAnswerBytes) {
        this->leaveCaller();
        return;
    }
    this->queue(chunkText(part));
}

void ServerSession::finishStream()
{
    if (!this->isAnswering()) {
        return;
    }
    this->onCallerLeft = nullptr;
    this->answerEnds = true;
    this->queue(lastChunkText);
}

void ServerSession::queue(std::string_view bytes)
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
    boost::asio::async_write(this->socket, boost::asio::buffer(this->outgoing), this->inThisState([this](boost::system::error_code error) {
        this->writing = false;
        if (error) {
            this->leaveCaller();
        } else if (!this->waiting.empty()) {
            this->writeQueued();
        } else if (this->answerEnds) {
            this->onAnswerWritten();
        }
    }));
}

void ServerSession::onAnswerWritten()
{
    if (this->closeAfter) {
        this->closeGently();
    } else {
        this->waitForRequest();
    }
}

void ServerSession::closeGently()
{
    this->enter(State::closing);
    this->outgoing = {};
    this->waiting = {};
    const SessionLimits limits = this->hooks->limits();
    this->closing = {unsentBytes(this->socket.native_handle()), limits.maxHeaderBytes + limits.maxBodyBytes, Duration(0), Duration(0)};
    boost::system::error_code ignored; // The caller may have closed first.
    this->socket.shutdown(Socket::shutdown_send, ignored);
    this->dropReceived();
    this->checkClosing();
}

void ServerSession::dropReceived()
{
    this->whenReadable([this] {
        std::array<char, readChunkBytes> dropped {};
        boost::system::error_code error;
        const std::size_t size = this->socket.read_some(boost::asio::buffer(dropped), error);
        if (error && !isWouldBlock(error)) {
            this->close();
        } else if (size > this->closing.droppableBytes) {
            this->abort();
        } else {
            this->closing.droppableBytes -= size;
            this->closing.quiet = Duration(0);
            this->dropReceived();
        }
    });
}

void ServerSession::checkClosing()
{
    this->whenExpired(closeCheckPeriod, [this] {
        this->closing.total += closeCheckPeriod;
        this->closing.quiet += closeCheckPeriod;
        const std::size_t unsent = unsentBytes(this->socket.native_handle());
        if (unsent != this->closing.unsentBytes) {
            this->closing.unsentBytes = unsent;
            this->closing.quiet = Duration(0);
        }
        if (this->closing.quiet >= lingerTimeout && unsent == 0) {
            this->close();
        } else if (this->closing.quiet >= unacknowledgedTimeout || this->closing.total >= maxClosingTime) {
            this->abort();
        } else {
            this->checkClosing();
        }
    });
}

void ServerSession::close()
{
    this->enter(State::closed);
    boost::system::error_code ignored; // The socket is given up either way.
    this->socket.close(ignored);
}

void ServerSession::closeIfIdle()
{
    // A request that has arrived is read in a later turn.
    if (this->state != State::idle || peek(this->socket.native_handle()) == SocketState::hasBytes) {
        return;
    }
    this->close();
}

void ServerSession::abort()
{
    if (this->state == State::closed) {
        return;
    }
    this->enter(State::closed);
    this->onCallerLeft = nullptr;
    resetSocket(this->socket);
}

bool ServerSession::hasCallerLeft()
{
    return peek(this->socket.native_handle()) == SocketState::ended;
}

}
