#pragma once

/** @file Connection between two daemons that carries frames of requests and answers. */

#include "connection/http/types.h"
#include "eelgrassnotch/types.h"
#include "process/handover/wire/generated/handover_generated.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassnotch::process::handover
{

/** @brief What a link tells its owner. */
struct LinkHooks {
    std::function<void(const wire::Frame &)> onFrame;
    /** The link has ended, with the cause; called once, and not after close(). */
    std::function<void(const std::string &cause)> onClosed;
};

/** @brief Sends and receives frames; those of one turn of the event loop are sent together. */
class FrameLink : public std::enable_shared_from_this<FrameLink>
{
public:
    explicit FrameLink(connection::http::Socket openSocket);

    /** @brief Begins to receive. */
    void start(LinkHooks linkHooks);
    void send(const wire::FrameT &frame);
    /** @brief Ends the link; its owner isn't told. */
    void close();
    /** @returns bytes that wait to be sent. */
    std::size_t queuedBytes() const
    {
        return this->queued.size() + this->outgoing.size();
    }
    /** @returns when bytes were last received. */
    Time lastReceivedAt() const
    {
        return this->receivedAt;
    }

private:
    void receive();
    /** @returns false when the link has ended. */
    bool parseReceived();
    void write();
    void end(const std::string &cause);

    connection::http::Socket socket;
    LinkHooks hooks;
    std::vector<std::uint8_t> incoming; ///< Received bytes that are no whole frame yet.
    std::size_t incomingSize = 0;
    std::vector<std::uint8_t> queued;
    std::vector<std::uint8_t> outgoing; ///< Bytes being written.
    Time receivedAt {0};
    bool open = true;
    bool isWriting = false;
    bool isWritePosted = false;
};

using FrameLinkPtr = std::shared_ptr<FrameLink>;

}
