#include "connection/http/server_session.h"

#include "connection/http/answer_text.h"
#include "connection/http/limits.h"
#include "process/budget/progress.h"

#include <boost/asio/buffer.hpp>

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
constexpr unsigned statusUnavailable = 503;

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
    , holding(this->hooks->memory)
    , queueHolding(this->hooks->memory, process::budget::Ownership::OfNone)
{
    this->holding.set(connectionBytes);
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
    this->requestHolding.set(0);
    if (this->buffer.size() > 0) {
        this->beginRequest();
        return;
    }
    this->holding.set(connectionBytes);
    this->whenExpired(this->hooks->limits().idleTimeout, [this] { this->closeIfIdle(); });
    this->whenReadable([this] { this->beginRequest(); });
}

void ServerSession::beginRequest()
{
    this->enter(State::receiving);
    const SessionLimits limits = this->hooks->limits();
    this->parser.emplace();
    this->parser->header_limit(limits.maxHeaderBytes);
    this->parser->body_limit(limits.maxBodyBytes);
    this->maxUnparsedBytes = limits.maxHeaderBytes + requestBufferBytes;
    this->maxBodyBytes = limits.maxBodyBytes;
    this->parsedBytes = 0;
    this->headBytes = 0;
    this->wanted = 0;
    this->whenExpired(limits.headerTimeout, [this] { this->onRequestTimeout(); });
    this->receive();
}

void ServerSession::receive()
{
    std::size_t received = 0;
    bool mayRead = true;
    while (this->parseReceived() && received < maxReceivedPerTurn) {
        mayRead = this->reserveForReading();
        const std::size_t size = mayRead ? this->readArrived() : 0;
        if (size == 0) {
            break;
        }
        received += size;
    }
    if (this->state != State::receiving) {
        return;
    }
    // What waits for the rest of a head or a chunk is kept in a block of its size: crowds of slow callers would hold large buffers.
    this->buffer.shrink_to_fit();
    if (mayRead) {
        this->whenReadable([this] { this->receive(); });
    }
}

std::size_t ServerSession::requestBytes(std::size_t bodyBytes) const
{
    return connectionBytes + this->headBytes + this->buffer.size() + bodyCopies * bodyBytes;
}

bool ServerSession::reserveForReading()
{
    std::size_t bodyBytes = 0;
    if (this->parser->is_header_done()) {
        const std::size_t read = this->parser->get().body().size();
        const auto length = this->parser->content_length();
        // Without a stated length, memory is reserved for one turn of the event loop at a time.
        bodyBytes = length ? *length : std::min<std::uint64_t>(read + maxReceivedPerTurn, this->maxBodyBytes);
    }
    // A request that waits already is counted by the sweep, and not again each time that it asks.
    const std::size_t bytes = this->requestBytes(bodyBytes);
    if (this->wanted > 0 ? this->holding.tryReserve(bytes) : this->holding.reserve(bytes)) {
        this->wanted = 0;
        return true;
    }
    this->waitForMemory(bytes);
    return false;
}

void ServerSession::waitForMemory(std::size_t bytes)
{
    const std::size_t read = this->parser->is_header_done() ? this->parser->get().body().size() : 0;
    if (this->wanted == 0 && !this->holding.reserveWaiting(this->requestBytes(read) + receiveBufferBytes)) {
        this->reject(statusUnavailable, "no memory for the request", true);
        return;
    }
    this->wanted = bytes;
    if (!this->memoryTimer) {
        this->memoryTimer = std::make_unique<OneShotTimer>(this->socket.get_executor());
    }
    // Nothing else keeps a session that doesn't read.
    this->memoryTimer->start(memoryRetryPeriod, [self = this->shared_from_this(), number = this->stateNumber] {
        if (number == self->stateNumber) {
            self->receive();
        }
    });
}

std::size_t ServerSession::readArrived()
{
    this->buffer.reserve(requestBufferBytes);
    const std::size_t space = std::max(this->buffer.capacity() - this->buffer.size(), minReadBytes);
    boost::system::error_code error;
    const std::size_t size = this->socket.read_some(this->buffer.prepare(space), error);
    this->buffer.commit(size);
    this->moved += size;
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
        const std::size_t parsed = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(parsed);
        this->parsedBytes += parsed;
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
        if (!hadHeader && this->parser->is_header_done() && !this->checkHead()) {
            return false;
        }
        if (this->parser->chunked() && this->parser->is_header_done() && !this->checkFraming()) {
            return false;
        }
        if (this->parser->is_done()) {
            this->handOn();
            return false;
        }
    }
    return true;
}

bool ServerSession::checkHead()
{
    const Request &request = this->parser->get();
    if (hasUnknownTransferCoding(request)) {
        this->reject(statusBadRequest, "unknown transfer coding");
        return false;
    }
    const auto fields = static_cast<std::size_t>(std::distance(request.begin(), request.end()));
    if (fields > maxRequestFields) {
        this->reject(statusHeaderTooLarge, "too many header fields");
        return false;
    }
    this->headLength = this->parsedBytes;
    this->headBytes = this->parsedBytes + fields * bytesPerField;
    const bool isLarge
        = this->parser->chunked() || this->parser->content_length().value_or(0) > process::budget::smallHoldingBytes / bodyCopies;
    if (isLarge && this->hooks->workspaceOf) {
        this->holding.assign(this->hooks->workspaceOf(request));
    }
    return true;
}

bool ServerSession::checkFraming()
{
    const Request &request = this->parser->get();
    const std::uint64_t bodyBytes = request.body().size();
    const std::uint64_t framing = this->parsedBytes - this->headLength - bodyBytes;
    if (framing > maxFramingBytes + maxFramingPerBodyByte * bodyBytes) {
        this->reject(statusHeaderTooLarge, "too many bytes around the body's chunks");
        return false;
    }
    if (this->parser->is_done() && static_cast<std::size_t>(std::distance(request.begin(), request.end())) > maxRequestFields) {
        this->reject(statusHeaderTooLarge, "too many trailer fields");
        return false;
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
    if (this->wanted > 0) {
        this->reject(statusUnavailable, "no memory for the request", true);
    } else if (this->parser->got_some()) {
        this->reject(statusTimeout, "request not received in time");
    } else {
        this->abort();
    }
}

void ServerSession::handOn()
{
    const std::size_t bytes = this->requestBytes(this->parser->get().body().size());
    if (!this->holding.reserve(bytes)) {
        this->reject(statusUnavailable, "no memory for the request", true);
        return;
    }
    this->enter(State::serving);
    ++this->requests;
    Request request = this->parser->release();
    this->parser.reset();
    this->memoryTimer.reset();
    this->buffer.shrink_to_fit();
    this->requestHolding = std::exchange(this->holding, process::budget::MemoryBudget::Holding(this->hooks->memory));
    this->requestHolding.set(bytes - connectionBytes);
    this->holding.set(connectionBytes + this->buffer.size());
    this->closeAfter = !request.keep_alive();
    this->waitForLeaving();
    this->hooks->onRequest(this->shared_from_this(), std::move(request));
}

void ServerSession::reject(unsigned status, const std::string &reason, bool isBusy)
{
    this->enter(State::refusing);
    this->wanted = 0;
    this->parser.reset();
    this->buffer = {};
    this->holding.set(connectionBytes);
    this->closeAfter = true;
    this->hooks->onRejected(status, reason);
    Answer answer(static_cast<beast::http::status>(status), 11);
    answer.set(field::content_type, "text/plain");
    if (isBusy) {
        answer.set(field::retry_after, memoryRetryAfter);
    }
    answer.body() = reason + "\n";
    this->sendAnswer(std::move(answer));
}

process::budget::MemoryBudget::Holding ServerSession::takeRequestHolding()
{
    return std::move(this->requestHolding);
}

process::budget::Activity ServerSession::activity() const
{
    using process::budget::Activity;
    switch (this->state) {
    case State::idle:
        return Activity::Idle;
    case State::receiving:
        return this->wanted > 0 ? Activity::Waiting : Activity::Receiving;
    case State::serving:
    case State::refusing:
        return this->writing ? Activity::Writing : Activity::Waiting;
    case State::closing:
    case State::closed:
        break;
    }
    return Activity::Closing;
}

std::size_t ServerSession::heldBytes() const
{
    return this->holding.bytes() + this->requestHolding.bytes() + this->queueHolding.bytes();
}

std::uint64_t ServerSession::movedBytes() const
{
    return this->moved + this->requests * process::budget::progressBytes;
}

void ServerSession::giveWay()
{
    if (this->state == State::receiving) {
        this->reject(statusTimeout, "request not received at a sufficient rate", true);
    } else if (this->writing) {
        this->leaveCaller();
    } else {
        this->closeIfIdle();
    }
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
        } else if (const std::size_t held = this->holding.bytes() + receiveBufferBytes; !this->holding.reserve(held)) {
            // The shortage that this counts closes connections that stall.
            this->holding.set(held);
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
    // A whole answer comes in one piece, which may be larger.
    if (!this->waiting.empty() && this->waiting.size() + bytes.size() > maxQueuedAnswerBytes) {
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

bool ServerSession::reserveQueue(std::size_t addedBytes)
{
    const std::size_t bytes = this->queueHolding.bytes() + addedBytes;
    if (this->queueHolding.reserve(bytes)) {
        return true;
    }
    // An answer that is ready is delivered while any room is left, beyond the part for requests.
    this->queueHolding.set(bytes);
    if (bytes > process::budget::smallHoldingBytes && this->hooks->memory->isOverCapacity()) {
        if (this->hooks->onClosedEarly) {
            this->hooks->onClosedEarly("memory", 1, this->heldBytes());
        }
        this->leaveCaller();
        return false;
    }
    return true;
}

void ServerSession::queue(std::string_view bytes)
{
    if (!this->reserveQueue(bytes.size())) {
        return;
    }
    this->waiting += bytes;
    if (!this->writing) {
        this->outgoing.swap(this->waiting);
        this->waiting.clear();
        this->written = 0;
        this->writeQueued();
    }
}

void ServerSession::writeQueued()
{
    this->writing = true;
    const auto rest = boost::asio::buffer(this->outgoing) + this->written;
    this->socket.async_write_some(
        rest, [self = this->shared_from_this(), number = this->stateNumber](boost::system::error_code error, std::size_t size) {
            if (number == self->stateNumber) {
                self->onWritten(error, size);
            }
        });
}

void ServerSession::onWritten(boost::system::error_code error, std::size_t size)
{
    this->writing = false;
    this->written += size;
    this->moved += size;
    if (error) {
        this->leaveCaller();
        return;
    }
    if (this->written < this->outgoing.size()) {
        this->writeQueued();
        return;
    }
    this->outgoing.clear();
    this->written = 0;
    if (!this->waiting.empty()) {
        this->outgoing.swap(this->waiting);
        this->writeQueued();
        return;
    }
    // Thousands of kept connections would each keep the block of their largest answer.
    this->outgoing.shrink_to_fit();
    this->waiting.shrink_to_fit();
    this->queueHolding.set(0);
    if (this->answerEnds) {
        this->onAnswerWritten();
    }
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
    this->releaseMemory();
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

void ServerSession::releaseMemory()
{
    this->parser.reset();
    this->buffer = {};
    this->outgoing = {};
    this->waiting = {};
    this->holding.set(connectionBytes);
    this->requestHolding.set(0);
    this->queueHolding.set(0);
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
    this->wanted = 0;
    this->onCallerLeft = nullptr;
    // A request that is still being served keeps the count of its bytes, until its holder lets the session go.
    this->queueHolding.set(0);
    resetSocket(this->socket);
}

bool ServerSession::hasCallerLeft()
{
    return peek(this->socket.native_handle()) == SocketState::ended;
}

}
