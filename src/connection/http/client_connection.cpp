#include "connection/http/client_connection.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <limits>

namespace eelgrassnotch::connection::http
{

namespace beast = boost::beast;

namespace
{

/** Bounds of the statuses that an answer may have (RFC 9110, section 15), and of those that are informational. */
constexpr unsigned minStatus = 100;
constexpr unsigned minFinalStatus = 200;
constexpr unsigned maxStatus = 599;

/** @returns whether an answer may have this status; no request asks to switch protocols. */
bool isValidStatus(unsigned status)
{
    return status >= minStatus && status <= maxStatus && status != static_cast<unsigned>(beast::http::status::switching_protocols);
}

/** @returns whether parsed fields go on in a second line (RFC 9112, section 5.2), which the parser joins to the first. */
bool hasFoldedField(std::string_view fields)
{
    return fields.find("\n ") != std::string_view::npos || fields.find("\n\t") != std::string_view::npos;
}

bool isHttpError(const boost::system::error_code &error)
{
    return error.category() == beast::http::make_error_code(beast::http::error::end_of_stream).category()
        && error != beast::http::error::end_of_stream && error != beast::http::error::partial_message;
}

}

ClientConnection::ClientConnection(const boost::asio::any_io_executor &executor, Endpoint serverEndpoint, Time createdAt)
    : server(std::move(serverEndpoint))
    , creationTime(createdAt)
    , socket(executor)
    , connectTimer(executor)
    , buffer(maxUnparsedBytes)
{
}

void ClientConnection::send(std::shared_ptr<const Request> nextRequest, Duration connectTimeout, ExchangeHooks exchangeHooks)
{
    ++this->generation;
    ++this->exchanges;
    this->request = std::move(nextRequest);
    this->hooks = std::move(exchangeHooks);
    this->onIdleClosed = nullptr;
    this->isBusy = true;
    this->isWritten = false;
    this->writeError = {};
    this->informationalAnswers = 0;
    this->droppedAnswers = 0;
    this->droppedBytes = 0;
    if (this->isOpen) {
        boost::system::error_code ignored; // Cancelling the idle watch can't fail on an open socket.
        this->socket.cancel(ignored);
        this->writeRequest();
        this->beginAnswer();
        this->receive();
        return;
    }
    this->connect(connectTimeout);
}

void ClientConnection::connect(Duration timeout)
{
    this->connectTimer.start(timeout, [self = this->shared_from_this()] { self->end(EndKind::ConnectFailed, "connect timed out"); });
    this->socket.async_connect(this->server, [self = this->shared_from_this(), number = this->generation](boost::system::error_code error) {
        if (number != self->generation) {
            return;
        }
        self->connectTimer.cancel();
        if (error) {
            self->end(EndKind::ConnectFailed, error.message(), error == boost::asio::error::connection_refused);
            return;
        }
        self->isOpen = true;
        configureSocket(self->socket);
        self->writeRequest();
        self->beginAnswer();
        self->receive();
    });
}

void ClientConnection::writeRequest()
{
    const auto sent = this->request;
    beast::http::async_write(
        this->socket, *sent,
        [self = this->shared_from_this(), number = this->generation, sent](boost::system::error_code error, std::size_t) {
            // The exchange goes on: an early answer may still arrive, or have arrived.
            if (number == self->generation) {
                self->isWritten = !error;
                self->writeError = error;
            }
        });
}

void ClientConnection::beginAnswer()
{
    this->parser.emplace();
    this->parser->header_limit(maxAnswerHeaderBytes);
    this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    this->parser->skip(this->request->method() == beast::http::verb::head);
}

void ClientConnection::receive()
{
    const std::size_t space = std::min(readChunkBytes, this->buffer.max_size() - this->buffer.size());
    this->socket.async_read_some(
        this->buffer.prepare(space),
        [self = this->shared_from_this(), number = this->generation](boost::system::error_code error, std::size_t size) {
            if (number == self->generation) {
                self->buffer.commit(size);
                self->onReceived(error);
            }
        });
}

void ClientConnection::onReceived(boost::system::error_code error)
{
    const auto number = this->generation;
    while (!error && this->buffer.size() > 0) {
        error = this->parseReceived();
        if (number != this->generation) {
            return;
        }
    }
    if (error == boost::asio::error::eof) {
        this->onEndOfFile();
        return;
    }
    if (error == beast::http::error::need_more) {
        error = this->buffer.size() < this->buffer.max_size() ? boost::system::error_code() : beast::http::error::buffer_overflow;
    }
    if (error) {
        this->end(isHttpError(error) ? EndKind::Malformed : (this->parser->got_some() ? EndKind::BrokenOff : EndKind::Lost),
                  error.message());
        return;
    }
    this->receive();
}

boost::system::error_code ClientConnection::parseReceived()
{
    auto &body = this->parser->get().body();
    body.data = this->chunk.data();
    body.size = this->chunk.size();
    body.more = true;
    const bool hadHeader = this->parser->is_header_done();
    boost::system::error_code error;
    const std::size_t parsed = this->parser->put(this->buffer.data(), error);
    const bool mayHoldFields = !hadHeader || (this->parser->chunked() && this->parser->is_done());
    if (mayHoldFields && hasFoldedField({static_cast<const char *>(this->buffer.data().data()), parsed})) {
        this->end(EndKind::Malformed, "folded header field");
        return {};
    }
    this->buffer.consume(parsed);
    if (error == beast::http::error::need_buffer) {
        error = {};
    }
    const auto number = this->generation;
    const std::size_t size = this->chunk.size() - body.size;
    if (size > 0 && this->isWanted) {
        this->hooks.onBody(std::string_view(this->chunk.data(), size));
    } else if (size > 0 && (this->droppedBytes += size) > maxDroppedBytes) {
        this->end(EndKind::Malformed, "answers to other requests are too large");
    }
    if (error || number != this->generation) {
        return error;
    }
    if (!hadHeader && this->parser->is_header_done()) {
        this->onHeader();
    } else if (this->parser->is_done()) {
        this->finishAnswer();
    }
    return {};
}

void ClientConnection::onHeader()
{
    const AnswerHeader &header = this->parser->get().base();
    const unsigned status = header.result_int();
    if (!isValidStatus(status)) {
        this->end(EndKind::Malformed, "invalid status " + std::to_string(status));
        return;
    }
    if (hasUnknownTransferCoding(header)) {
        this->end(EndKind::Malformed, "unknown transfer coding");
        return;
    }
    if (status < minFinalStatus) {
        if (++this->informationalAnswers > maxInformationalAnswers) {
            this->end(EndKind::Malformed, "too many informational answers");
            return;
        }
        if (this->parser->chunked() || this->parser->content_length().value_or(0) > 0) {
            this->end(EndKind::Malformed, "informational answer with a body");
            return;
        }
        this->beginAnswer();
        return;
    }
    this->keepsAlive = this->parser->keep_alive() && !this->parser->need_eof();
    const auto number = this->generation;
    this->isWanted = this->hooks.onHeader(header);
    if (number != this->generation) {
        return;
    }
    if (!this->isWanted && (++this->droppedAnswers > maxDroppedAnswers || !this->keepsAlive)) {
        this->end(EndKind::Malformed, "answers to other requests");
        return;
    }
    if (this->parser->is_done()) {
        this->finishAnswer();
    }
}

void ClientConnection::onEndOfFile()
{
    if (!this->parser->got_some()) {
        this->end(EndKind::Lost, "end of stream");
        return;
    }
    boost::system::error_code error;
    this->parser->put_eof(error);
    if (!error && this->isEndReset()) {
        error = this->writeError;
    }
    if (error) {
        this->end(EndKind::BrokenOff, error.message());
        return;
    }
    this->finishAnswer();
}

bool ClientConnection::isEndReset() const
{
    // The kernel reports a reset or a timeout once, to the call that comes first; the next read finds an end of file. After an end of file
    // that the server has sent, a write fails with EPIPE.
    return this->writeError && this->writeError != boost::asio::error::broken_pipe;
}

void ClientConnection::finishAnswer()
{
    if (!this->isWanted) {
        this->beginAnswer();
        return;
    }
    this->end(EndKind::Complete, "");
}

void ClientConnection::end(EndKind kind, const std::string &detail, bool isRefused)
{
    ++this->generation;
    this->isBusy = false;
    this->connectTimer.cancel();
    // A request that was answered before it was written in full leaves the server waiting for the rest.
    const bool isClean = kind == EndKind::Complete && this->keepsAlive && this->isWritten && this->buffer.size() == 0;
    if (!isClean) {
        resetSocket(this->socket);
        this->isOpen = false;
        this->buffer.clear();
    }
    const ExchangeHooks finished = std::exchange(this->hooks, {});
    this->request.reset();
    finished.onEnd({kind, detail, isRefused});
}

void ClientConnection::cancel()
{
    ++this->generation;
    this->isBusy = false;
    this->isOpen = false;
    this->hooks = {};
    this->onIdleClosed = nullptr;
    this->request.reset();
    this->connectTimer.cancel();
    // After an orderly close the kernel would go on sending a request that nobody waits for, also seconds later.
    resetSocket(this->socket);
}

void ClientConnection::watchIdle(std::function<void()> onClosed)
{
    this->onIdleClosed = std::move(onClosed);
    this->socket.async_wait(Socket::wait_read, [self = this->shared_from_this(), number = this->generation](boost::system::error_code) {
        if (number != self->generation || self->isBusy) {
            return;
        }
        const auto notify = std::exchange(self->onIdleClosed, nullptr);
        self->cancel();
        if (notify) {
            notify();
        }
    });
}

bool ClientConnection::isReusable() const
{
    return this->isOpen && !this->isBusy;
}

}
