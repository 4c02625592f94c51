#pragma once

/** @file The network between clients and one machine: a proxy on loopback that can be cut, which holds up what is sent. */

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace harness
{

/** @brief Passes bytes on in both directions while it is whole; what is sent during a cut arrives after it, as TCP sends it again. */
class Link
{
public:
    Link(std::string machineIp, std::uint16_t portOfMachine);
    ~Link();
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    const std::string &ip() const
    {
        return this->machine;
    }
    std::uint16_t port() const
    {
        return this->ownPort;
    }
    void setCut(bool isCut);

private:
    void accept();
    void pass(int from, int to);

    std::string machine;
    std::uint16_t machinePort;
    std::uint16_t ownPort = 0;
    int listener = -1;
    std::mutex mutex;
    std::condition_variable changed;
    bool cut = false;
    bool stopping = false;
    std::vector<int> descriptors;
    std::vector<std::thread> workers;
    std::thread thread;
};

}
