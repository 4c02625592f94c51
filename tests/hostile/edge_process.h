#pragma once

/** @file A real daemon process on loopback with the settings of a small VM, and what it holds. */

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace hostile
{

/** @brief Limits that the daemon finds in its settings file. */
struct ProcessLimits {
    std::size_t memoryMegabytes = 0;
    std::size_t descriptors = 0;

    bool operator==(const ProcessLimits &) const = default;
};

/** @brief Where a daemon runs, and what its operators bound. */
struct ProcessPlace {
    std::string name = "edge-1";
    std::string ip; ///< Loopback address of its own; one that this test program has for itself where it is empty.
    std::vector<std::uint16_t>
        internalPorts; ///< First and last; the same for all daemons of a fleet. A single free one where there are none.
    std::uint32_t revokeMs = 60000; ///< Time after which a key that was taken away must be refused.
    bool isFirstStart = true;

    bool operator==(const ProcessPlace &) const = default;
};

/** @param internalPort First of two that all daemons of the fleet use. @returns the place of a daemon of a fleet. */
ProcessPlace placeInFleet(std::size_t index, std::uint16_t internalPort);

/** @brief Starts the daemon, samples its memory and descriptors, and kills it at the end. */
class EdgeProcess
{
public:
    EdgeProcess(const ProcessLimits &limits, const std::string &storeAddress, ProcessPlace processPlace = {});
    ~EdgeProcess();
    EdgeProcess(const EdgeProcess &) = delete;
    EdgeProcess &operator=(const EdgeProcess &) = delete;

    /** @returns whether the process has not ended. */
    bool isAlive();
    void sendSignal(int signal) const;
    /** @brief Kills the process if it still runs, and starts it again. */
    void restart();
    /** @returns the most resident bytes that any sample found. */
    std::size_t peakResidentBytes() const
    {
        return this->peakBytes;
    }
    /** @returns the most open descriptors that any sample found. */
    std::size_t peakDescriptors() const
    {
        return this->peakOpen;
    }
    /** @returns the bytes that the daemon has logged. */
    std::size_t logBytes() const;
    /** @returns resident bytes now. */
    std::size_t residentBytes() const;
    /** @brief Begins to sample once the daemon is ready. @returns whether the readiness probe is answered with 200 within 20 s. */
    bool waitUntilReady();

    std::string callersAddress() const
    {
        return this->place.ip + ":" + std::to_string(this->callersPort);
    }
    std::string readyAddress() const
    {
        return this->place.ip + ":" + std::to_string(this->readyPort);
    }

private:
    void start();
    void kill();
    nlohmann::json makeSettings(const ProcessLimits &limits, const std::string &storeAddress) const;
    std::size_t openDescriptors() const;
    void sample();

    ProcessPlace place;
    std::uint16_t callersPort;
    std::uint16_t readyPort;
    std::string folder;
    int process = -1;
    std::atomic<bool> stopping {false};
    std::atomic<std::size_t> peakBytes {0};
    std::atomic<std::size_t> peakOpen {0};
    std::thread sampler;
};

/** @returns the status of the answer to one request on a connection of its own; 0 without an answer within 5 s. */
unsigned requestOnce(const std::string &address, const std::string &bytes);

}
