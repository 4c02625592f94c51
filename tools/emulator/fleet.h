#pragma once

/** @file Several decision cores in one process, with a fake clock and hand-carried messages. */

#include "eelgrassnotch/policy.h"
#include "emulator/backend.h"
#include "emulator/event_queue.h"
#include "emulator/platform.h"
#include "process/node.h"
#include "version/configuration.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace eelgrassnotch::emulator
{

/** @brief One caller's request. */
struct RequestSpec {
    std::string workspace;
    std::string service;
    std::uint32_t cost = 50; ///< True cost in tokens, unknown to the system.
    std::uint32_t hint = 0;
    Duration deadline = std::chrono::seconds(30);
    bool idempotent = true;
    std::string key; ///< Idempotency key; empty for none.
};

/** @brief What became of a request. */
struct RequestRecord {
    RequestSpec spec;
    std::string daemon;
    std::string name; ///< As the backend servers' execution logs know it.
    Time submittedAt {0};
    Time endedAt {0};
    bool answered = false;
    bool replayed = false;
    std::optional<Refusal> refusal;
    bool lostWithDaemon = false; ///< Its daemon was killed; the caller saw the connection end.
};

/** @brief Arrivals of one workspace at a rate. */
struct ArrivalSpec {
    RequestSpec request;
    std::vector<std::string> daemons; ///< Picked at random for each request.
    double rate = 1.0; ///< Requests per second.
    Duration lasting = std::chrono::seconds(10);
    double costSpread = 0.0; ///< Costs vary evenly by this part up and down.
};

/** @brief Daemons, links, platform and backend servers of one scenario. */
class Fleet
{
public:
    Fleet(std::uint32_t seed, Policy policy);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    void addDataCentre(const std::string &name, const std::string &region, const std::vector<std::string> &daemons);
    void addWorkspace(const std::string &name, double share);
    void addService(const std::string &name, bool isEngine, const std::vector<std::string> &nonIdempotentPaths);
    void addBackend(const std::string &service, const std::string &name, const std::string &dataCentre, BackendTruth truth);
    /** @brief Writes the declarations to the platform. @returns the new version. */
    std::uint64_t publishConfiguration();
    /** @brief Starts all daemons. */
    void start();

    void run(Duration lasting);
    /** @returns index of the request's record. */
    std::size_t submit(const std::string &daemon, const RequestSpec &spec);
    void addArrivals(const ArrivalSpec &spec);

    /** @brief Ends a daemon's process without a word. */
    void kill(const std::string &daemon);
    /** @brief Takes a daemon's VM away: its connections end in silence. */
    void vanish(const std::string &daemon);
    void restart(const std::string &daemon);
    void pause(const std::string &daemon);
    void resume(const std::string &daemon);
    /** @brief Planned stop; the process ends when it is drained. */
    void stop(const std::string &daemon);
    /** @brief Cuts the links between two groups of daemons, both ways. */
    void cut(const std::vector<std::string> &left, const std::vector<std::string> &right);
    void heal();
    void cutFromPlatform(const std::string &daemon, bool isCut);
    /** @brief Publishes the platform's list of VMs as it is now. */
    void publishVms();

    version::Configuration declarations;
    Platform &platform()
    {
        return this->objects;
    }
    Backend &backend(const std::string &name)
    {
        return *this->backends.at(handleOf<BackendServerHandle>(name));
    }
    process::Node &node(const std::string &daemon);
    bool isRunning(const std::string &daemon) const;
    const std::vector<RequestRecord> &records() const
    {
        return this->requests;
    }
    std::vector<std::string> daemonNames() const;
    /** @returns tokens served to a workspace since the start. */
    std::uint64_t servedTo(const std::string &workspace) const;
    Time now() const
    {
        return this->events.now();
    }
    /** @returns frame bytes sent by a daemon so far. */
    std::uint64_t bytesSentBy(const std::string &daemon) const;
    /** @returns processor time that a daemon's core has used so far. */
    Duration coreTimeOf(const std::string &daemon) const;
    /** @brief Measures the cores' processor time from now on; costs two clock readings a turn. */
    void measureCores()
    {
        this->measuring = true;
    }
    /** @returns executions of a request or key at all backend servers. */
    int executionsOf(const std::string &name) const;
    /** @returns whether a configuration version was ever followed by a lower one. */
    bool sawRevert() const
    {
        return this->reverted;
    }

private:
    struct Attempt {
        BackendServerHandle backend;
        std::uint64_t id = 0;
    };
    struct Daemon {
        process::DaemonIdentity identity;
        std::string dataCentre;
        std::unique_ptr<PlatformClient> store;
        std::vector<std::unique_ptr<PlatformClient>> formerStores; ///< Still named by pending events.
        std::unique_ptr<process::Node> node;
        std::uint64_t life = 0; ///< Grows with every start; events of a former life are void.
        bool paused = false;
        bool vanished = false;
        bool stopping = false;
        std::vector<std::function<void()>> inbox; ///< Arrived during a pause.
        std::map<std::uint64_t, std::size_t> open; ///< Request id to record.
        std::map<std::uint64_t, Attempt> attempts;
        std::set<DaemonHandle> links; ///< Outgoing links that are up.
        std::uint64_t bytesSent = 0;
        std::uint64_t framesSent = 0;
        std::chrono::nanoseconds coreTime {0};
        std::uint64_t lastVersion = 0;
    };

    Daemon &daemon(const std::string &name);
    void startDaemon(Daemon &target);
    void endDaemon(Daemon &target, bool connectionsClose);
    void deliver(Daemon &target, std::function<void()> action);
    template <class Work>
    void measured(Daemon &target, Work &&work);
    void tick(Daemon &target, std::uint64_t life);
    void flush(Daemon &target);
    void send(Daemon &from, const process::OutgoingFrame &outgoing);
    void startAttempt(Daemon &from, const process::StartAttempt &order);
    void attemptEnded(DaemonHandle from, std::uint64_t life, std::uint64_t request, const request::AttemptOutcome &outcome);
    void refuseRequest(Daemon &from, const process::RefuseRequest &entry);
    void nextArrival(std::size_t index, Time until);
    bool isCut(DaemonHandle left, DaemonHandle right) const;
    Duration linkDelay(const Daemon &left, const Daemon &right) const;

    Policy policy;
    std::mt19937 random;
    EventQueue events;
    Platform objects;
    std::map<DaemonHandle, Daemon> daemons;
    std::map<BackendServerHandle, std::unique_ptr<Backend>> backends;
    std::map<BackendServerHandle, BackendTruth> truths;
    std::set<std::pair<DaemonHandle, DaemonHandle>> cuts;
    std::vector<RequestRecord> requests;
    std::vector<ArrivalSpec> arrivals;
    std::uint64_t lastIncarnation = 0;
    bool reverted = false;
    bool measuring = false;
};

}
