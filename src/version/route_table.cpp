#include "version/route_table.h"

#include <algorithm>

namespace eelgrassnotch::version
{

const std::string &Route::serviceFor(std::uint64_t draw) const
{
    std::uint64_t total = 0;
    for (const SplitShare &share : this->split) {
        total += share.weight;
    }
    std::uint64_t point = total == 0 ? 0 : draw % total;
    for (const SplitShare &share : this->split) {
        if (point < share.weight) {
            return share.service;
        }
        point -= share.weight;
    }
    return this->split.front().service;
}

RouteTable::RouteTable(RouteTableParts tableParts)
    : parts(std::move(tableParts))
{
    for (const Route &route : this->parts.routes) {
        this->byHost[route.host].push_back(&route);
    }
    for (auto &[host, routes] : this->byHost) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const Route *left, const Route *right) { return left->pathPrefix.size() > right->pathPrefix.size(); });
    }
    for (const RoutedWorkspace &workspace : this->parts.workspaces) {
        for (const std::string &key : workspace.keys) {
            this->byKey.emplace(key, &workspace);
        }
    }
    for (const Service &service : this->parts.services) {
        this->byService.emplace(service.name, &service);
    }
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto routes = this->byHost.find(host);
    if (routes == this->byHost.end()) {
        return nullptr;
    }
    const auto matching = std::find_if(routes->second.begin(), routes->second.end(),
                                       [path](const Route *route) { return path.starts_with(route->pathPrefix); });
    return matching == routes->second.end() ? nullptr : *matching;
}

const RoutedWorkspace *RouteTable::workspaceOf(std::string_view key) const
{
    const auto found = this->byKey.find(key);
    return found == this->byKey.end() ? nullptr : found->second;
}

const Service *RouteTable::service(std::string_view name) const
{
    const auto found = this->byService.find(name);
    return found == this->byService.end() ? nullptr : found->second;
}

}
