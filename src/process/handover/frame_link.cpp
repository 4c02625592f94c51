#include "process/handover/frame_link.h"

#include "process/clock.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstring>

namespace eelgrassnotch::process::handover
{

namespace http = connection::http;

namespace
{

constexpr std::size_t lengthBytes = 4;
/** A request is handed over with at most 64 KB of body; the largest answer that is buffered comes in one frame. */
constexpr std::size_t maxFrameBytes = 10u << 20;
constexpr std::size_t readBytes = 32u << 10;
/** Bytes that wait for a neighbour that doesn't read; its requests are worth less than this daemon's memory. */
constexpr std::size_t maxQueuedBytes = 1u << 20;

}

FrameLink::FrameLink(http::Socket openSocket)
    : socket(std::move(openSocket))
    , receivedAt(readClock())
{
    http::configureSocket(this->socket);
}

void FrameLink::start(LinkHooks linkHooks)
{
    this->hooks = std::move(linkHooks);
    this->receive();
}

void FrameLink::receive()
{
    if (this->incoming.size() < this->incomingSize + readBytes) {
        this->incoming.resize(this->incomingSize + readBytes);
    }
    this->socket.async_read_some(
        boost::asio::buffer(this->incoming.data() + this->incomingSize, this->incoming.size() - this->incomingSize),
        [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
            if (!self->open) {
                return;
            }
            if (error) {
                self->end(error.message());
                return;
            }
            self->receivedAt = readClock();
            self->incomingSize += size;
            if (self->parseReceived()) {
                self->receive();
            }
        });
}

bool FrameLink::parseReceived()
{
    std::size_t at = 0;
    std::vector<std::uint8_t> body; // Aligned for the numbers that are read in place.
    while (this->incomingSize - at >= lengthBytes) {
        std::uint32_t length = 0;
        std::memcpy(&length, this->incoming.data() + at, lengthBytes);
        if (length == 0 || length > maxFrameBytes) {
            this->end("frame of " + std::to_string(length) + " bytes");
            return false;
        }
        if (this->incomingSize - at - lengthBytes < length) {
            break;
        }
        const std::uint8_t *first = this->incoming.data() + at + lengthBytes;
        body.assign(first, first + length);
        at += lengthBytes + length;
        flatbuffers::Verifier verifier(body.data(), body.size());
        if (!wire::VerifyFrameBuffer(verifier)) {
            this->end("frame does not verify");
            return false;
        }
        this->hooks.onFrame(*wire::GetFrame(body.data()));
        if (!this->open) {
            return false;
        }
    }
    std::copy(this->incoming.begin() + static_cast<std::ptrdiff_t>(at),
              this->incoming.begin() + static_cast<std::ptrdiff_t>(this->incomingSize), this->incoming.begin());
    this->incomingSize -= at;
    return true;
}

void FrameLink::send(const wire::FrameT &frame)
{
    if (!this->open) {
        return;
    }
    // One frame may be larger, as a whole answer is.
    const bool isBlocked = this->queuedBytes() > maxQueuedBytes;
    flatbuffers::FlatBufferBuilder builder(256 + frame.bytes.size());
    builder.Finish(wire::Frame::Pack(builder, &frame));
    const std::uint32_t length = builder.GetSize();
    const auto *lengthStart = reinterpret_cast<const std::uint8_t *>(&length);
    this->queued.insert(this->queued.end(), lengthStart, lengthStart + lengthBytes);
    this->queued.insert(this->queued.end(), builder.GetBufferPointer(), builder.GetBufferPointer() + length);
    if (isBlocked) {
        // The owner is told in a later turn, as it may be in the middle of a change.
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->end("neighbour does not read"); });
        return;
    }
    if (!this->isWriting && !this->isWritePosted) {
        this->isWritePosted = true;
        boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
            self->isWritePosted = false;
            if (self->open && !self->isWriting) {
                self->write();
            }
        });
    }
}

void FrameLink::write()
{
    this->isWriting = true;
    this->outgoing.swap(this->queued);
    this->queued.clear();
    boost::asio::async_write(this->socket, boost::asio::buffer(this->outgoing),
                             [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                                 self->isWriting = false;
                                 self->outgoing.clear();
                                 if (!self->open) {
                                     return;
                                 }
                                 if (error) {
                                     self->end(error.message());
                                 } else if (!self->queued.empty()) {
                                     self->write();
                                 }
                             });
}

void FrameLink::end(const std::string &cause)
{
    if (!this->open) {
        return;
    }
    this->close();
    const LinkHooks ended = std::exchange(this->hooks, {});
    if (ended.onClosed) {
        ended.onClosed(cause);
    }
}

void FrameLink::close()
{
    this->open = false;
    http::resetSocket(this->socket);
}

}
