#pragma once

/** @file Digests between the dispatchers of one service in different data centres. */

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

/** @brief One service in one data centre. */
struct PoolKey {
    ServiceHandle service;
    DataCentreHandle dataCentre;

    constexpr auto operator<=>(const PoolKey &) const = default;
};

/** @brief Puts a digest into the next frame for a daemon. */
using DigestSender = std::function<void(DaemonHandle receiver, std::unique_ptr<connection::wire::DigestT> digest)>;

/**
 * @brief Tells each counterpart what a pool has room for, which workspaces wait
 * in it, and what it served to workspaces that wait at the counterpart.
 *
 * A digest goes straight to the counterpart that answered last; until one has,
 * to a daemon of its data centre, which passes it on once.
 */
class DigestExchange
{
public:
    /** @param members Must outlive this object. */
    DigestExchange(const Membership &members, const Policy &policy);

    /** @brief Sends the digests of one pool to all other data centres. */
    void send(Dispatcher &pool, const version::Configuration &configuration, const DigestSender &sender, Time now);
    /** @brief Takes a digest for a pool that is dispatched here: charges, and room for redirects. */
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
    std::size_t backloggedCounterparts(ServiceHandle service) const;
    std::uint32_t linkCostTo(DataCentreHandle target, const version::Configuration &configuration) const;

    const Membership &members;
    Policy policy;
    std::map<PoolKey, RemotePool> remotePools;
};

}
