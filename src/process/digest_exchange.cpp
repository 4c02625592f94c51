#include "process/digest_exchange.h"

#include "process/rendezvous.h"

#include <algorithm>
#include <limits>

namespace eelgrassnotch::process
{

using connection::wire::DigestT;

namespace
{

constexpr std::uint32_t sameRegionLinkCost = 1;
constexpr std::uint32_t otherRegionLinkCost = 10;

}

DigestExchange::DigestExchange(const Membership &members, const Policy &policy)
    : members(members)
    , policy(policy)
{
}

void DigestExchange::send(Dispatcher &pool, const version::Configuration &configuration, const DigestSender &sender, Time now)
{
    const std::map<WorkspaceHandle, std::uint64_t> servedCost = pool.takeServedCost();
    for (const auto &[target, dataCentre] : configuration.dataCentres) {
        if (target == this->members.self().dataCentre) {
            continue;
        }
        const RemotePool *remote = this->findFresh({pool.service(), target}, now);
        const DaemonHandle fallback = chooseDaemon(pool.service().id, this->members.daemonsOf(target, now));
        const DaemonHandle receiver = remote != nullptr ? remote->dispatcher : fallback;
        if (!receiver.isValid()) {
            continue;
        }
        std::unique_ptr<DigestT> digest = this->makeDigest(pool);
        for (const auto &[workspace, cost] : servedCost) {
            if (remote != nullptr && remote->backlogged.contains(workspace.id)) {
                constexpr std::uint64_t maxChargedCost = std::numeric_limits<std::uint32_t>::max();
                digest->charges.emplace_back(workspace.id, static_cast<std::uint32_t>(std::min(cost, maxChargedCost)));
            }
        }
        sender(receiver, std::move(digest));
    }
}

std::unique_ptr<DigestT> DigestExchange::makeDigest(const Dispatcher &pool) const
{
    const PoolView view = pool.view();
    auto digest = std::make_unique<DigestT>();
    digest->service = pool.service().id;
    digest->data_centre = this->members.self().dataCentre.id;
    digest->dispatcher = this->members.self().handle().id;
    digest->waiting = static_cast<std::uint32_t>(view.waiting);
    digest->slots = static_cast<std::uint32_t>(view.slots);
    digest->room
        = static_cast<std::uint32_t>(view.spareCapacity / std::max<std::size_t>(1, this->countBackloggedRemotePools(pool.service())));
    for (const WorkspaceHandle workspace : pool.backlogged()) {
        digest->backlogged.push_back(workspace.id);
    }
    return digest;
}

void DigestExchange::receive(Dispatcher &pool, const DigestT &digest, const version::Configuration &configuration, Time now)
{
    const DataCentreHandle source {digest.data_centre};
    const DaemonHandle dispatcher {digest.dispatcher};
    this->remotePools[{pool.service(), source}] = {now, dispatcher, digest.waiting, {digest.backlogged.begin(), digest.backlogged.end()}};
    if (this->policy.digestCharges) {
        for (const connection::wire::Charge &charge : digest.charges) {
            pool.chargeRemoteService(WorkspaceHandle {charge.workspace()}, charge.cost());
        }
    }
    if (!this->policy.redirects || digest.slots == 0) {
        pool.removeRemoteCapacity(source);
        return;
    }
    const std::uint32_t linkCost = this->linkCostTo(source, configuration);
    pool.setRemoteCapacity({source, dispatcher, digest.room, linkCost, digest.slots, digest.waiting, now + config::digestFreshFor});
}

const DigestExchange::RemotePool *DigestExchange::findFresh(const PoolKey &key, Time now) const
{
    const auto found = this->remotePools.find(key);
    const bool isFresh = found != this->remotePools.end() && now - found->second.receivedAt <= config::digestFreshFor;
    return isFresh ? &found->second : nullptr;
}

/** Counts the other data centres whose pools have waiting requests; the spare capacity is divided among them. */
std::size_t DigestExchange::countBackloggedRemotePools(ServiceHandle service) const
{
    const auto isBacklogged = [service](const auto &entry) { return entry.first.service == service && entry.second.waiting > 0; };
    return static_cast<std::size_t>(std::count_if(this->remotePools.begin(), this->remotePools.end(), isBacklogged));
}

std::uint32_t DigestExchange::linkCostTo(DataCentreHandle target, const version::Configuration &configuration) const
{
    const auto local = configuration.dataCentres.find(this->members.self().dataCentre);
    const auto remote = configuration.dataCentres.find(target);
    const bool bothKnown = local != configuration.dataCentres.end() && remote != configuration.dataCentres.end();
    return bothKnown && local->second.region == remote->second.region ? sameRegionLinkCost : otherRegionLinkCost;
}

}
