#include "process/handover/sender.h"

#include "process/clock.h"
#include "process/event_log.h"

#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <sstream>

namespace eelgrassnotch::process::handover
{

namespace http = connection::http;

namespace
{

using namespace std::chrono_literals;

/** Larger bodies would be copied for longer than they take to be served here. */
constexpr std::size_t maxBodyBytes = 64u << 10;
/** A neighbour tells its room every 100 ms; a link that is silent for this long is given up. */
constexpr Duration maxSilence = 1s;
/** Links that were not used for this long are closed. */
constexpr Duration idleTimeout = 5s;
/** Pause before a neighbour that could not be reached is tried again. */
constexpr Duration reconnectPause = 3s;
/** An answer that the neighbour made at the time limit may take this long to arrive. */
constexpr Duration expiryMargin = 250ms;

}

Sender::Sender(boost::asio::io_context &ioContext, SenderHooks senderHooks)
    : context(ioContext)
    , hooks(std::move(senderHooks))
{
}

Sender::~Sender()
{
    for (const NeighbourPtr &neighbour : this->neighbours) {
        if (neighbour->link) {
            neighbour->link->close();
        }
    }
}

void Sender::setNeighbours(std::vector<http::Endpoint> addresses)
{
    std::erase_if(this->neighbours, [&addresses](const NeighbourPtr &neighbour) {
        const bool isListed = std::erase(addresses, neighbour->address) > 0;
        // What an unlisted neighbour still serves goes on.
        return !isListed && !neighbour->link;
    });
    for (const http::Endpoint &address : addresses) {
        auto neighbour = std::make_shared<Neighbour>();
        neighbour->address = address;
        this->neighbours.push_back(std::move(neighbour));
    }
}

bool Sender::hasRoom() const
{
    return std::any_of(this->neighbours.begin(), this->neighbours.end(),
                       [](const NeighbourPtr &neighbour) { return neighbour->link && neighbour->room > neighbour->requests.size(); });
}

bool Sender::handOver(const http::ServerSessionPtr &session, const http::Request &request, const HandoverRequest &handover)
{
    if (request.body().size() > maxBodyBytes || !this->limit.allowNext()) {
        return false;
    }
    const Time now = readClock();
    std::vector<NeighbourRoom> rooms;
    rooms.reserve(this->neighbours.size());
    for (const NeighbourPtr &neighbour : this->neighbours) {
        if (!neighbour->link && !neighbour->connecting && now >= neighbour->retryAt) {
            this->connect(neighbour);
        }
        rooms.push_back({neighbour->link ? neighbour->room : 0, static_cast<std::uint32_t>(neighbour->requests.size())});
    }
    const auto chosen = chooseNeighbour(rooms);
    if (!chosen) {
        ++this->counts.noRoom;
        return false;
    }
    const NeighbourPtr &neighbour = this->neighbours[*chosen];
    const std::uint32_t number = ++neighbour->nextRequest;
    std::ostringstream text;
    text << request;
    const std::string &bytes = text.str();
    wire::FrameT frame;
    frame.kind = wire::Kind::Request;
    frame.request = number;
    frame.waited_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(handover.waited).count(), 0));
    frame.version = handover.configurationVersion;
    frame.closes = session->closesAfterAnswer();
    frame.bytes.assign(bytes.begin(), bytes.end());
    neighbour->link->send(frame);
    neighbour->lastUsedAt = now;
    neighbour->requests.emplace(number, Relayed {session, handover.id, now + handover.timeLimit + expiryMargin});
    session->watchCaller([this, weak = std::weak_ptr<Neighbour>(neighbour), number] {
        if (const auto target = weak.lock()) {
            this->cancel(*target, number);
        }
    });
    ++this->counts.handedOver;
    return true;
}

void Sender::connect(const NeighbourPtr &neighbour)
{
    neighbour->retryAt = readClock() + reconnectPause;
    neighbour->connecting = std::make_shared<http::Socket>(this->context);
    neighbour->connecting->async_connect(
        neighbour->address, [this, neighbour, socket = neighbour->connecting](boost::system::error_code error) {
            if (neighbour->connecting != socket) {
                return;
            }
            neighbour->connecting.reset();
            if (error) {
                logEvent("handover_neighbour_unreachable",
                         {{"neighbour", neighbour->address.address().to_string()}, {"cause", error.message()}});
                return;
            }
            this->onConnected(neighbour, std::move(*socket));
        });
}

void Sender::onConnected(const NeighbourPtr &neighbour, http::Socket socket)
{
    neighbour->link = std::make_shared<FrameLink>(std::move(socket));
    neighbour->room = 0;
    neighbour->lastUsedAt = readClock();
    const std::weak_ptr<Neighbour> weak = neighbour;
    neighbour->link->start({[this, weak](const wire::Frame &frame) {
                                if (const auto target = weak.lock()) {
                                    this->onFrame(*target, frame);
                                }
                            },
                            [this, weak](const std::string &cause) {
                                if (const auto target = weak.lock()) {
                                    this->closeLink(*target, cause);
                                }
                            }});
}

void Sender::onFrame(Neighbour &neighbour, const wire::Frame &frame)
{
    if (frame.kind() == wire::Kind::Room) {
        neighbour.room = frame.room();
        return;
    }
    const auto found = neighbour.requests.find(frame.request());
    if (found == neighbour.requests.end()) {
        return; // Its caller has left.
    }
    if (frame.kind() == wire::Kind::Answer) {
        Relayed &relayed = found->second;
        const http::ServerSessionPtr session = relayed.session;
        const bool isLast = frame.is_last();
        relayed.hasBytes = true;
        if (isLast) {
            neighbour.requests.erase(found);
        }
        if (frame.bytes() != nullptr) {
            session->relay({reinterpret_cast<const char *>(frame.bytes()->data()), frame.bytes()->size()});
        }
        if (isLast) {
            session->finishRelay();
        }
        return;
    }
    const Relayed relayed = std::move(found->second);
    neighbour.requests.erase(found);
    if (frame.kind() == wire::Kind::Declined) {
        ++this->counts.declined;
        neighbour.room = 0; // Until it tells otherwise.
        this->fail(relayed, HandoverFailure::Declined);
    } else if (frame.kind() == wire::Kind::Reset) {
        relayed.session->abort();
    }
}

void Sender::cancel(Neighbour &neighbour, std::uint32_t number)
{
    if (neighbour.requests.erase(number) > 0 && neighbour.link) {
        wire::FrameT frame;
        frame.kind = wire::Kind::Cancel;
        frame.request = number;
        neighbour.link->send(frame);
    }
}

void Sender::fail(const Relayed &relayed, HandoverFailure failure)
{
    if (relayed.hasBytes) {
        relayed.session->abort();
        return;
    }
    this->hooks.onFailure(*relayed.session, relayed.id, failure);
}

void Sender::closeLink(Neighbour &neighbour, const std::string &cause)
{
    if (!neighbour.link) {
        return;
    }
    neighbour.link->close();
    neighbour.link.reset();
    neighbour.room = 0;
    neighbour.retryAt = readClock() + reconnectPause;
    logEvent("handover_link_closed",
             {{"neighbour", neighbour.address.address().to_string()},
              {"cause", cause},
              {"requests", std::to_string(neighbour.requests.size())}});
    const auto requests = std::exchange(neighbour.requests, {});
    this->counts.lost += requests.size();
    for (const auto &[number, relayed] : requests) {
        this->fail(relayed, HandoverFailure::Lost);
    }
}

void Sender::tick(Duration timerLag, double acceptedFraction, Time now)
{
    this->limit.update(timerLag, acceptedFraction);
    const auto current = this->neighbours;
    for (const NeighbourPtr &neighbour : current) {
        if (!neighbour->link) {
            continue;
        }
        // This daemon's own lag delays what it receives.
        if (now - neighbour->link->lastReceivedAt() > maxSilence + timerLag) {
            this->closeLink(*neighbour, "silent");
            continue;
        }
        if (neighbour->requests.empty() && now - neighbour->lastUsedAt > idleTimeout) {
            this->closeLink(*neighbour, "not used");
            continue;
        }
        std::vector<std::uint32_t> expired;
        for (const auto &[number, relayed] : neighbour->requests) {
            if (now >= relayed.expiresAt) {
                expired.push_back(number);
            }
        }
        for (const std::uint32_t number : expired) {
            const Relayed relayed = neighbour->requests.at(number);
            this->cancel(*neighbour, number);
            ++this->counts.lost;
            this->fail(relayed, HandoverFailure::Expired);
        }
    }
}

void Sender::endRequests()
{
    for (const NeighbourPtr &neighbour : this->neighbours) {
        const auto requests = neighbour->requests;
        for (const auto &[number, relayed] : requests) {
            this->cancel(*neighbour, number);
            this->fail(relayed, HandoverFailure::Expired);
        }
    }
}

}
