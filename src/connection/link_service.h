#pragma once

/** @file TCP links to the other daemons. */

#include "connection/wire/generated/frame_generated.h"
#include "process/membership.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace eelgrassnotch::connection
{

/** @brief Counters of all links of a process. */
struct LinkStats {
    std::atomic<std::uint64_t> bytesSent {0}; ///< Payload with frame headers, without TCP and IP.
    std::atomic<std::uint64_t> bytesReceived {0};
    std::atomic<std::uint64_t> framesSent {0};
    std::atomic<std::uint64_t> framesDropped {0}; ///< No link was up.
    std::atomic<std::uint64_t> badFrames {0};
    std::atomic<std::uint64_t> badKeys {0};
};

/** @brief What a link tells; called on the thread of the links. */
struct LinkHooks {
    std::function<void(const process::DaemonIdentity &from, wire::FrameT frame)> received;
    std::function<void(DaemonHandle peer)> up; ///< An outgoing link was set up anew.
    std::function<void(DaemonHandle peer)> refused; ///< Nothing listens at the peer's address.
};

/**
 * @brief Sends and receives frames over TCP, one outgoing link for each peer.
 *
 * A link starts with a frame that holds the sender's identity and, with a
 * link key, a keyed hash of it. A frame for a peer without a link is dropped
 * and starts a connection attempt; the core sends its state anew when the
 * link is up.
 */
class LinkService
{
public:
    /**
     * @param self Identity of this daemon; its address and port are listened on.
     * @param key Link key, empty for none.
     * @throws std::exception when the address can't be listened on.
     */
    LinkService(process::DaemonIdentity self, std::string key, LinkHooks hooks);
    ~LinkService();
    LinkService(const LinkService &) = delete;
    LinkService &operator=(const LinkService &) = delete;

    /** @brief Queues a frame for a peer; callable from any thread. */
    void send(const process::DaemonIdentity &peer, const wire::FrameT &frame);
    /** @brief Writes out what is queued, for at most the given time, and closes all links. */
    void stop(Duration flushTime);

    const LinkStats &stats() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

/** @returns the keyed hash (HMAC-SHA-256, hexadecimal) of an identity; empty for an empty key. */
std::string proveIdentity(const process::DaemonIdentity &identity, const std::string &key);

/** @returns whether two strings are equal, in a time that depends on their lengths only. */
bool equalInConstantTime(const std::string &left, const std::string &right);

}
