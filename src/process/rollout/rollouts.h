#pragma once

/** @file All orders that a daemon knows, and which backend servers requests may use for them. */

#include "process/dispatch/active_daemons.h"
#include "process/rollout/service_rollout.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace eelgrassnotch::process::rollout
{

/** @brief Whether a request may use backend servers of a version. */
enum class VersionAccess {
    Preferred,
    Fallback, ///< Where no preferred backend server is usable.
    Forbidden,
};

/** @brief One backend server, as the directory has it. */
struct VersionedServer {
    std::string_view service;
    std::string_view version;
    std::uint32_t inFlight = 0; ///< This daemon's requests in progress.
    bool isUsable = false; ///< It may get new requests.
};

/** @brief A status that this daemon has to write. */
struct StatusWrite {
    RolloutOrder order;
    RolloutState state = RolloutState::Active;
    std::string reason;

    bool operator==(const StatusWrite &) const = default;
};

/** @brief An order and its figures, for metrics. */
struct RolloutReport {
    RolloutOrder order;
    RolloutStats stats;

    bool operator==(const RolloutReport &) const = default;
};

/**
 * @brief Keeps one rollout for each service with an order, and one version for the others.
 *
 * Without bounds nothing is restricted. With bounds, versions change only by
 * orders: a version that appears beside the one that a service runs gets no
 * requests until an order names it, as its entry may arrive before the order.
 */
class Rollouts
{
public:
    using Fields = std::vector<std::pair<std::string, std::string>>;
    using EventHandler = std::function<void(const std::string &event, const Fields &fields)>;

    Rollouts(DaemonHandle ownHandle, std::optional<RolloutBounds> operatorBounds, EventHandler eventHandler);

    bool isEnabled() const
    {
        return this->bounds.has_value();
    }
    /** @brief Replaces all orders. */
    void replaceAll(const std::vector<RolloutOrder> &orders, Time now);
    /** @brief Takes a new or changed order. */
    void apply(const RolloutOrder &order, Time now);
    /** @brief Prepares for a list from a store that came back from an older copy, where revisions are given out again. */
    void forgetRevisions();
    /** @brief An order was withdrawn: its service stays at the version that it runs. @param name Of the object. */
    void remove(const std::string &name);
    /** @brief Notes whether this daemon reaches the store; no rollout advances while it doesn't. */
    void setStoreReachable(bool isReachable);
    /** @returns whether an order is active. */
    bool hasActive() const;

    /** @brief Counts a request that is about to be placed for the first time. */
    void recordRequest(const std::string &service);
    /** @brief Draws the version of an attempt. @param isRepeated The request was sent before. */
    VersionChoice choose(const std::string &service, std::uint64_t requestHash, bool isRepeated) const;
    /** @returns whether an attempt with this choice may use a backend server. */
    VersionAccess access(const std::string &service, const std::string &version, const VersionChoice &choice) const;
    /** @brief Counts an attempt that is being sent. */
    void recordSent(const std::string &service, const std::string &version);
    /** @brief Records how an attempt ended. Its member wasTarget is set here. */
    void recordOutcome(const std::string &service, const std::string &version, Outcome outcome, Time now);

    /** @brief Takes the backend servers that are known. Called with the first ones of a service, and by update(). */
    void setServers(std::span<const VersionedServer> servers);
    /** @returns whether the version that a service runs is known. */
    bool isRunningKnown(const std::string &service) const;
    /**
     * @brief Judges and moves on; called several times a second.
     * @param others Sum of the other daemons' loads; nullopt when unknown.
     */
    void update(std::span<const VersionedServer> servers, const dispatch::ActiveDaemons &daemons,
                const std::optional<exchange::LoadSummary> &others, Time now);
    /** @returns the statuses to write now. Each is due again until the store tells a new state. */
    std::vector<StatusWrite> dueWrites(Time now) const;
    /** @brief Adds what other daemons are told; keeps the lists sorted. */
    void addTo(exchange::LoadSummary &load, Time now) const;
    std::vector<RolloutReport> reports() const;

private:
    /** What is known of a service's versions. */
    struct Service {
        std::string running; ///< Version that gets the requests without an order; empty before any server is known.
        std::set<std::string> bad; ///< Versions that were rolled back.
        std::unique_ptr<ServiceRollout> rollout; ///< Null without an order.
        RolloutSituation situation;
        std::map<std::string, std::uint32_t> usable; ///< Usable backend servers by version.
        Stage loggedStage = Stage::Probing;
        bool isBadLogged = false;
    };

    static void chooseRunning(Service &service);
    void setSituation(Service &service, const dispatch::ActiveDaemons &daemons, const std::optional<exchange::LoadSummary> &others,
                      Time now) const;
    void logChanges(Service &service);
    static void applyEnd(Service &service);

    DaemonHandle self;
    std::optional<RolloutBounds> bounds;
    EventHandler onEvent;
    std::map<std::string, Service, std::less<>> services;
    bool isStoreReachable = false;
};

}
