#include "process/handover/receiver.h"

#include "connection/http/answer_text.h"
#include "process/clock.h"
#include "process/event_log.h"

#include <boost/beast/http/parser.hpp>

#include <algorithm>

namespace eelgrassnotch::process::handover
{

namespace http = connection::http;
namespace beast = boost::beast;

namespace
{

using namespace std::chrono_literals;

/** Parts of a stream after its first wait this long for others, so that the busy daemon reads and writes less often. */
constexpr Duration flushPeriod = 40ms;
/** Pause before accepting again after an error, such as a lack of descriptors. */
constexpr Duration acceptPause = 100ms;
constexpr std::uint32_t maxHeaderBytes = 64u << 10;
constexpr std::size_t maxLinks = 64;

std::vector<std::uint8_t> toBytes(std::string_view text)
{
    return {text.begin(), text.end()};
}

}

/** One link, with the requests in progress on it. */
struct Receiver::Link {
    FrameLinkPtr frames;
    std::map<std::uint32_t, std::shared_ptr<RemoteAnswer>> requests;
    std::string address;
};

/** Sends an answer to the neighbour that read its request. */
class Receiver::RemoteAnswer : public http::AnswerWriter, public std::enable_shared_from_this<RemoteAnswer>
{
public:
    RemoteAnswer(Receiver &receiverOwner, Link &callerLink, std::uint32_t requestNumber, bool closesAfter)
        : receiver(&receiverOwner)
        , link(&callerLink)
        , address(callerLink.address)
        , request(requestNumber)
        , closes(closesAfter)
    {
    }

    void watchCaller(std::function<void()> onLeft) override
    {
        this->onCallerLeft = std::move(onLeft);
    }
    void sendAnswer(http::Answer answer) override
    {
        this->send(http::answerText(std::move(answer), this->closes), true);
    }
    void startStream(http::AnswerHeader header) override
    {
        this->waiting += http::streamHeaderText(std::move(header), this->closes);
    }
    void sendPart(std::string_view part) override
    {
        if (this->link == nullptr || part.empty()) {
            return;
        }
        this->waiting += http::chunkText(part);
        if (!std::exchange(this->hasSentPart, true)) {
            this->flush();
        } else {
            this->receiver->unflushed.insert(this->shared_from_this());
            this->receiver->scheduleFlush();
        }
    }
    void finishStream() override
    {
        this->send(http::lastChunkText, true);
    }
    void abort() override
    {
        if (this->link != nullptr) {
            wire::FrameT frame;
            frame.kind = wire::Kind::Reset;
            frame.request = this->request;
            this->link->frames->send(frame);
            this->leave();
        }
    }
    bool hasCallerLeft() override
    {
        return this->link == nullptr;
    }
    std::uint64_t requestCount() const override
    {
        return 1;
    }
    std::string handedOverBy() const override
    {
        return this->address;
    }
    void flush()
    {
        if (!this->waiting.empty()) {
            this->send({}, false);
        }
    }
    /** The caller or its daemon is gone. */
    void onLeft()
    {
        this->link = nullptr;
        if (const auto notify = std::exchange(this->onCallerLeft, nullptr)) {
            notify();
        }
    }

private:
    void send(std::string_view bytes, bool isLast)
    {
        if (this->link == nullptr) {
            return;
        }
        this->waiting += bytes;
        wire::FrameT frame;
        frame.kind = wire::Kind::Answer;
        frame.request = this->request;
        frame.is_last = isLast;
        frame.bytes = toBytes(this->waiting);
        this->waiting.clear();
        this->link->frames->send(frame);
        if (isLast) {
            this->leave();
        }
    }
    void leave()
    {
        const auto self = this->shared_from_this();
        Link &left = *std::exchange(this->link, nullptr);
        this->onCallerLeft = nullptr;
        this->receiver->unflushed.erase(self);
        left.requests.erase(this->request);
    }

    Receiver *receiver;
    Link *link; ///< Null once the answer has ended or the caller has left.
    std::string address;
    std::uint32_t request;
    bool closes;
    bool hasSentPart = false;
    std::string waiting; ///< Bytes that are sent with the next part.
    std::function<void()> onCallerLeft;
};

Receiver::Receiver(boost::asio::io_context &ioContext, const http::Endpoint &address, ReceiverHooks receiverHooks)
    : context(ioContext)
    , acceptor(ioContext)
    , flushTimer(ioContext.get_executor())
    , acceptTimer(ioContext.get_executor())
    , hooks(std::move(receiverHooks))
{
    this->acceptor.open(address.protocol());
    this->acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    this->acceptor.bind(address);
    this->acceptor.listen();
    this->accept();
}

Receiver::~Receiver()
{
    for (const auto &[key, link] : this->links) {
        link->frames->close();
    }
}

void Receiver::accept()
{
    this->acceptor.async_accept([this](boost::system::error_code error, http::Socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (error) {
            this->acceptTimer.start(acceptPause, [this] { this->accept(); });
            return;
        }
        if (this->links.size() < maxLinks) {
            this->addLink(std::move(socket));
        }
        this->accept();
    });
}

void Receiver::addLink(http::Socket socket)
{
    boost::system::error_code error;
    const auto peer = socket.remote_endpoint(error);
    auto link = std::make_unique<Link>();
    Link &added = *link;
    added.frames = std::make_shared<FrameLink>(std::move(socket));
    added.address = error ? std::string("unknown") : peer.address().to_string();
    this->links.emplace(&added, std::move(link));
    added.frames->start({[this, &added](const wire::Frame &frame) { this->onFrame(added, frame); },
                         [this, &added](const std::string &cause) {
                             logEvent(
                                 "handover_link_closed",
                                 {{"neighbour", added.address}, {"cause", cause}, {"requests", std::to_string(added.requests.size())}});
                             this->onClosed(added);
                         }});
}

void Receiver::onClosed(Link &link)
{
    const auto requests = std::exchange(link.requests, {});
    for (const auto &[number, answer] : requests) {
        this->unflushed.erase(answer);
        answer->onLeft();
    }
    this->links.erase(&link);
}

void Receiver::onFrame(Link &link, const wire::Frame &frame)
{
    if (frame.kind() == wire::Kind::Request) {
        this->onRequest(link, frame);
    } else if (frame.kind() == wire::Kind::Cancel) {
        if (const auto found = link.requests.find(frame.request()); found != link.requests.end()) {
            const auto answer = found->second;
            link.requests.erase(found);
            this->unflushed.erase(answer);
            answer->onLeft();
        }
    }
}

void Receiver::onRequest(Link &link, const wire::Frame &frame)
{
    const bool isKnown = link.requests.contains(frame.request());
    const bool hasOlderConfiguration = this->hooks.configurationVersion() < frame.version();
    if (isKnown || hasOlderConfiguration || !this->hooks.mayServe() || frame.bytes() == nullptr
        || this->inProgress() >= this->room.total()) {
        this->decline(link, frame.request());
        return;
    }
    beast::http::request_parser<beast::http::string_body> parser;
    parser.header_limit(maxHeaderBytes);
    parser.body_limit(frame.bytes()->size());
    parser.eager(true);
    boost::system::error_code error;
    parser.put(boost::asio::buffer(frame.bytes()->data(), frame.bytes()->size()), error);
    if (error || !parser.is_done()) {
        this->decline(link, frame.request());
        return;
    }
    const auto answer = std::make_shared<RemoteAnswer>(*this, link, frame.request(), frame.closes());
    link.requests.emplace(frame.request(), answer);
    this->hooks.onRequest(answer, parser.release(), readClock() - std::chrono::milliseconds(frame.waited_ms()));
}

void Receiver::decline(Link &link, std::uint32_t request)
{
    wire::FrameT frame;
    frame.kind = wire::Kind::Declined;
    frame.request = request;
    link.frames->send(frame);
}

void Receiver::scheduleFlush()
{
    if (!std::exchange(this->isFlushScheduled, true)) {
        this->flushTimer.start(flushPeriod, [this] { this->flush(); });
    }
}

void Receiver::flush()
{
    this->isFlushScheduled = false;
    for (const auto &answer : std::exchange(this->unflushed, {})) {
        answer->flush();
    }
}

void Receiver::tick(Duration timerLag)
{
    this->room.update(timerLag, this->hooks.mayServe());
    wire::FrameT frame;
    frame.kind = wire::Kind::Room;
    frame.room = this->room.perLink(this->links.size());
    for (const auto &[key, link] : this->links) {
        link->frames->send(frame);
    }
}

std::size_t Receiver::inProgress() const
{
    std::size_t count = 0;
    for (const auto &[key, link] : this->links) {
        count += link->requests.size();
    }
    return count;
}

}
