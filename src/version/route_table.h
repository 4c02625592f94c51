#pragma once

/** @file One version of the routes, services and keys; immutable once made. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassnotch::version
{

/** @brief What may be repeated of a route's requests. */
enum class RouteKind {
    Idempotent,
    NonIdempotent,
    Streaming, ///< Repeatable only from an event on, and only where the route is resumable.
};

/** @brief Part of a route's requests that goes to one service. */
struct SplitShare {
    std::string service;
    std::uint32_t weight = 0;

    bool operator==(const SplitShare &) const = default;
};

/** @brief Where requests of one host and path prefix go, and how. */
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout {0}; ///< Longest time to the end of the answer; zero for none.
    Duration latencyTarget {0}; ///< Time to the answer, or to the first event of a stream.
    std::vector<SplitShare> split;
    std::uint32_t maxAttempts = 1; ///< Backend servers that one request may reach.
    bool isPublic = false; ///< Needs no API key.
    bool isResumable = false;
    std::vector<std::string> homeRegions; ///< Empty for all.

    /** @brief Picks the service. @param draw Uniform number, the same for a request at any time. */
    const std::string &serviceFor(std::uint64_t draw) const;
    bool operator==(const Route &) const = default;
};

/** @brief Limits of the model engines of a service. */
struct EngineLimits {
    std::uint32_t slots = 0; ///< Requests in one batch.
    std::uint64_t cacheTokens = 0; ///< Tokens of running requests and kept prefixes together.

    bool operator==(const EngineLimits &) const = default;
};

/** @brief What all backend servers of a service have in common. */
struct Service {
    std::string name;
    std::uint32_t maxConnections = 0; ///< At one backend server, from all callers.
    Duration coldPeriod {0}; ///< After a start.
    double coldRate = 0; ///< Requests a second that a cold backend server bears.
    std::optional<EngineLimits> engine; ///< Only for model engines.

    bool operator==(const Service &) const = default;
};

/** Time for a caller's header, and between its requests, where the configuration names none. Source: what deployments configure. */
constexpr Duration defaultHeaderTimeout = std::chrono::seconds(3);
constexpr Duration defaultIdleTimeout = std::chrono::seconds(15);

/** @brief Bounds on what callers send. */
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 4194304;
    Duration headerTimeout = defaultHeaderTimeout;
    Duration idleTimeout = defaultIdleTimeout;

    bool operator==(const CallerLimits &) const = default;
};

/** @brief A workspace as routing needs it. */
struct RoutedWorkspace {
    std::string name;
    std::vector<std::string> keys;
    std::vector<std::string> homeRegions; ///< Empty for all.

    bool operator==(const RoutedWorkspace &) const = default;
};

/** @brief All parts of one version, as they are decoded. */
struct RouteTableParts {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<RoutedWorkspace> workspaces;
    CallerLimits limits;
    double tokensPerSecond = 0; ///< Throughput of all engines: tokens read once, tokens generated twice.

    bool operator==(const RouteTableParts &) const = default;
};

/** @brief Indexed, immutable version. */
class RouteTable
{
public:
    explicit RouteTable(RouteTableParts parts);

    std::uint64_t version() const
    {
        return this->parts.version;
    }
    const CallerLimits &limits() const
    {
        return this->parts.limits;
    }
    double tokensPerSecond() const
    {
        return this->parts.tokensPerSecond;
    }
    /** @returns whether requests need a key unless their route is public. */
    bool hasWorkspaces() const
    {
        return !this->parts.workspaces.empty();
    }
    std::size_t routeCount() const
    {
        return this->parts.routes.size();
    }
    /** @returns the route of the host with the longest prefix of the path, or null. */
    const Route *match(std::string_view host, std::string_view path) const;
    /** @returns the workspace that holds a key, or null. */
    const RoutedWorkspace *workspaceOf(std::string_view key) const;
    const Service *service(std::string_view name) const;

private:
    RouteTableParts parts;
    std::map<std::string, std::vector<const Route *>, std::less<>> byHost; ///< Longest prefix first.
    std::map<std::string, const RoutedWorkspace *, std::less<>> byKey;
    std::map<std::string, const Service *, std::less<>> byService;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}
