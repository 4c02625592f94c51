#pragma once

/** @file Protocol core of one daemon: all its roles, without I/O, clock, threads or randomness. */

#include "connection/wire/generated/frame_generated.h"
#include "eelgrassnotch/policy.h"
#include "process/configuration_state.h"
#include "process/digest_exchange.h"
#include "process/dispatcher.h"
#include "process/idempotency_claims.h"
#include "process/membership.h"
#include "process/platform_store.h"
#include "process/platform_watcher.h"
#include "process/router.h"
#include "process/timer_service.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace eelgrassnotch::process
{

/** @brief Key of the configuration object in the platform's store. */
inline const std::string configurationKey = "configuration";
/** @brief Key of the list of live VMs in the platform's store. */
inline const std::string vmListKey = "vms";

/** @brief A frame and its receiver. */
struct OutgoingFrame {
    DaemonIdentity to;
    connection::wire::FrameT frame;
};

/** @brief Command to answer a request with the stored answer of an earlier one under the same idempotency key. */
struct ReplayRequest {
    std::uint64_t request = 0;
    ReplayedAnswer answer;
};

/** @brief Frames and commands that one turn of the core produced. */
struct Outbox {
    std::vector<OutgoingFrame> frames;
    std::vector<StartAttempt> starts;
    std::vector<RefuseRequest> refusals;
    std::vector<ReplayRequest> replays;
    version::ConfigurationPointer newConfiguration; ///< Null when it did not change.
};

/** @brief Writes an event to the log. */
using EventHook = std::function<void(const std::string &event, const std::vector<std::pair<std::string, std::string>> &fields)>;

/** @brief Dependencies of the core. */
struct NodeHooks {
    PlatformStore *store = nullptr; ///< Must outlive the node.
    EventHook log; ///< May be empty.
    Policy policy; ///< Experiments switch single mechanisms off.
};

/** @brief Counters of one core. */
struct NodeStats {
    std::uint64_t framesReceived = 0;
    std::uint64_t invalidConfigurations = 0;
    std::uint64_t dispatcherTakeovers = 0;
    std::uint64_t redirects = 0;
    std::uint64_t denies = 0;
    std::uint64_t grants = 0;
};

/**
 * @brief Protocol core of one daemon: membership, router, dispatchers and claims.
 *
 * Inputs are typed values with the time of their arrival; takeOutbox() returns
 * the frames and commands of a turn.
 * @remarks Not synchronized; one thread owns it.
 */
class Node
{
public:
    /**
     * @param seeds Daemons from the settings, for a start without the platform.
     */
    Node(const DaemonIdentity &self, const std::vector<DaemonIdentity> &seeds, NodeHooks hooks, Time now);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /** @returns id of the request; the outbox holds the decisions on it, a refusal at once included. */
    std::uint64_t submit(request::RequestInfo info, Time now);
    void onAttemptEnded(std::uint64_t request, const request::AttemptOutcome &outcome, Time now);
    void onCallerGone(std::uint64_t request, Time now);

    void receive(const DaemonIdentity &from, const connection::wire::FrameT &frame, Time now);
    /** @brief Handles a new outgoing connection to a peer. */
    void onLinkUp(DaemonHandle peer, Time now);
    /** @brief Handles a refused connection to the peer's address: its process has ended. */
    void onConnectionRefused(DaemonHandle peer, Time now);
    void advance(Time now);
    /** @brief Begins a planned stop: hands roles over and refuses new requests. */
    void beginStop(Time now);
    /** @returns whether a planned stop is complete: no requests are left, and no roles that another daemon could take. */
    bool isDrained() const;
    /** @brief Announces to all peers that this daemon leaves; for the last turn before the process ends. */
    void announceLeave();

    Outbox takeOutbox(Time now);

    const Membership &membership() const
    {
        return this->members;
    }
    const Router &router() const
    {
        return this->localRouter;
    }
    const std::map<ServiceHandle, std::unique_ptr<Dispatcher>> &dispatchers() const
    {
        return this->localDispatchers;
    }
    const ConfigurationState &configuration() const
    {
        return this->configurationState;
    }
    const IdempotencyClaims &claims() const
    {
        return this->idempotencyClaims;
    }
    const NodeStats &stats() const
    {
        return this->counters;
    }
    /** @returns whether this daemon watches the platform for its data centre. */
    bool isPlatformWatcher(Time now) const;
    bool isStopping() const
    {
        return this->stopping;
    }

private:
    struct PeerState {
        std::uint32_t lastSequenceReceived = 0; ///< Sequence number of the peer's last heartbeat, echoed to it.
        std::map<std::uint32_t, Time> heartbeatSentAt; ///< By sequence number; a lease counts from the heartbeat that the peer echoes.
    };

    void subscribeTimers();
    void sendHeartbeats(Time now);
    void sendHeartbeat(DaemonHandle peer, Time now);
    void onHeartbeat(DaemonHandle from, const connection::wire::Heartbeat &heartbeat, const std::vector<std::uint32_t> &leasedServices,
                     Time now);
    void reconcileState(DaemonHandle from, const connection::wire::Heartbeat &heartbeat, Time now);
    void updateLeases(DaemonHandle from, std::uint32_t echo, const std::vector<std::uint32_t> &leasedServices, Time now);
    void receiveDispatcherMessages(DaemonHandle from, const connection::wire::FrameT &frame, Time now);
    void receiveRouterMessages(DaemonHandle from, const connection::wire::FrameT &frame, Time now);
    void receiveSharedState(DaemonHandle from, const connection::wire::FrameT &frame, Time now);
    void onDigest(const connection::wire::DigestT &digest, Time now);
    void forwardDigest(const connection::wire::DigestT &digest);
    void sendDigests(Time now);
    void onConfiguration(std::uint64_t version, const std::string &document, Time now);
    void applyConfiguration(Time now);
    void sendConfiguration(DaemonHandle peer);
    std::array<WatchedObject, 2> watchedObjects();
    void onVmListDocument(std::uint64_t version, const std::string &document);
    void onVmList(std::uint64_t version, const std::vector<DaemonIdentity> &listed, Time now);
    std::unique_ptr<connection::wire::VmListT> makeVmListMessage() const;
    void dropPeer(DaemonHandle peer, Duration slotHold, Time now);
    void updateMembership(Time now);
    void assignDispatchers(Time now);
    MembershipView membershipView(Time now) const;
    void yieldReassignedDispatchers(Time now);
    void runDispatchers(Time now);
    void collectRouterFrames(Time now);
    Dispatcher &dispatcherFor(ServiceHandle service, Time now);
    Dispatcher &takeOver(ServiceHandle service, Time now);
    std::unique_ptr<Dispatcher> makeDispatcher(ServiceHandle service, Time now) const;
    connection::wire::FrameT &frameFor(DaemonHandle peer);
    bool isRemote(DaemonHandle peer) const;
    Duration leaseDurationFor(DaemonHandle peer) const;
    std::set<DaemonHandle> heartbeatPeers(Time now) const;
    void log(const std::string &event, const std::vector<std::pair<std::string, std::string>> &fields) const;

    NodeHooks hooks;
    Membership members;
    Router localRouter;
    IdempotencyClaims idempotencyClaims;
    ConfigurationState configurationState;
    DigestExchange digests;
    PlatformWatcher watcher;
    TimerService timers;
    std::vector<TimerService::Subscription> subscriptions;
    std::map<ServiceHandle, std::unique_ptr<Dispatcher>> localDispatchers;
    std::map<DaemonHandle, PeerState> peers;
    std::map<DaemonHandle, connection::wire::FrameT> frames;
    std::vector<ReplayRequest> replays;
    Time startedAt;
    Time now;
    std::uint32_t heartbeatSequence = 0;
    std::uint64_t heartbeatRound = 0;
    DispatcherAssignment assignment; ///< As of the last update of the membership.
    bool stopping = false;
    bool configurationChanged = false;
    std::uint64_t vmListVersion = 0;
    Time vmListConfirmedAt {0};
    std::vector<DaemonIdentity> vmList;
    std::map<ServiceHandle, Time> reassignedSince; ///< Since when local dispatchers are assigned to another daemon.
    NodeStats counters;
};

}
