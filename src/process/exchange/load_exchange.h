#pragma once

/** @file Spreads the load of all daemons in sums, with a bounded number of messages a daemon. */

#include "eelgrassnotch/types.h"
#include "process/exchange/load_summary.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassnotch::process::exchange
{

/** @brief A daemon as a target of messages. */
struct Peer {
    DaemonHandle daemon;
    DataCentreHandle dataCentre;
    std::string address; ///< IP.

    bool operator==(const Peer &) const = default;
};

/** @brief What a message sums up. */
enum class MessageKind {
    Member, ///< One daemon, to the relays of its data centre.
    DataCentre, ///< A data centre, to the relays of the others.
    Fleet, ///< The fleet, to the daemons of a data centre.
};

/** @brief One message. */
struct Message {
    MessageKind kind = MessageKind::Member;
    DaemonHandle sender;
    DataCentreHandle dataCentre; ///< Of the sender.
    LoadSummary load;

    bool operator==(const Message &) const = default;
};

/**
 * @brief Two relays in each data centre sum up its daemons, exchange the sums, and tell the daemons the total.
 *
 * Relays are chosen by rendezvous hashing; both work all the time, so that the
 * loss of one changes nothing. A daemon sends two messages a period, and a
 * relay as many as its data centre has daemons and the fleet has data centres.
 * A relay answers daemons that it is not told of yet, so that a daemon knows
 * the others' load as soon as it has a list of them, although they learn of it
 * seconds later.
 */
class LoadExchange
{
public:
    using Send = std::function<void(const Peer &to, const Message &message)>;

    LoadExchange(Peer ownIdentity, Send sendFunction);

    void setPeers(std::vector<Peer> allPeers);
    /** @brief Sends what is due in this period. @param ownLoad This daemon's load. */
    void tick(const LoadSummary &ownLoad, Time now);
    /** @param from IP of the sender, which may not be among the peers yet. */
    void receive(const Message &message, const std::string &from, Time now);
    /**
     * @returns load of all other daemons; nothing when no sum has come lately.
     * @remarks The sum holds this daemon's load of a moment ago, which is subtracted.
     */
    std::optional<LoadSummary> loadOfOthers(Time now) const;

private:
    struct TimedLoad {
        LoadSummary load;
        Time at {0};
    };
    struct Member {
        TimedLoad received;
        std::string address; ///< IP.
    };

    LoadSummary sumOfDataCentre(const LoadSummary &ownLoad) const;
    void sendFleetSum(const LoadSummary &fleetSum) const;

    Peer self;
    Send send;
    std::vector<Peer> peers; ///< All others.
    std::map<DataCentreHandle, std::vector<Peer>> aggregators; ///< Of each data centre.
    bool isAggregator = false; ///< Whether this daemon is one.
    std::map<DaemonHandle, Member> members; ///< Of this data centre, heard of lately.
    std::map<DataCentreHandle, TimedLoad> dataCentres; ///< Other data centres.
    std::optional<TimedLoad> computedSum; ///< Sum over the fleet by this daemon, if it is a relay.
    std::optional<TimedLoad> receivedSum; ///< The same by another relay.
    LoadSummary lastSentLoad; ///< Own load as it was last sent.
};

}
