#include "connection/link_service.h"

#include "connection/frame_codec.h"
#include "eelgrassnotch/config.h"

#include <boost/asio.hpp>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <thread>

namespace eelgrassnotch::connection
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr auto connectTimeout = std::chrono::seconds(2);
constexpr auto reconnectPause = std::chrono::milliseconds(200);

}

class LinkService::Implementation
{
public:
    Implementation(process::DaemonIdentity self, std::string key, LinkHooks hooks)
        : self(std::move(self))
        , key(std::move(key))
        , hooks(std::move(hooks))
        , acceptor(this->context, tcp::endpoint(asio::ip::make_address(this->self.address), this->self.port))
    {
        this->accept();
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~Implementation()
    {
        this->context.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    void send(const process::DaemonIdentity &peer, std::vector<std::uint8_t> bytes)
    {
        asio::post(this->context, [this, peer, bytes = std::move(bytes)]() mutable { this->queue(peer, std::move(bytes)); });
    }

    void stop(Duration flushTime)
    {
        const auto until = std::chrono::steady_clock::now() + flushTime;
        while (this->pendingWrites.load() > 0 && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        this->context.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    LinkStats counters;

private:
    /** Link that this daemon dialled; frames go out on it. */
    struct Outgoing {
        explicit Outgoing(asio::io_context &context)
            : socket(context)
            , timer(context)
        {
        }
        tcp::socket socket;
        asio::steady_timer timer;
        process::DaemonIdentity peer;
        bool connected = false;
        bool writing = false;
        std::deque<std::vector<std::uint8_t>> waiting;
        std::size_t waitingBytes = 0;
        std::array<std::uint8_t, 1> probe {};
    };
    using OutgoingPointer = std::shared_ptr<Outgoing>;

    /** Link that a peer dialled; frames come in on it. */
    struct Incoming {
        explicit Incoming(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        std::array<std::uint8_t, frameHeaderBytes> header {};
        std::vector<std::uint8_t> body;
        std::optional<process::DaemonIdentity> identity;
    };
    using IncomingPointer = std::shared_ptr<Incoming>;

    void accept()
    {
        this->acceptor.async_accept([this](error_code error, tcp::socket socket) {
            if (!error) {
                error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                this->readHeader(std::make_shared<Incoming>(std::move(socket)));
            }
            this->accept();
        });
    }

    void readHeader(const IncomingPointer &link)
    {
        asio::async_read(link->socket, asio::buffer(link->header), [this, link](error_code error, std::size_t) {
            if (error) {
                return;
            }
            try {
                link->body.resize(decodeLength(link->header));
                this->readBody(link);
            } catch (const FrameError &) {
                ++this->counters.badFrames;
            }
        });
    }

    void readBody(const IncomingPointer &link)
    {
        asio::async_read(link->socket, asio::buffer(link->body), [this, link](error_code error, std::size_t size) {
            if (error) {
                return;
            }
            this->counters.bytesReceived += size + frameHeaderBytes;
            if (this->handle(*link)) {
                this->readHeader(link);
            }
        });
    }

    /** @returns whether the link stays open. */
    bool handle(Incoming &link)
    {
        try {
            wire::FrameT frame = decodeFrame(link.body);
            if (frame.identity) {
                link.identity = this->checkIdentity(*frame.identity);
            }
            if (!link.identity) {
                ++this->counters.badKeys;
                return false;
            }
            this->hooks.received(*link.identity, std::move(frame));
            return true;
        } catch (const FrameError &) {
            ++this->counters.badFrames;
            return false;
        }
    }

    std::optional<process::DaemonIdentity> checkIdentity(const wire::IdentityT &claimed) const
    {
        process::DaemonIdentity identity {claimed.name, claimed.address, claimed.port, DataCentreHandle {claimed.data_centre},
                                          claimed.incarnation};
        if (!equalInConstantTime(claimed.key_proof, proveIdentity(identity, this->key))) {
            return std::nullopt;
        }
        return identity;
    }

    void queue(const process::DaemonIdentity &peer, std::vector<std::uint8_t> bytes)
    {
        OutgoingPointer &link = this->outgoing[peer.handle()];
        const bool moved = link && (link->peer.address != peer.address || link->peer.port != peer.port);
        if (!link || moved) {
            if (moved) {
                this->close(link);
            }
            link = std::make_shared<Outgoing>(this->context);
            link->peer = peer;
            this->outgoing[peer.handle()] = link;
            this->connect(link);
        }
        if (!link->connected) {
            ++this->counters.framesDropped;
            return;
        }
        this->push(link, std::move(bytes));
    }

    void push(const OutgoingPointer &link, std::vector<std::uint8_t> bytes)
    {
        link->waitingBytes += bytes.size();
        if (link->waitingBytes > config::maxLinkBacklogBytes) {
            this->close(link);
            return;
        }
        ++this->pendingWrites;
        link->waiting.push_back(std::move(bytes));
        if (!link->writing) {
            this->write(link);
        }
    }

    void write(const OutgoingPointer &link)
    {
        if (link->waiting.empty()) {
            link->writing = false;
            return;
        }
        link->writing = true;
        asio::async_write(link->socket, asio::buffer(link->waiting.front()), [this, link](error_code error, std::size_t size) {
            if (error || !link->connected) {
                this->close(link);
                return;
            }
            this->counters.bytesSent += size;
            ++this->counters.framesSent;
            --this->pendingWrites;
            link->waitingBytes -= link->waiting.front().size();
            link->waiting.pop_front();
            this->write(link);
        });
    }

    void connect(const OutgoingPointer &link)
    {
        error_code error;
        const auto address = asio::ip::make_address(link->peer.address, error);
        if (error) {
            return;
        }
        link->timer.expires_after(connectTimeout);
        link->timer.async_wait([link](error_code cancelled) {
            if (!cancelled && !link->connected) {
                error_code ignored;
                link->socket.close(ignored);
            }
        });
        link->socket.async_connect(tcp::endpoint(address, link->peer.port),
                                   [this, link](error_code failed) { this->connected(link, failed); });
    }

    void connected(const OutgoingPointer &link, error_code error)
    {
        link->timer.cancel();
        if (error) {
            if (error == asio::error::connection_refused) {
                this->hooks.refused(link->peer.handle());
            }
            this->retryLater(link);
            return;
        }
        error_code ignored;
        link->socket.set_option(tcp::no_delay(true), ignored);
        link->connected = true;
        this->push(link, encodeFrame(this->introduction()));
        this->watchForClose(link);
        this->hooks.up(link->peer.handle());
    }

    /** The peer never writes on this link, so a completed read means that it is closed. */
    void watchForClose(const OutgoingPointer &link)
    {
        asio::async_read(link->socket, asio::buffer(link->probe), [this, link](error_code, std::size_t) { this->close(link); });
    }

    void close(const OutgoingPointer &link)
    {
        if (!link->connected) {
            return;
        }
        link->connected = false;
        this->pendingWrites -= link->waiting.size();
        link->waiting.clear();
        error_code ignored;
        link->socket.close(ignored);
        this->retryLater(link);
    }

    void retryLater(const OutgoingPointer &link)
    {
        link->timer.expires_after(reconnectPause);
        link->timer.async_wait([this, link](error_code) {
            const auto found = this->outgoing.find(link->peer.handle());
            if (found != this->outgoing.end() && found->second == link) {
                this->outgoing.erase(found);
            }
        });
    }

    wire::FrameT introduction() const
    {
        wire::FrameT frame;
        frame.identity = std::make_unique<wire::IdentityT>();
        frame.identity->name = this->self.name;
        frame.identity->address = this->self.address;
        frame.identity->port = this->self.port;
        frame.identity->incarnation = this->self.incarnation;
        frame.identity->data_centre = this->self.dataCentre.id;
        frame.identity->key_proof = proveIdentity(this->self, this->key);
        return frame;
    }

    process::DaemonIdentity self;
    std::string key;
    LinkHooks hooks;
    asio::io_context context;
    tcp::acceptor acceptor;
    std::map<DaemonHandle, OutgoingPointer> outgoing;
    std::atomic<std::size_t> pendingWrites {0};
    std::thread thread;
};

LinkService::LinkService(process::DaemonIdentity self, std::string key, LinkHooks hooks)
    : implementation(std::make_unique<Implementation>(std::move(self), std::move(key), std::move(hooks)))
{
}

LinkService::~LinkService() = default;

void LinkService::send(const process::DaemonIdentity &peer, const wire::FrameT &frame)
{
    this->implementation->send(peer, encodeFrame(frame));
}

void LinkService::stop(Duration flushTime)
{
    this->implementation->stop(flushTime);
}

const LinkStats &LinkService::stats() const
{
    return this->implementation->counters;
}

}
