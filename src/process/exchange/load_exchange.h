#pragma once

/** @file Distributes the summed load of all daemons, with a bounded number of messages per daemon. */

#include "eelgrassnotch/types.h"
#include "process/exchange/limit_statement.h"
#include "process/exchange/load_summary.h"
#include "process/exchange/part_evidence.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassnotch::process::exchange
{

/** @brief A daemon that load messages are sent to. */
struct Peer {
    DaemonHandle daemon;
    DataCentreHandle dataCentre;
    std::string address; ///< IP address.

    bool operator==(const Peer &) const = default;
};

/** @brief The daemons whose load a message holds. */
enum class MessageKind {
    Member, ///< One daemon; sent to the aggregators of its data centre.
    DataCentre, ///< All daemons of a data centre; sent to the aggregators of the other data centres.
    Fleet, ///< All daemons of the fleet; sent to the daemons of a data centre.
};

/** @brief A load message. */
struct Message {
    MessageKind kind = MessageKind::Member;
    DaemonHandle sender;
    DataCentreHandle dataCentre; ///< Of the sender.
    LoadSummary load;
    PartEvidence evidence {}; ///< All that the sender knows; the same in messages of each kind.
    std::vector<LimitStatement> limits {}; ///< As evidence.

    bool operator==(const Message &) const = default;
};

/**
 * @brief Two aggregators in each data centre sum the load of its daemons, exchange the sums and send the fleet's total to the daemons.
 *
 * Aggregators are chosen by rendezvous hashing. Both are always active, so that
 * the loss of one interrupts nothing. In each interval a daemon sends two
 * messages, and an aggregator one to each daemon of its data centre and two to
 * each other data centre. Aggregators also send to daemons that reported their
 * load but are not listed yet: a new daemon receives the total as soon as it
 * knows the aggregators, although they list it only seconds later.
 */
class LoadExchange
{
public:
    using Send = std::function<void(const Peer &to, const Message &message)>;

    LoadExchange(Peer ownIdentity, Send sendFunction);

    void setPeers(std::vector<Peer> allPeers);
    /** @brief Sets what is told of prompt parts with the messages of the next intervals. */
    void setEvidence(PartEvidence known)
    {
        this->evidence = std::move(known);
    }
    /** @brief Sets what is told of announced rate limits with the messages of the next intervals. */
    void setLimits(std::vector<LimitStatement> known)
    {
        this->limits = std::move(known);
    }
    /** @brief Sends the messages of one interval. @param ownLoad This daemon's load. */
    void tick(const LoadSummary &ownLoad, Time now);
    /** @brief Stores a received load. @param from IP address of the sender, which may not be among the peers yet. */
    void receive(const Message &message, const std::string &from, Time now);
    /**
     * @returns the summed load of all other daemons; nothing without a recent sum.
     * @remarks The sum includes this daemon's own load as last sent, which is subtracted.
     */
    std::optional<LoadSummary> loadOfOthers(Time now) const;

private:
    struct TimedLoad {
        LoadSummary load;
        Time at {0};

        /** @returns the load with its age at a later time. */
        LoadSummary agedTo(Time now) const;
    };
    struct Member {
        TimedLoad received;
        std::string address; ///< IP address.
    };

    LoadSummary sumOfDataCentre(const LoadSummary &ownLoad, Time now) const;
    void sendFleetSum(const LoadSummary &fleetSum) const;

    Peer self;
    Send send;
    std::vector<Peer> peers; ///< All other daemons.
    std::map<DataCentreHandle, std::vector<Peer>> aggregators; ///< Of each data centre.
    bool isAggregator = false; ///< Whether this daemon is an aggregator of its data centre.
    std::map<DaemonHandle, Member> members; ///< Other daemons of this data centre whose load was received recently.
    std::map<DataCentreHandle, TimedLoad> dataCentres; ///< Sums received from other data centres.
    std::optional<TimedLoad> computedSum; ///< Sum over the fleet as computed here; empty unless this daemon is an aggregator.
    std::optional<TimedLoad> receivedSum; ///< Sum over the fleet as last received from an aggregator.
    LoadSummary lastSentLoad; ///< Own load as last sent.
    PartEvidence evidence;
    std::vector<LimitStatement> limits;
};

}
