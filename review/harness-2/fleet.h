#pragma once

/** @file Real daemons on loopback, and the backend servers and callers that a review case puts around them. */

#include "standin/object_store.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** Exit codes of a case. */
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/** @returns whether the disruption takes place; TROUBLE=0 in the environment leaves it out. */
bool hasTrouble();

/** @brief Writes what was sent, answered and run, with the time since the start, to record.txt and to standard output. */
class Record
{
public:
    Record();
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text);

private:
    Clock::time_point start;
    std::mutex mutex;
    int descriptor;
};

/** @brief What a backend server got. */
struct Arrival {
    std::string id;
    std::string workspace;
    Clock::time_point at;
    bool hasCrashingPart = false;
};

/** @brief How a backend server answers. */
struct ReplicaBehaviour {
    Milliseconds untilFirst {20}; ///< Work before the answer, or before the first event of a stream.
    Milliseconds betweenEvents {40};
    int events = 4; ///< Of a stream; none for a plain answer.
    std::string crashesOnPart {}; ///< Id of a part of prompts that ends the replica when it begins to write an answer on it.
};

/** @brief A sound backend server: checks the instance that is expected, echoes the id, signs, and drops work whose connection closes. */
class Replica
{
public:
    Replica(std::string instanceId, std::string serviceName, ReplicaBehaviour answerBehaviour);
    ~Replica();
    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    /** @brief Resets all its connections and ends, as a crash does. */
    void crash();
    /** @returns whether it has begun to write an answer on the part that ends it; its owner calls crash() then. */
    bool isCrashing() const
    {
        return this->crashing;
    }
    std::vector<Arrival> arrivals() const;
    /** @returns its entry in the store. */
    nlohmann::json entry(std::uint32_t slots, Milliseconds coldLeft = Milliseconds {0}) const;
    const std::string &id() const
    {
        return this->instance;
    }
    std::size_t waiting() const
    {
        return this->inProgress;
    }

private:
    void accept();
    void serve(int descriptor);
    /** @returns whether the connection goes on. */
    bool answer(int descriptor, const standin::Request &request);
    bool pause(int descriptor, Milliseconds time) const;

    std::string instance;
    std::string service;
    ReplicaBehaviour behaviour;
    int listener = -1;
    std::uint16_t port = 0;
    std::int64_t born = 0;
    std::atomic<bool> ended {false};
    std::atomic<bool> crashing {false};
    std::atomic<std::size_t> inProgress {0};
    mutable std::mutex mutex;
    std::vector<Arrival> arrived;
    std::vector<int> descriptors;
    std::vector<std::thread> workers;
    std::thread acceptor;
};

/** @brief Where a daemon runs. */
struct Place {
    std::string name;
    std::string dataCentre;
};

/** @brief A daemon process with the settings of a small deployment, started as the deploy file says. */
class Daemon
{
public:
    Daemon(Place where, const std::string &storeAddress, bool isFirstStart);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void start();
    /** @brief Sends a signal, and waits for the end where it ends the process. */
    void signal(int number);
    bool isRunning();
    /** @returns whether the readiness probe is answered with 200 before the time is over. */
    bool waitUntilReady(Milliseconds timeout) const;
    /** @returns the status of one readiness probe; 0 without an answer in time. */
    unsigned probe(Milliseconds timeout) const;
    std::size_t residentBytes() const;
    /** @returns the end of what the process has logged. */
    std::string lastLog() const;
    std::string callersAddress() const
    {
        return this->ip + ":" + std::to_string(this->callersPort);
    }
    const std::string &name() const
    {
        return this->place.name;
    }

private:
    Place place;
    std::string ip;
    std::uint16_t callersPort;
    std::uint16_t readyPort;
    std::string folder;
    int process = -1;
};

/** Memory of a machine of the deployment, in megabytes. */
constexpr std::size_t machineMegabytes = 110;
constexpr const char *streamHost = "ficu95.example";

/** @returns a configuration like that of a small deployment: one service of model replicas, one of plain requests. */
nlohmann::json makeConfiguration(int version, const std::vector<std::string> &keys);

/** @brief What a caller got. */
struct Answer {
    unsigned status = 0; ///< Zero without an answer.
    std::string head;
    std::string body;
    bool isWhole = false;
    std::string rest; ///< Bytes after the answer.
    Milliseconds took {0};
};

/** @brief One connection of a caller. */
class Caller
{
public:
    explicit Caller(const std::string &address);
    ~Caller();
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    bool send(const std::string &bytes);
    /** @param hasBody False for an answer to a HEAD request. */
    Answer receive(Milliseconds timeout, bool hasBody = true);

private:
    int descriptor;
    std::string buffer;
};

/** @brief A request of a caller, as text. */
struct RequestText {
    std::string method = "POST";
    std::string path;
    std::string id;
    std::string key;
    int deadlineMs = 4000;
    std::string fields; ///< More header lines, each with its line end.
    std::string body;

    std::string text() const;
};

/** @returns a status and its time in words, for the record. */
std::string describe(const Answer &answer);

}
