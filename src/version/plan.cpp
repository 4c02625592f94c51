#include "version/plan.h"

#include "version/checked_json.h"

#include <nlohmann/json.hpp>

#include <functional>

namespace eelgrassnotch::version
{

namespace
{

/** How objects of one kind are compared. */
template <class Value>
struct Comparison {
    std::string kind;
    std::function<std::string(const Value &)> effectOfAdding;
    std::function<std::string(const Value &before, const Value &after)> effectOfChange;
    std::string effectOfRemoval;
};

template <class HandleType, class Value>
void compareAll(const std::map<HandleType, Value> &before, const std::map<HandleType, Value> &after, const Comparison<Value> &comparison,
                std::vector<Change> &changes)
{
    for (const auto &[handle, value] : after) {
        const auto found = before.find(handle);
        const std::string object = comparison.kind + " " + value.name;
        if (found == before.end()) {
            changes.push_back({ChangeKind::Added, object, comparison.effectOfAdding(value)});
        } else if (!(found->second == value)) {
            changes.push_back({ChangeKind::Changed, object, comparison.effectOfChange(found->second, value)});
        }
    }
    for (const auto &[handle, value] : before) {
        if (!after.contains(handle)) {
            changes.push_back({ChangeKind::Removed, comparison.kind + " " + value.name, comparison.effectOfRemoval});
        }
    }
}

std::string formatShare(double share)
{
    return nlohmann::json(share).dump();
}

std::string effectOfDataCentre(const DataCentre &before, const DataCentre &after)
{
    if (!before.takenOut && after.takenOut) {
        return "its backend servers get no new work, running requests end";
    }
    if (before.takenOut && !after.takenOut) {
        return "its backend servers get work again, as much as they bear";
    }
    return "region " + before.region + " becomes " + after.region;
}

std::string effectOfBackend(const BackendServer &before, const BackendServer &after)
{
    if (!before.draining && after.draining) {
        return "gets no new work, running requests end";
    }
    if (before.draining && !after.draining) {
        return "gets work again, as much as it bears";
    }
    return "new requests use the new settings";
}

std::string effectOfService(const Service &before, const Service &after)
{
    Service same = after;
    same.backendServers = before.backendServers;
    return same == before ? "see its backend servers" : "new requests use the new settings";
}

void compareServices(const Configuration &current, const Configuration &target, std::vector<Change> &changes)
{
    const Comparison<Service> services {"service", [](const Service &) { return "callers may use it"; }, effectOfService,
                                        "new requests are refused, running ones end"};
    compareAll(current.services, target.services, services, changes);
    const Comparison<BackendServer> backends {"backend server",
                                              [](const BackendServer &) { return "starts cold, gets as much work as it bears"; },
                                              effectOfBackend, "gets no new work, running requests end"};
    const std::map<BackendServerHandle, BackendServer> none;
    for (const auto &[handle, service] : target.services) {
        const auto found = current.services.find(handle);
        compareAll(found == current.services.end() ? none : found->second.backendServers, service.backendServers, backends, changes);
    }
}

}

std::vector<Change> compare(const Configuration &current, const Configuration &target)
{
    std::vector<Change> changes;
    const Comparison<DataCentre> dataCentres {"data centre", [](const DataCentre &) { return "its daemons and backend servers take part"; },
                                              effectOfDataCentre, "its backend servers get no new work"};
    compareAll(current.dataCentres, target.dataCentres, dataCentres, changes);
    const auto shareChange = [](const Workspace &before, const Workspace &after) {
        return "share " + formatShare(before.share) + " becomes " + formatShare(after.share) + " for waiting and new requests";
    };
    const Comparison<Workspace> workspaces {
        "workspace", [](const Workspace &added) { return "its callers are served with share " + formatShare(added.share); }, shareChange,
        "new requests are refused, running ones end"};
    compareAll(current.workspaces, target.workspaces, workspaces, changes);
    compareServices(current, target, changes);
    return changes;
}

std::string_view nameOf(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Changed:
        return "changed";
    case ChangeKind::Removed:
        return "removed";
    }
    return "changed";
}

nlohmann::json toJson(const Plan &plan)
{
    nlohmann::json changes = nlohmann::json::array();
    for (const Change &change : plan.changes) {
        changes.push_back({{"kind", std::string(nameOf(change.kind))}, {"object", change.object}, {"effect", change.effect}});
    }
    return {{"basis", plan.basis}, {"operation", plan.operation}, {"changes", changes}, {"target", toJson(plan.target)}};
}

Plan parsePlan(const nlohmann::json &document)
{
    const CheckedJson root(document);
    root.allowOnly({"basis", "operation", "changes", "target"});
    Plan plan;
    plan.basis = static_cast<std::uint64_t>(root.member("basis").integer(0, std::numeric_limits<std::int64_t>::max()));
    plan.operation = root.member("operation").text();
    root.member("target");
    plan.target = parseConfiguration(document.at("target"));
    for (const CheckedJson &change : root.array("changes")) {
        const std::string kind = change.member("kind").text();
        const ChangeKind parsed = kind == "added" ? ChangeKind::Added : kind == "removed" ? ChangeKind::Removed : ChangeKind::Changed;
        plan.changes.push_back({parsed, change.member("object").text(), change.member("effect").text()});
    }
    return plan;
}

std::string describe(const Plan &plan)
{
    std::string text = "basis version " + std::to_string(plan.basis) + "\n";
    for (const Change &change : plan.changes) {
        text += "  " + std::string(nameOf(change.kind)) + " " + change.object + ": " + change.effect + "\n";
    }
    return text + (plan.changes.empty() ? "  nothing changes\n" : "");
}

}
