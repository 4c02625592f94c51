#include "process/status.h"

#include "process/units.h"

#include <nlohmann/json.hpp>

namespace eelgrassnotch::process
{

namespace
{

nlohmann::json describeMembers(const Node &node, Time now)
{
    nlohmann::json members = nlohmann::json::array();
    for (const auto &[handle, member] : node.membership().all()) {
        nlohmann::json entry {{"name", member.identity.name},
                              {"live", node.membership().isLive(handle, now)},
                              {"settled", member.hasStarted},
                              {"draining", member.draining},
                              {"refused", member.isConnectionRefused}};
        if (member.lastSeen) {
            entry["heardMsAgo"] = toMilliseconds(now - *member.lastSeen);
        }
        members.push_back(std::move(entry));
    }
    return members;
}

nlohmann::json describeRequests(const RequestCounts &counts)
{
    return {{"held", counts.pending}, {"waiting", counts.waiting}, {"running", counts.running}, {"ending", counts.aborting}};
}

nlohmann::json describeBackends(const Dispatcher &pool, const version::Service &service)
{
    nlohmann::json backends = nlohmann::json::array();
    for (const auto &[handle, backend] : service.backendServers) {
        if (pool.limitOf(handle) > 0.0) {
            backends.push_back({{"name", backend.name}, {"limit", pool.limitOf(handle)}, {"inFlight", pool.inFlightAt(handle)}});
        }
    }
    return backends;
}

nlohmann::json describePools(const Node &node)
{
    nlohmann::json pools = nlohmann::json::array();
    const version::ConfigurationPointer configuration = node.configuration().get();
    for (const auto &[handle, pool] : node.dispatchers()) {
        const bool serves = configuration && configuration->services.contains(handle) && !pool->routerHandles().empty();
        if (!serves) {
            continue;
        }
        const version::Service &service = configuration->services.at(handle);
        const PoolView view = pool->view();
        pools.push_back({{"service", service.name},
                         {"waiting", view.waiting},
                         {"inFlight", view.inFlight},
                         {"slots", view.slots},
                         {"dataCentresKnown", view.dataCentresKnown},
                         {"routers", pool->routerHandles().size()},
                         {"backendServers", describeBackends(*pool, service)}});
    }
    return pools;
}

}

std::string describeStatus(const Node &node, Time now)
{
    const DaemonIdentity &self = node.membership().self();
    const RouterStats &router = node.router().stats();
    const nlohmann::json document {{"daemon", self.name},
                                   {"incarnation", self.incarnation},
                                   {"configurationVersion", node.configuration().version()},
                                   {"settled", node.membership().isSelfStarted()},
                                   {"stopping", node.isStopping()},
                                   {"relay", node.isPlatformWatcher(now)},
                                   {"requests", describeRequests(node.router().requestCounts())},
                                   {"submitted", router.submitted},
                                   {"answered", router.answered},
                                   {"members", describeMembers(node, now)},
                                   {"pools", describePools(node)}};
    return document.dump();
}

}
