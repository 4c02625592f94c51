#pragma once

/** @file Serves requests that busy neighbours hand over. */

#include "connection/http/answer_writer.h"
#include "connection/one_shot_timer.h"
#include "process/handover/frame_link.h"
#include "process/handover/room.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace eelgrassnotch::process::handover
{

/** @brief What a receiver needs from its daemon. */
struct ReceiverHooks {
    /** Serves a request. @param readAt When the neighbour received it. */
    std::function<void(const connection::http::AnswerWriterPtr &, connection::http::Request, Time readAt)> onRequest;
    /** Whether this daemon is ready for callers. */
    std::function<bool()> mayServe;
    /** Version of the configuration that is in force here; zero for none. */
    std::function<std::uint64_t()> configurationVersion;
};

/** @brief Accepts links from neighbours, tells them the room that this daemon has, and serves their requests. */
class Receiver
{
public:
    /** @throws boost::system::system_error when the address can't be listened on. */
    Receiver(boost::asio::io_context &ioContext, const connection::http::Endpoint &address, ReceiverHooks receiverHooks);
    ~Receiver();

    /** @brief Adapts the room and tells the neighbours; must be called at a constant interval. */
    void tick(Duration timerLag);
    /** @returns requests in progress. */
    std::size_t inProgress() const;

private:
    class RemoteAnswer;
    struct Link;

    void accept();
    void addLink(connection::http::Socket socket);
    void onFrame(Link &link, const wire::Frame &frame);
    void onRequest(Link &link, const wire::Frame &frame);
    void decline(Link &link, std::uint32_t request);
    void onClosed(Link &link);
    void scheduleFlush();
    void flush();

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    connection::OneShotTimer flushTimer;
    connection::OneShotTimer acceptTimer;
    ReceiverHooks hooks;
    ServingRoom room;
    std::map<const Link *, std::unique_ptr<Link>> links;
    std::set<std::shared_ptr<RemoteAnswer>> unflushed; ///< Answers with parts that wait to be sent together.
    bool isFlushScheduled = false;
};

}
