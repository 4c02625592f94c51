#pragma once

/** @file Immutable configuration of the fleet: one version of what operators declared. */

#include "eelgrassnotch/types.h"
#include "process/adaptive_limit.h"

#include <cstdint>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace eelgrassnotch::version
{

/** @brief A document that breaks the schema or a cross reference. */
class ConfigurationError : public std::runtime_error
{
public:
    /**
     * @param pointer JSON pointer to the value at fault, such as "/services/0/name".
     * @param problem What is wrong and what is allowed.
     */
    ConfigurationError(std::string pointer, const std::string &problem);

    const std::string &pointer() const
    {
        return this->where;
    }

private:
    std::string where;
};

struct Workspace {
    std::string name;
    double share = 1.0; ///< Weight against other workspaces, above zero.

    bool operator==(const Workspace &) const = default;
};

struct DataCentre {
    std::string name;
    std::string region;
    bool takenOut = false; ///< Its backend servers get no new work.

    bool operator==(const DataCentre &) const = default;
};

struct BackendServer {
    std::string name;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    DataCentreHandle dataCentre;
    double maxConcurrency = 0.0; ///< Declared ceiling in requests; zero for none.
    bool draining = false;

    bool operator==(const BackendServer &) const = default;
};

/** @brief How a service is called. */
enum class ServiceKind {
    Engine, ///< Streamed completions with server-sent events.
    Plain, ///< One call, one whole answer.
};

struct Service {
    std::string name;
    ServiceKind kind = ServiceKind::Plain;
    std::vector<std::string> nonIdempotentPaths; ///< Path prefixes whose calls run at most once.
    process::LatencyTarget target;
    std::map<BackendServerHandle, BackendServer> backendServers;

    /** @returns whether a call of this path may be sent again after an unknown outcome. */
    bool isIdempotent(std::string_view path) const;
    bool operator==(const Service &) const = default;
};

/** @brief One version of the declarations; never changes after it was made. */
struct Configuration {
    std::uint64_t version = 0;
    std::string operation; ///< Id of the operation that made this version.
    std::map<WorkspaceHandle, Workspace> workspaces;
    std::map<DataCentreHandle, DataCentre> dataCentres;
    std::map<ServiceHandle, Service> services;

    /** @returns whether a backend server may get new work by the declarations. */
    bool isUsable(const BackendServer &backend) const;
    bool operator==(const Configuration &) const = default;
};

using ConfigurationPointer = std::shared_ptr<const Configuration>;

/**
 * @brief Reads and checks a configuration document.
 * @throws ConfigurationError naming the first value at fault.
 */
Configuration parseConfiguration(const nlohmann::json &document);
/** @copydoc parseConfiguration(const nlohmann::json &) */
Configuration parseConfiguration(const std::string &text);

/** @returns the document of a configuration; parseConfiguration() reads it back as an equal value. */
nlohmann::json toJson(const Configuration &configuration);

}
