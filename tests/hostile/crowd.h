#pragma once

/** @file Many connections that misbehave in the same way, driven by one thread. */

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace hostile
{

/** @brief What each client of a crowd does. */
struct Behaviour {
    std::string head; ///< Sent first.
    std::string repeated; ///< Sent over and over after the head, ...
    std::size_t bytes = 0; ///< ... up to this many bytes in all; the client then stays open and sends nothing more.
    std::size_t piece = 65536; ///< Most bytes of one send.
    std::chrono::milliseconds pause {0}; ///< Between two sends, and between two reads.
    std::size_t readBytes = 0; ///< Bytes that it reads after each pause.
};

/** @brief Opens connections and opens each one again when the daemon ends it, until it is destroyed. */
class Crowd
{
public:
    Crowd(std::string address, std::size_t count, Behaviour behaviour);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /** @brief Waits until each client has sent all its bytes once or can't send more at present, for at most 20 s. */
    void waitUntilSent() const;

private:
    struct Client {
        int descriptor = -1;
        std::size_t sent = 0;
        std::chrono::steady_clock::time_point nextAt;
        std::chrono::steady_clock::time_point blockedSince;
        bool wasDone = false; ///< Has sent all, was blocked for a while, or was turned away, once.
    };

    void run();
    void turn(Client &client);
    void send(Client &client);
    void open(Client &client);
    static void close(Client &client);
    static bool hasEnded(const Client &client);

    std::string address;
    Behaviour behaviour;
    std::vector<Client> clients;
    std::atomic<bool> stopping {false};
    std::atomic<std::size_t> doneCount {0};
    std::thread thread;
};

}
