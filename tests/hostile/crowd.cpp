#include "hostile/crowd.h"

#include "connection/http/types.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <vector>

namespace hostile
{

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace
{

constexpr auto turnPause = 2ms;
constexpr auto waitTimeout = 20s;
/** A client whose sends have been blocked this long counts as done: the daemon doesn't read on. */
constexpr auto blockedTime = 200ms;
/** Least time between two connections of one client: clients come again, but don't busy the daemon with connections alone. */
constexpr auto reopenPause = 100ms;
/** A client that doesn't read keeps a small window, so that what it doesn't take stays with the daemon. */
constexpr int smallReceiveBuffer = 4096;

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINPROGRESS || errno == ENOTCONN || errno == EINTR;
}

}

Crowd::Crowd(std::string crowdAddress, std::size_t count, Behaviour clientBehaviour)
    : address(std::move(crowdAddress))
    , behaviour(std::move(clientBehaviour))
    , clients(count)
    , thread([this] { this->run(); })
{
}

Crowd::~Crowd()
{
    this->stopping = true;
    this->thread.join();
    for (Client &client : this->clients) {
        close(client);
    }
}

void Crowd::waitUntilSent() const
{
    const auto until = Clock::now() + waitTimeout;
    while (this->doneCount < this->clients.size() && Clock::now() < until) {
        std::this_thread::sleep_for(turnPause);
    }
}

void Crowd::run()
{
    while (!this->stopping) {
        for (Client &client : this->clients) {
            const bool before = client.wasDone;
            this->turn(client);
            this->doneCount += !before && client.wasDone ? 1 : 0;
        }
        std::this_thread::sleep_for(turnPause);
    }
}

void Crowd::turn(Client &client)
{
    if (Clock::now() < client.nextAt) {
        return;
    }
    if (client.descriptor < 0) {
        this->open(client);
        return;
    }
    client.nextAt = Clock::now() + this->behaviour.pause;
    if (this->behaviour.readBytes > 0) {
        std::vector<char> bytes(this->behaviour.readBytes);
        const ssize_t size = ::recv(client.descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (size == 0 || (size < 0 && !wouldBlock())) {
            client.wasDone = true;
            close(client);
            return;
        }
    }
    this->send(client);
}

void Crowd::send(Client &client)
{
    // A client that sends in small pieces makes many sends a turn, unless it pauses between them.
    constexpr std::size_t bytesPerTurn = 65536;
    const std::size_t headBytes = std::min(this->behaviour.head.size(), this->behaviour.bytes);
    for (std::size_t inTurn = 0; inTurn < bytesPerTurn && client.sent < this->behaviour.bytes;) {
        const bool isHead = client.sent < headBytes;
        const std::string &source = isHead ? this->behaviour.head : this->behaviour.repeated;
        const std::size_t from = isHead ? client.sent : (client.sent - headBytes) % source.size();
        const std::size_t end = isHead ? headBytes : source.size();
        const std::size_t size = std::min({end - from, this->behaviour.piece, this->behaviour.bytes - client.sent});
        const ssize_t written = ::send(client.descriptor, source.data() + from, size, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written < 0) {
            if (!wouldBlock()) {
                client.wasDone = true;
                close(client);
            } else if (Clock::now() - client.blockedSince > blockedTime) {
                client.wasDone = true;
            }
            return;
        }
        client.blockedSince = Clock::now();
        client.sent += static_cast<std::size_t>(written);
        inTurn += this->behaviour.pause > 0ms ? bytesPerTurn : static_cast<std::size_t>(written);
    }
    const bool isSlow = this->behaviour.pause > 0ms && client.sent > 0;
    client.wasDone = client.wasDone || isSlow || client.sent >= this->behaviour.bytes;
    if (hasEnded(client)) {
        client.wasDone = true;
        close(client);
    }
}

void Crowd::open(Client &client)
{
    const auto endpoint = eelgrassnotch::connection::http::parseEndpoint(this->address);
    client.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    ::setsockopt(client.descriptor, SOL_SOCKET, SO_RCVBUF, &smallReceiveBuffer, sizeof smallReceiveBuffer);
    client.sent = 0;
    client.blockedSince = Clock::now();
    if (::connect(client.descriptor, endpoint.data(), static_cast<socklen_t>(endpoint.size())) != 0 && !wouldBlock()) {
        close(client);
    }
}

bool Crowd::hasEnded(const Client &client)
{
    // What the daemon sent is left unread; its end shows in the state of the socket.
    std::array<char, 65536> bytes {};
    const ssize_t size = ::recv(client.descriptor, bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && !wouldBlock());
}

void Crowd::close(Client &client)
{
    if (client.descriptor >= 0) {
        ::close(client.descriptor);
        client.descriptor = -1;
        client.nextAt = Clock::now() + reopenPause;
    }
}

}
