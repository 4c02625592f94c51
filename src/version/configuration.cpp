#include "version/configuration.h"

#include "process/units.h"
#include "version/checked_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace eelgrassnotch::version
{

namespace
{

constexpr double maxShare = 1'000'000.0;
constexpr std::int64_t maxTargetMs = 600'000;

template <class HandleType, class Value>
void insertUnique(std::map<HandleType, Value> &values, Value value, const CheckedJson &source)
{
    const HandleType handle = handleOf<HandleType>(value.name);
    if (const auto found = values.find(handle); found != values.end()) {
        source.member("name").fail("must be unique: its name or the hash of its name is also that of \"" + found->second.name + "\"");
    }
    values.emplace(handle, std::move(value));
}

Workspace parseWorkspace(const CheckedJson &source)
{
    source.allowOnly({"name", "share"});
    return {source.member("name").name(), source.number("share", 1.0, 0.001, maxShare)};
}

DataCentre parseDataCentre(const CheckedJson &source)
{
    source.allowOnly({"name", "region", "takenOut"});
    return {source.member("name").name(), source.member("region").name(), source.boolean("takenOut", false)};
}

BackendServer parseBackendServer(const CheckedJson &source, const Configuration &configuration)
{
    source.allowOnly({"name", "address", "port", "dataCentre", "maxConcurrency", "draining"});
    BackendServer backend;
    backend.name = source.member("name").name();
    backend.address = source.member("address").ipNumber();
    backend.port = static_cast<std::uint16_t>(source.member("port").integer(1, 65535));
    backend.dataCentre = handleOf<DataCentreHandle>(source.member("dataCentre").name());
    if (!configuration.dataCentres.contains(backend.dataCentre)) {
        source.member("dataCentre").fail("must name a declared data centre");
    }
    backend.maxConcurrency = source.number("maxConcurrency", 0.0, 0.0, config::maximumLimit);
    backend.draining = source.boolean("draining", false);
    return backend;
}

ServiceKind parseKind(const CheckedJson &source)
{
    const std::string kind = source.text();
    if (kind == "engine") {
        return ServiceKind::Engine;
    }
    if (kind == "plain") {
        return ServiceKind::Plain;
    }
    source.fail("must be \"engine\" or \"plain\"");
}

Duration parseTarget(const CheckedJson &source, const char *key, Duration fallback)
{
    const auto fallbackMs = std::chrono::duration_cast<std::chrono::milliseconds>(fallback).count();
    const double milliseconds = source.number(key, static_cast<double>(fallbackMs), 1.0, static_cast<double>(maxTargetMs));
    return std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
}

Service parseService(const CheckedJson &source, const Configuration &configuration)
{
    source.allowOnly({"name", "kind", "nonIdempotentPaths", "firstTokenTargetMs", "perTokenTargetMs", "backendServers"});
    Service service;
    service.name = source.member("name").name();
    service.kind = parseKind(source.member("kind"));
    for (const CheckedJson &path : source.array("nonIdempotentPaths")) {
        service.nonIdempotentPaths.push_back(path.text());
    }
    service.target.firstToken = parseTarget(source, "firstTokenTargetMs", config::firstTokenTarget);
    service.target.perToken = parseTarget(source, "perTokenTargetMs", config::perTokenTarget);
    for (const CheckedJson &backend : source.array("backendServers")) {
        insertUnique(service.backendServers, parseBackendServer(backend, configuration), backend);
    }
    return service;
}

nlohmann::json toJson(const BackendServer &backend, const Configuration &configuration)
{
    return {{"name", backend.name},
            {"address", backend.address},
            {"port", backend.port},
            {"dataCentre", configuration.dataCentres.at(backend.dataCentre).name},
            {"maxConcurrency", backend.maxConcurrency},
            {"draining", backend.draining}};
}

nlohmann::json toJson(const Service &service, const Configuration &configuration)
{
    nlohmann::json backends = nlohmann::json::array();
    for (const auto &[handle, backend] : service.backendServers) {
        backends.push_back(toJson(backend, configuration));
    }
    return {{"name", service.name},
            {"kind", service.kind == ServiceKind::Engine ? "engine" : "plain"},
            {"nonIdempotentPaths", service.nonIdempotentPaths},
            {"firstTokenTargetMs", process::toMilliseconds(service.target.firstToken)},
            {"perTokenTargetMs", process::toMilliseconds(service.target.perToken)},
            {"backendServers", backends}};
}

}

ConfigurationError::ConfigurationError(std::string pointer, const std::string &problem)
    : std::runtime_error((pointer.empty() ? "/" : pointer) + ": " + problem)
    , where(std::move(pointer))
{
}

bool Service::isIdempotent(std::string_view path) const
{
    const auto matches = [path](const std::string &prefix) { return path.starts_with(prefix); };
    return std::none_of(this->nonIdempotentPaths.begin(), this->nonIdempotentPaths.end(), matches);
}

bool Configuration::isUsable(const BackendServer &backend) const
{
    if (backend.draining) {
        return false;
    }
    const auto found = this->dataCentres.find(backend.dataCentre);
    return found != this->dataCentres.end() && !found->second.takenOut;
}

Configuration parseConfiguration(const nlohmann::json &document)
{
    const CheckedJson root(document);
    root.allowOnly({"version", "operation", "dataCentres", "workspaces", "services"});
    Configuration configuration;
    configuration.version = static_cast<std::uint64_t>(root.number("version", 0.0, 0.0, 9e15));
    if (root.has("operation")) {
        configuration.operation = root.member("operation").text();
    }
    for (const CheckedJson &dataCentre : root.array("dataCentres")) {
        insertUnique(configuration.dataCentres, parseDataCentre(dataCentre), dataCentre);
    }
    for (const CheckedJson &workspace : root.array("workspaces")) {
        insertUnique(configuration.workspaces, parseWorkspace(workspace), workspace);
    }
    for (const CheckedJson &service : root.array("services")) {
        insertUnique(configuration.services, parseService(service, configuration), service);
    }
    return configuration;
}

Configuration parseConfiguration(const std::string &text)
{
    try {
        return parseConfiguration(nlohmann::json::parse(text));
    } catch (const nlohmann::json::exception &error) {
        throw ConfigurationError("", std::string("not JSON: ") + error.what());
    }
}

nlohmann::json toJson(const Configuration &configuration)
{
    nlohmann::json document {{"version", configuration.version}, {"operation", configuration.operation}};
    document["dataCentres"] = nlohmann::json::array();
    document["workspaces"] = nlohmann::json::array();
    document["services"] = nlohmann::json::array();
    for (const auto &[handle, dataCentre] : configuration.dataCentres) {
        document["dataCentres"].push_back({{"name", dataCentre.name}, {"region", dataCentre.region}, {"takenOut", dataCentre.takenOut}});
    }
    for (const auto &[handle, workspace] : configuration.workspaces) {
        document["workspaces"].push_back({{"name", workspace.name}, {"share", workspace.share}});
    }
    for (const auto &[handle, service] : configuration.services) {
        document["services"].push_back(toJson(service, configuration));
    }
    return document;
}

}
