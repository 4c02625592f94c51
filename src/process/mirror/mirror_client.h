#pragma once

/** @file Follows the store's collections through another daemon. */

#include "connection/http/call_client.h"
#include "process/mirror/mirror_codec.h"
#include "process/mirror/source_choice.h"

#include <boost/asio/io_context.hpp>

namespace eelgrassnotch::process::mirror
{

/** @brief What a client tells its owner. */
struct MirrorHooks {
    std::function<Positions()> positions;
    /** A reply, and the earliest time at which the relay can have composed it. */
    std::function<void(const SyncReply &, Time composedAt)> onReply;
    /** The relay does not answer or does not know enough; it is not asked again. */
    std::function<void(RelayFailure failure, const std::string &cause)> onFailure;
};

/** @brief Asks one relay at a time, again and again. */
class MirrorClient
{
public:
    MirrorClient(boost::asio::io_context &ioContext, MirrorHooks mirrorHooks);

    void follow(const connection::http::Endpoint &relay);
    void stop();

private:
    void call();
    void onAnswer(unsigned status, const std::string &body, Time sentAt);
    void fail(RelayFailure failure, const std::string &cause);

    boost::asio::io_context &context;
    MirrorHooks hooks;
    connection::http::CallClient client;
    std::uint64_t turn = 0; ///< Of calls; a call that an earlier turn asked for is not made.
};

}
