#pragma once

/** @file Starts daemons as separate processes with settings of a small deployment, and speaks to them as clients and replicas do. */

#include "store.h"

#include <chrono>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace harness
{

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

/** Exit codes of a case. */
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/** @returns whether the case is played with its disruption; TROUBLE=0 plays it without. */
bool hasTrouble();

/** @brief Lines of what was sent, answered and run, with seconds since the start; written to record.txt of the case's folder. */
class Record
{
public:
    explicit Record(const std::string &path);
    void add(const std::string &line);

private:
    std::mutex mutex;
    std::ofstream file;
    Clock::time_point begun = Clock::now();
};

/** @brief One machine of the deployment: its addresses, and its daemon while one runs. */
class Machine
{
public:
    /** @param place Number of the machine in the deployment; selects its loopback address. */
    Machine(int place, std::string zone, const Store &store, std::string folder);
    ~Machine();
    Machine(const Machine &) = delete;
    Machine &operator=(const Machine &) = delete;

    /** @brief Starts the daemon with the command of the deploy file. */
    void start();
    void signal(int number) const;
    /** @brief Kills the daemon if it runs, and collects it. */
    void end();
    /** @returns whether the daemon has ended by itself. */
    bool hasEnded();
    /** @returns bytes of memory that the daemon's process holds. */
    std::size_t memoryBytes() const;
    /** @returns whether it answers the platform's readiness question with 200. */
    bool isReady() const;
    bool waitUntilReady(std::chrono::milliseconds limit) const;

    const std::string &ip() const
    {
        return this->address;
    }
    std::uint16_t frontPort() const
    {
        return this->front;
    }

private:
    std::string address;
    std::string folder;
    std::string zone;
    std::string storeAddress;
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t internal = 0;
    int process = -1;
    bool isFirstStart = true;
};

/** @brief A client's connection, with plain blocking calls. */
class Connection
{
public:
    /** @param receiveBuffer Bytes that may wait to be read; zero for the usual number. */
    Connection(const std::string &ip, std::uint16_t port, int receiveBuffer = 0);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool isOpen() const
    {
        return this->descriptor >= 0;
    }
    bool send(const std::string &bytes) const;
    /** @returns the status of the next answer, read with its body of a stated length; nothing when there is none in time. */
    std::optional<int> readAnswer(std::chrono::milliseconds limit);
    /** @returns up to that many bytes; empty at the end of the connection, nothing when it was reset or none came in time. */
    std::optional<std::string> readSome(std::size_t most, std::chrono::milliseconds limit) const;

private:
    int descriptor = -1;
    std::string received;
};

/** @brief Header and body of a client's request. */
struct ClientRequest {
    std::string header;
    std::string body;
};

/** @brief A configuration with one route to one service, as an operator writes it. */
struct RouteSettings {
    std::string kind = "non_idempotent";
    int timeoutMs = 5000;
    int goalMs = 300;
    bool isPublic = true;
    std::vector<std::string> keys {"asnmgkcuyj8pjbvk9m68"}; ///< Of the one tenant.
};

nlohmann::json makeConfiguration(int version, const RouteSettings &route);
nlohmann::json makeReplicaEntry(const std::string &address, const std::string &zone, const std::string &state);
/** @param key API key; none for routes that are public. */
ClientRequest makeRequest(const std::string &attemptId, int deadlineMs, std::size_t bodyBytes, const std::string &key = "");
/** @returns a whole answer of a replica that has run the request. */
std::string ranAnswer(const Request &request, std::size_t bodyBytes = 800);
std::string attemptIdOf(const Request &request);
/** @returns the folder for logs and settings of this run. */
std::string makeFolder();

}
