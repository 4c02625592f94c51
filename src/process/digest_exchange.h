#pragma once

/** @file Exchange of load digests between the dispatchers of a service in different data centres. */

#include "connection/wire/generated/frame_generated.h"
#include "eelgrassnotch/policy.h"
#include "process/dispatcher.h"
#include "process/membership.h"
#include "version/configuration.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace eelgrassnotch::process
{

/** @brief Identifies a pool: the backend servers of one service in one data centre. */
struct PoolKey {
    ServiceHandle service;
    DataCentreHandle dataCentre;

    constexpr auto operator<=>(const PoolKey &) const = default;
};

/** @brief Adds a digest to the next frame sent to a daemon. */
using DigestSender = std::function<void(DaemonHandle receiver, std::unique_ptr<connection::wire::DigestT> digest)>;

/**
 * @brief Sends and receives digests of the pools dispatched by this daemon.
 *
 * A digest tells the service's dispatcher in another data centre the pool's
 * spare capacity, its backlogged workspaces, and the cost served to workspaces
 * that are backlogged there. It is sent to the dispatcher named in the last
 * digest received from that data centre. Without a recent one, it is sent to a
 * daemon there, chosen by rendezvous hashing, which forwards it once.
 */
class DigestExchange
{
public:
    /** @param members Must outlive this object. */
    DigestExchange(const Membership &members, const Policy &policy);

    /** @brief Sends the digests of one pool to all other data centres. */
    void send(Dispatcher &pool, const version::Configuration &configuration, const DigestSender &sender, Time now);
    /** @brief Applies the charges and the spare capacity in a digest to a pool that this daemon dispatches. */
    void receive(Dispatcher &pool, const connection::wire::DigestT &digest, const version::Configuration &configuration, Time now);

private:
    struct RemotePool {
        Time receivedAt {0};
        DaemonHandle dispatcher;
        std::uint32_t waiting = 0;
        std::set<std::uint32_t> backlogged;
    };

    std::unique_ptr<connection::wire::DigestT> makeDigest(const Dispatcher &pool) const;
    const RemotePool *findFresh(const PoolKey &key, Time now) const;
    std::size_t countBackloggedRemotePools(ServiceHandle service) const;
    std::uint32_t linkCostTo(DataCentreHandle target, const version::Configuration &configuration) const;

    const Membership &members;
    Policy policy;
    std::map<PoolKey, RemotePool> remotePools;
};

}
