#include "link.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace harness
{

namespace
{

constexpr int waitingConnections = 64;

sockaddr_in endpoint(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

}

Link::Link(std::string machineIp, std::uint16_t portOfMachine)
    : machine(std::move(machineIp))
    , machinePort(portOfMachine)
    , listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = endpoint(this->machine, 0);
    if (::bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(this->listener, waitingConnections) != 0) {
        throw std::runtime_error("no port of " + this->machine + " is free");
    }
    socklen_t length = sizeof address;
    ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &length);
    this->ownPort = ntohs(address.sin_port);
    this->thread = std::thread([this] { this->accept(); });
}

Link::~Link()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->changed.notify_all();
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    for (const int descriptor : this->descriptors) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
    for (std::thread &worker : this->workers) {
        worker.join();
    }
    for (const int descriptor : this->descriptors) {
        ::close(descriptor);
    }
    ::close(this->listener);
}

void Link::setCut(bool isCut)
{
    const std::lock_guard lock(this->mutex);
    this->cut = isCut;
    this->changed.notify_all();
}

void Link::accept()
{
    while (true) {
        const int client = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
            return;
        }
        const int daemon = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = endpoint(this->machine, this->machinePort);
        if (::connect(daemon, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
            ::close(daemon);
            ::close(client);
            continue;
        }
        this->descriptors.push_back(client);
        this->descriptors.push_back(daemon);
        this->workers.emplace_back([this, client, daemon] { this->pass(client, daemon); });
        this->workers.emplace_back([this, client, daemon] { this->pass(daemon, client); });
    }
}

void Link::pass(int from, int to)
{
    std::array<char, 65536> bytes {};
    while (true) {
        const ssize_t read = ::recv(from, bytes.data(), bytes.size(), 0);
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait(lock, [this] { return !this->cut || this->stopping; });
        }
        if (read <= 0) {
            ::shutdown(to, SHUT_WR);
            return;
        }
        for (ssize_t sent = 0; sent < read;) {
            const ssize_t written = ::send(to, bytes.data() + sent, static_cast<std::size_t>(read - sent), MSG_NOSIGNAL);
            if (written <= 0) {
                ::shutdown(from, SHUT_RD);
                return;
            }
            sent += written;
        }
    }
}

}
