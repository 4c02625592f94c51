/** @file Runs one scenario: a Lua script that builds a fleet, breaks it, and checks what must hold. */

#include "emulator/fleet.h"

#include <lua.hpp>
#include <tclap/CmdLine.h>

#include <iostream>
#include <map>

namespace
{

using namespace eelgrassnotch;
using emulator::Fleet;

/** State of the running scenario; Lua reaches it through an upvalue. */
struct Scenario {
    std::unique_ptr<Fleet> fleet;
    std::uint32_t seed = 1;
    Policy policy;
    int checks = 0;
    int failures = 0;
};

Scenario &scenarioOf(lua_State *lua)
{
    return *static_cast<Scenario *>(lua_touserdata(lua, lua_upvalueindex(1)));
}

Fleet &fleetOf(lua_State *lua)
{
    return *scenarioOf(lua).fleet;
}

double numberField(lua_State *lua, const char *name, double fallback)
{
    lua_getfield(lua, 1, name);
    const double value = lua_isnil(lua, -1) ? fallback : luaL_checknumber(lua, -1);
    lua_pop(lua, 1);
    return value;
}

std::string textField(lua_State *lua, const char *name, const std::string &fallback = "")
{
    lua_getfield(lua, 1, name);
    std::string value = lua_isnil(lua, -1) ? fallback : luaL_checkstring(lua, -1);
    lua_pop(lua, 1);
    return value;
}

bool flagField(lua_State *lua, const char *name, bool fallback)
{
    lua_getfield(lua, 1, name);
    const bool value = lua_isnil(lua, -1) ? fallback : lua_toboolean(lua, -1) != 0;
    lua_pop(lua, 1);
    return value;
}

std::vector<std::string> textList(lua_State *lua, int index)
{
    std::vector<std::string> values;
    if (lua_isstring(lua, index) != 0) {
        values.emplace_back(lua_tostring(lua, index));
        return values;
    }
    const int table = lua_absindex(lua, index);
    const auto length = static_cast<lua_Integer>(lua_rawlen(lua, table));
    for (lua_Integer position = 1; position <= length; ++position) {
        lua_rawgeti(lua, table, position);
        values.emplace_back(luaL_checkstring(lua, -1));
        lua_pop(lua, 1);
    }
    return values;
}

std::vector<std::string> textListField(lua_State *lua, const char *name)
{
    lua_getfield(lua, 1, name);
    std::vector<std::string> values;
    if (!lua_isnil(lua, -1)) {
        values = textList(lua, -1);
    }
    lua_pop(lua, 1);
    return values;
}

Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

emulator::RequestSpec requestFields(lua_State *lua)
{
    emulator::RequestSpec spec;
    spec.workspace = textField(lua, "workspace");
    spec.service = textField(lua, "service");
    spec.cost = static_cast<std::uint32_t>(numberField(lua, "cost", spec.cost));
    spec.hint = static_cast<std::uint32_t>(numberField(lua, "hint", 0));
    spec.deadline = seconds(numberField(lua, "deadline", 30));
    spec.idempotent = flagField(lua, "idempotent", true);
    spec.key = textField(lua, "key");
    return spec;
}

int dataCentre(lua_State *lua)
{
    fleetOf(lua).addDataCentre(textField(lua, "name"), textField(lua, "region", "north"), textListField(lua, "daemons"));
    return 0;
}

int workspace(lua_State *lua)
{
    fleetOf(lua).addWorkspace(textField(lua, "name"), numberField(lua, "share", 1));
    return 0;
}

int service(lua_State *lua)
{
    fleetOf(lua).addService(textField(lua, "name"), flagField(lua, "engine", true), textListField(lua, "nonIdempotentPaths"));
    return 0;
}

int backend(lua_State *lua)
{
    emulator::BackendTruth truth;
    truth.capacity = numberField(lua, "capacity", truth.capacity);
    truth.coldCapacity = numberField(lua, "cold", truth.capacity);
    truth.warmUp = seconds(numberField(lua, "warmUp", 0));
    truth.tokenTime = seconds(numberField(lua, "tokenTime", 0.02));
    truth.fallOver = numberField(lua, "fallOver", truth.fallOver);
    truth.cancels = flagField(lua, "cancels", true);
    fleetOf(lua).addBackend(textField(lua, "service"), textField(lua, "name"), textField(lua, "dataCentre"), truth);
    return 0;
}

int start(lua_State *lua)
{
    fleetOf(lua).start();
    return 0;
}

int publish(lua_State *lua)
{
    lua_pushinteger(lua, static_cast<lua_Integer>(fleetOf(lua).publishConfiguration()));
    return 1;
}

int publishVms(lua_State *lua)
{
    fleetOf(lua).publishVms();
    return 0;
}

int takeOut(lua_State *lua)
{
    fleetOf(lua).declarations.dataCentres.at(handleOf<DataCentreHandle>(luaL_checkstring(lua, 1))).takenOut = lua_toboolean(lua, 2) != 0;
    return publish(lua);
}

int drain(lua_State *lua)
{
    const auto handle = handleOf<BackendServerHandle>(luaL_checkstring(lua, 1));
    for (auto &[serviceHandle, declared] : fleetOf(lua).declarations.services) {
        if (const auto found = declared.backendServers.find(handle); found != declared.backendServers.end()) {
            found->second.draining = lua_toboolean(lua, 2) != 0;
        }
    }
    return publish(lua);
}

int run(lua_State *lua)
{
    fleetOf(lua).run(seconds(luaL_checknumber(lua, 1)));
    return 0;
}

int submit(lua_State *lua)
{
    const std::size_t index = fleetOf(lua).submit(textField(lua, "daemon"), requestFields(lua));
    lua_pushinteger(lua, static_cast<lua_Integer>(index));
    return 1;
}

int arrivals(lua_State *lua)
{
    emulator::ArrivalSpec spec;
    spec.request = requestFields(lua);
    spec.daemons = textListField(lua, "daemons");
    spec.rate = numberField(lua, "rate", 1);
    spec.lasting = seconds(numberField(lua, "lasting", 10));
    spec.costSpread = numberField(lua, "costSpread", 0);
    fleetOf(lua).addArrivals(spec);
    return 0;
}

template <void (Fleet::*Action)(const std::string &)>
int onDaemon(lua_State *lua)
{
    (fleetOf(lua).*Action)(luaL_checkstring(lua, 1));
    return 0;
}

int cut(lua_State *lua)
{
    fleetOf(lua).cut(textList(lua, 1), textList(lua, 2));
    return 0;
}

int heal(lua_State *lua)
{
    fleetOf(lua).heal();
    return 0;
}

int cutFromPlatform(lua_State *lua)
{
    for (const std::string &daemon : textList(lua, 1)) {
        fleetOf(lua).cutFromPlatform(daemon, lua_toboolean(lua, 2) != 0);
    }
    return 0;
}

int platform(lua_State *lua)
{
    emulator::Platform &objects = fleetOf(lua).platform();
    objects.outage = flagField(lua, "outage", objects.outage);
    objects.loseAnswers = static_cast<int>(numberField(lua, "loseAnswers", objects.loseAnswers));
    objects.delay = seconds(numberField(lua, "delay", std::chrono::duration<double>(objects.delay).count()));
    return 0;
}

int fault(lua_State *lua)
{
    emulator::Backend &target = fleetOf(lua).backend(textField(lua, "backend"));
    target.down = flagField(lua, "down", target.down);
    target.refuse = static_cast<int>(numberField(lua, "refuse", target.refuse));
    target.loseAnswers = static_cast<int>(numberField(lua, "loseAnswers", target.loseAnswers));
    target.crossAnswers = static_cast<int>(numberField(lua, "crossAnswers", target.crossAnswers));
    target.slowdown = numberField(lua, "slowdown", target.slowdown);
    if (flagField(lua, "restart", false)) {
        target.restart();
    }
    if (flagField(lua, "resetExcess", false)) {
        target.resetExcess();
    }
    return 0;
}

void setNumber(lua_State *lua, const char *name, double value)
{
    lua_pushnumber(lua, value);
    lua_setfield(lua, -2, name);
}

void setText(lua_State *lua, const char *name, std::string_view value)
{
    lua_pushlstring(lua, value.data(), value.size());
    lua_setfield(lua, -2, name);
}

void setFlag(lua_State *lua, const char *name, bool value)
{
    lua_pushboolean(lua, value ? 1 : 0);
    lua_setfield(lua, -2, name);
}

int outcome(lua_State *lua)
{
    Fleet &fleet = fleetOf(lua);
    const emulator::RequestRecord &record = fleet.records().at(static_cast<std::size_t>(luaL_checkinteger(lua, 1)));
    lua_newtable(lua);
    setFlag(lua, "answered", record.answered);
    setFlag(lua, "replayed", record.replayed);
    setFlag(lua, "lost", record.lostWithDaemon);
    setFlag(lua, "refused", record.refusal.has_value());
    setNumber(lua, "executions", fleet.executionsOf(record.name));
    setNumber(lua, "seconds", std::chrono::duration<double>(record.endedAt - record.submittedAt).count());
    if (record.refusal) {
        setText(lua, "reason", nameOf(record.refusal->reason));
        setText(lua, "verdict", nameOf(record.refusal->verdict));
        setNumber(lua, "retryAfter", std::chrono::duration<double>(record.refusal->retryAfter).count());
    }
    return 1;
}

int backendState(lua_State *lua)
{
    const emulator::Backend &target = fleetOf(lua).backend(luaL_checkstring(lua, 1));
    lua_newtable(lua);
    setNumber(lua, "active", static_cast<double>(target.active()));
    setNumber(lua, "bears", target.bears());
    setNumber(lua, "worstExcess", target.worstExcess());
    setNumber(lua, "restarts", target.restarts);
    setNumber(lua, "starts", static_cast<double>(target.starts));
    setNumber(lua, "completedCost", static_cast<double>(target.completedCost));
    return 1;
}

int servedTo(lua_State *lua)
{
    lua_pushinteger(lua, static_cast<lua_Integer>(fleetOf(lua).servedTo(luaL_checkstring(lua, 1))));
    return 1;
}

int daemonState(lua_State *lua)
{
    Fleet &fleet = fleetOf(lua);
    const std::string name = luaL_checkstring(lua, 1);
    lua_newtable(lua);
    setFlag(lua, "running", fleet.isRunning(name));
    setNumber(lua, "bytesSent", static_cast<double>(fleet.bytesSentBy(name)));
    if (!fleet.isRunning(name)) {
        return 1;
    }
    const process::Node &node = fleet.node(name);
    setNumber(lua, "version", static_cast<double>(node.configuration().version()));
    setNumber(lua, "members", static_cast<double>(node.membership().quorumMembers().size()));
    const process::RequestCounts counts = node.router().requestCounts();
    setNumber(lua, "requests", static_cast<double>(node.router().size()));
    setNumber(lua, "held", static_cast<double>(counts.pending));
    setNumber(lua, "waiting", static_cast<double>(counts.waiting));
    setNumber(lua, "running", static_cast<double>(counts.running));
    setNumber(lua, "ending", static_cast<double>(counts.aborting));
    double slots = 0;
    for (const auto &[handle, pool] : node.dispatchers()) {
        slots += static_cast<double>(pool->routerHandles().empty() ? 0 : pool->view().slots);
    }
    setNumber(lua, "slots", slots);
    lua_newtable(lua);
    for (const auto &[handle, pool] : node.dispatchers()) {
        const bool isActive = !pool->routerHandles().empty();
        if (isActive && fleet.declarations.services.contains(handle)) {
            setNumber(lua, fleet.declarations.services.at(handle).name.c_str(), static_cast<double>(pool->routerHandles().size()));
        }
    }
    lua_setfield(lua, -2, "dispatches");
    return 1;
}

int platformCalls(lua_State *lua)
{
    lua_pushinteger(lua, static_cast<lua_Integer>(fleetOf(lua).platform().calls));
    return 1;
}

int claimCount(lua_State *lua)
{
    lua_pushinteger(lua, static_cast<lua_Integer>(fleetOf(lua).platform().countWithPrefix("claims/")));
    return 1;
}

int sawRevert(lua_State *lua)
{
    lua_pushboolean(lua, fleetOf(lua).sawRevert() ? 1 : 0);
    return 1;
}

/** Counts over all records: answered, refused by reason, lost, open, and broken promises. */
int summary(lua_State *lua)
{
    Fleet &fleet = fleetOf(lua);
    std::map<std::string, int> counts;
    for (const emulator::RequestRecord &record : fleet.records()) {
        const int executions = fleet.executionsOf(record.name);
        if (record.refusal) {
            ++counts["refused"];
            ++counts["refused_" + std::string(nameOf(record.refusal->reason))];
            const bool isUnique = record.spec.key.empty();
            counts["falseNotRun"] += isUnique && record.refusal->verdict == Verdict::NotRun && executions > 0 ? 1 : 0;
        }
        counts["total"] += 1;
        counts["answered"] += record.answered ? 1 : 0;
        counts["lost"] += record.lostWithDaemon ? 1 : 0;
        counts["open"] += !record.answered && !record.refusal && !record.lostWithDaemon ? 1 : 0;
        counts["doubled"] += !record.spec.idempotent && executions > 1 ? 1 : 0;
        counts["answeredWithoutRun"] += record.answered && executions == 0 ? 1 : 0;
    }
    lua_newtable(lua);
    for (const char *name : {"total", "answered", "refused", "lost", "open", "doubled", "falseNotRun", "answeredWithoutRun"}) {
        setNumber(lua, name, counts[name]);
    }
    for (const auto &[name, count] : counts) {
        setNumber(lua, name.c_str(), count);
    }
    return 1;
}

int check(lua_State *lua)
{
    Scenario &scenario = scenarioOf(lua);
    ++scenario.checks;
    const bool holds = lua_toboolean(lua, 1) != 0;
    scenario.failures += holds ? 0 : 1;
    std::cout << (holds ? "  holds: " : "  FAILS: ") << luaL_checkstring(lua, 2) << "\n";
    return 0;
}

int seedOf(lua_State *lua)
{
    lua_pushinteger(lua, scenarioOf(lua).seed);
    return 1;
}

void expose(lua_State *lua, Scenario &scenario)
{
    const std::map<const char *, lua_CFunction> functions {
        {"dataCentre", dataCentre},
        {"workspace", workspace},
        {"service", service},
        {"backend", backend},
        {"start", start},
        {"publish", publish},
        {"publishVms", publishVms},
        {"takeOut", takeOut},
        {"drain", drain},
        {"run", run},
        {"submit", submit},
        {"arrivals", arrivals},
        {"kill", onDaemon<&Fleet::kill>},
        {"vanish", onDaemon<&Fleet::vanish>},
        {"restart", onDaemon<&Fleet::restart>},
        {"pause", onDaemon<&Fleet::pause>},
        {"resume", onDaemon<&Fleet::resume>},
        {"stop", onDaemon<&Fleet::stop>},
        {"cut", cut},
        {"heal", heal},
        {"cutFromPlatform", cutFromPlatform},
        {"platform", platform},
        {"fault", fault},
        {"outcome", outcome},
        {"backendState", backendState},
        {"daemonState", daemonState},
        {"servedTo", servedTo},
        {"platformCalls", platformCalls},
        {"claimCount", claimCount},
        {"sawRevert", sawRevert},
        {"summary", summary},
        {"check", check},
        {"seed", seedOf},
    };
    for (const auto &[name, function] : functions) {
        lua_pushlightuserdata(lua, &scenario);
        lua_pushcclosure(lua, function, 1);
        lua_setglobal(lua, name);
    }
}

void switchOff(Policy &policy, const std::string &mechanism)
{
    const std::map<std::string, bool Policy::*> switches {
        {"fair-queueing", &Policy::fairQueueing},
        {"takeover-inventory", &Policy::takeoverInventory},
        {"split-shares", &Policy::splitShares},
        {"promises", &Policy::promises},
        {"digest-charges", &Policy::digestCharges},
        {"adaptive-limit", &Policy::adaptiveLimit},
        {"claims", &Policy::claims},
        {"retry-rules", &Policy::retryRules},
        {"redirects", &Policy::redirects},
    };
    policy.*switches.at(mechanism) = false;
}

int runScript(const std::string &path, Scenario &scenario)
{
    const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(), &lua_close);
    luaL_openlibs(lua.get());
    expose(lua.get(), scenario);
    const std::string folder = path.substr(0, path.find_last_of('/') + 1);
    lua_pushstring(lua.get(), (folder + "?.lua").c_str());
    lua_setglobal(lua.get(), "scenarioPath");
    luaL_dostring(lua.get(), "package.path = scenarioPath");
    if (luaL_dofile(lua.get(), path.c_str()) != LUA_OK) {
        std::cout << "scenario error: " << lua_tostring(lua.get(), -1) << "\n";
        return 2;
    }
    std::cout << scenario.checks - scenario.failures << " checks passed, " << scenario.failures << " failed\n";
    return scenario.failures == 0 && scenario.checks > 0 ? 0 : 1;
}

}

int main(int argumentCount, char **arguments)
{
    try {
        TCLAP::CmdLine line("Runs a scenario. Exit codes: 0 all checks hold, 1 a check fails, 2 the scenario is broken.");
        TCLAP::ValueArg<int> seed("", "seed", "Seed of the arrivals", false, 1, "number", line);
        TCLAP::MultiArg<std::string> without("", "without", "Mechanism to leave out", false, "name", line);
        TCLAP::UnlabeledValueArg<std::string> path("scenario", "Lua file", true, "", "file", line);
        line.parse(argumentCount, arguments);
        Scenario scenario;
        scenario.seed = static_cast<std::uint32_t>(seed.getValue());
        for (const std::string &mechanism : without.getValue()) {
            switchOff(scenario.policy, mechanism);
        }
        scenario.fleet = std::make_unique<Fleet>(scenario.seed, scenario.policy);
        return runScript(path.getValue(), scenario);
    } catch (const std::exception &error) {
        std::cout << "scenario error: " << error.what() << "\n";
        return 2;
    }
}
