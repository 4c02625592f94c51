#include "emulator/fleet.h"

#include "connection/frame_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ctime>

namespace eelgrassnotch::emulator
{

using process::Node;

namespace
{

constexpr Duration tickPeriod = std::chrono::milliseconds(20);
constexpr Duration localDelay = std::chrono::microseconds(300);
constexpr Duration regionDelay = std::chrono::milliseconds(1);
constexpr Duration farDelay = std::chrono::milliseconds(6);
constexpr Duration backendDelay = std::chrono::microseconds(500);
constexpr std::uint16_t anyPort = 7000;

std::chrono::nanoseconds threadTime()
{
    timespec used {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

}

Fleet::Fleet(std::uint32_t seed, Policy policy)
    : policy(policy)
    , random(seed)
    , objects(this->events)
{
}

Fleet::~Fleet() = default;

void Fleet::addDataCentre(const std::string &name, const std::string &region, const std::vector<std::string> &daemonNames)
{
    this->declarations.dataCentres[handleOf<DataCentreHandle>(name)] = {name, region, false};
    for (const std::string &daemonName : daemonNames) {
        Daemon &added = this->daemons[handleOf<DaemonHandle>(daemonName)];
        added.identity = {daemonName, "127.0.0.1", anyPort, handleOf<DataCentreHandle>(name), 0};
        added.dataCentre = name;
    }
}

void Fleet::addWorkspace(const std::string &name, double share)
{
    this->declarations.workspaces[handleOf<WorkspaceHandle>(name)] = {name, share};
}

void Fleet::addService(const std::string &name, bool isEngine, const std::vector<std::string> &nonIdempotentPaths)
{
    version::Service service;
    service.name = name;
    service.kind = isEngine ? version::ServiceKind::Engine : version::ServiceKind::Plain;
    service.nonIdempotentPaths = nonIdempotentPaths;
    this->declarations.services[handleOf<ServiceHandle>(name)] = service;
}

void Fleet::addBackend(const std::string &service, const std::string &name, const std::string &dataCentre, BackendTruth truth)
{
    const auto handle = handleOf<BackendServerHandle>(name);
    version::BackendServer declared;
    declared.name = name;
    declared.address = "127.0.0.1";
    declared.port = anyPort;
    declared.dataCentre = handleOf<DataCentreHandle>(dataCentre);
    this->declarations.services.at(handleOf<ServiceHandle>(service)).backendServers[handle] = declared;
    this->truths[handle] = truth;
    this->backends[handle] = std::make_unique<Backend>(this->events, truth);
}

std::uint64_t Fleet::publishConfiguration()
{
    return this->objects.put(process::configurationKey, version::toJson(this->declarations).dump());
}

void Fleet::publishVms()
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[handle, entry] : this->daemons) {
        if (!entry.vanished) {
            list.push_back({{"name", entry.identity.name},
                            {"address", entry.identity.address},
                            {"port", entry.identity.port},
                            {"dataCentre", entry.dataCentre}});
        }
    }
    this->objects.put(process::vmListKey, list.dump());
}

void Fleet::start()
{
    this->publishVms();
    this->publishConfiguration();
    for (auto &[handle, entry] : this->daemons) {
        this->startDaemon(entry);
    }
}

void Fleet::startDaemon(Daemon &target)
{
    target.identity.incarnation = ++this->lastIncarnation;
    target.vanished = false;
    target.paused = false;
    target.stopping = false;
    target.lastVersion = 0;
    const std::uint64_t life = ++target.life;
    const auto run = [this, &target, life](std::function<void()> action) {
        if (target.life == life && target.node) {
            this->deliver(target, std::move(action));
        }
    };
    const bool wasCut = target.store && target.store->cutOff;
    if (target.store) {
        target.formerStores.push_back(std::move(target.store));
    }
    target.store = std::make_unique<PlatformClient>(this->objects, run);
    target.store->cutOff = wasCut;
    process::NodeHooks hooks;
    hooks.store = target.store.get();
    hooks.policy = this->policy;
    target.node = std::make_unique<Node>(target.identity, std::vector<process::DaemonIdentity> {}, hooks, this->events.now());
    this->tick(target, life);
}

void Fleet::tick(Daemon &target, std::uint64_t life)
{
    if (target.life != life || !target.node) {
        return;
    }
    if (!target.paused) {
        this->measured(target, [&] { target.node->advance(this->events.now()); });
        this->flush(target);
    }
    if (target.node && target.stopping && !target.paused && target.node->isDrained()) {
        target.node->announceLeave();
        this->flush(target);
        this->endDaemon(target, true);
        return;
    }
    this->events.after(tickPeriod, [this, &target, life] { this->tick(target, life); });
}

void Fleet::deliver(Daemon &target, std::function<void()> action)
{
    if (target.paused) {
        target.inbox.push_back(std::move(action));
        return;
    }
    this->measured(target, [&] {
        target.node->advance(this->events.now());
        action();
    });
    this->flush(target);
}

/** Runs the core's work, and adds its processor time to the daemon's. */
template <class Work>
void Fleet::measured(Daemon &target, Work &&work)
{
    if (!this->measuring) {
        work();
        return;
    }
    const auto before = threadTime();
    work();
    target.coreTime += threadTime() - before;
}

void Fleet::flush(Daemon &target)
{
    process::Outbox outbox;
    this->measured(target, [&] { outbox = target.node->takeOutbox(this->events.now()); });
    const std::uint64_t version = target.node->configuration().version();
    this->reverted = this->reverted || version < target.lastVersion;
    target.lastVersion = version;
    for (const process::OutgoingFrame &outgoing : outbox.frames) {
        this->send(target, outgoing);
    }
    for (const process::StartAttempt &order : outbox.starts) {
        this->startAttempt(target, order);
    }
    for (const process::RefuseRequest &entry : outbox.refusals) {
        this->refuseRequest(target, entry);
    }
    for (const process::ReplayRequest &replay : outbox.replays) {
        if (const auto found = target.open.find(replay.request); found != target.open.end()) {
            RequestRecord &record = this->requests[found->second];
            record.answered = true;
            record.replayed = true;
            record.endedAt = this->events.now();
            target.open.erase(found);
        }
    }
}

void Fleet::send(Daemon &from, const process::OutgoingFrame &outgoing)
{
    const DaemonHandle to = outgoing.to.handle();
    const auto found = this->daemons.find(to);
    if (found == this->daemons.end()) {
        return;
    }
    Daemon &target = found->second;
    const Duration delay = this->linkDelay(from, target);
    const std::uint64_t senderLife = from.life;
    if (this->isCut(from.identity.handle(), to) || target.vanished) {
        from.links.erase(to);
        return;
    }
    if (!target.node) {
        from.links.erase(to);
        this->events.after(delay, [this, &from, senderLife, to] {
            if (from.life == senderLife && from.node) {
                this->deliver(from, [this, &from, to] { from.node->onConnectionRefused(to, this->events.now()); });
            }
        });
        return;
    }
    if (from.links.insert(to).second) {
        this->events.after(delay, [this, &from, senderLife, to] {
            if (from.life == senderLife && from.node) {
                this->deliver(from, [this, &from, to] { from.node->onLinkUp(to, this->events.now()); });
            }
        });
        return;
    }
    const auto bytes = std::make_shared<std::vector<std::uint8_t>>();
    this->measured(from, [&] { *bytes = connection::encodeFrame(outgoing.frame); });
    from.bytesSent += bytes->size();
    ++from.framesSent;
    const process::DaemonIdentity sender = from.identity;
    const std::uint64_t receiverLife = target.life;
    this->events.after(delay, [this, sender, &target, receiverLife, bytes] {
        const bool isLost = target.life != receiverLife || !target.node || this->isCut(sender.handle(), target.identity.handle());
        if (isLost) {
            return;
        }
        this->deliver(target, [this, sender, &target, bytes] {
            const std::vector<std::uint8_t> body(bytes->begin() + connection::frameHeaderBytes, bytes->end());
            target.node->receive(sender, connection::decodeFrame(body), this->events.now());
        });
    });
}

void Fleet::startAttempt(Daemon &from, const process::StartAttempt &order)
{
    const auto open = from.open.find(order.request);
    if (open == from.open.end()) {
        return;
    }
    const RequestRecord &record = this->requests[open->second];
    const std::uint64_t life = from.life;
    const DaemonHandle handle = from.identity.handle();
    BackendRequest request;
    request.name = record.name;
    request.cost = record.spec.cost;
    request.ended = [this, handle, life, id = order.request](const request::AttemptOutcome &outcome) {
        this->events.after(backendDelay, [this, handle, life, id, outcome] { this->attemptEnded(handle, life, id, outcome); });
    };
    Backend &target = *this->backends.at(order.backend);
    from.attempts[order.request] = {order.backend, target.start(request)};
}

void Fleet::attemptEnded(DaemonHandle from, std::uint64_t life, std::uint64_t id, const request::AttemptOutcome &outcome)
{
    Daemon &target = this->daemons.at(from);
    if (target.life != life || !target.node) {
        return;
    }
    this->deliver(target, [this, &target, id, outcome] {
        target.attempts.erase(id);
        if (outcome.result == request::AttemptResult::Completed) {
            if (const auto open = target.open.find(id); open != target.open.end()) {
                RequestRecord &record = this->requests[open->second];
                record.answered = true;
                record.endedAt = this->events.now();
                target.open.erase(open);
            }
        }
        target.node->onAttemptEnded(id, outcome, this->events.now());
    });
}

void Fleet::refuseRequest(Daemon &from, const process::RefuseRequest &entry)
{
    const auto open = from.open.find(entry.request);
    if (open == from.open.end()) {
        return;
    }
    RequestRecord &record = this->requests[open->second];
    record.refusal = entry.refusal;
    record.endedAt = this->events.now();
    from.open.erase(open);
    if (const auto attempt = from.attempts.find(entry.request); attempt != from.attempts.end()) {
        const Attempt running = attempt->second;
        this->events.after(backendDelay, [this, running] { this->backends.at(running.backend)->cancel(running.id); });
    }
}

void Fleet::run(Duration lasting)
{
    this->events.runUntil(this->events.now() + lasting);
}

std::size_t Fleet::submit(const std::string &daemonName, const RequestSpec &spec)
{
    Daemon &target = this->daemon(daemonName);
    const std::size_t index = this->requests.size();
    RequestRecord record;
    record.spec = spec;
    record.daemon = daemonName;
    record.submittedAt = this->events.now();
    record.name = spec.key.empty() ? "request-" + std::to_string(index) : spec.workspace + "/" + spec.key;
    this->requests.push_back(record);
    if (!target.node || target.paused) {
        this->requests[index].lostWithDaemon = true;
        return index;
    }
    request::RequestInfo info;
    info.workspace = handleOf<WorkspaceHandle>(spec.workspace);
    info.service = handleOf<ServiceHandle>(spec.service);
    info.costHint = spec.hint;
    info.deadline = this->events.now() + spec.deadline;
    info.idempotent = spec.idempotent;
    info.claimName = spec.idempotent || spec.key.empty() ? "" : record.name;
    info.fingerprint = std::to_string(spec.cost);
    this->deliver(target, [this, &target, info, index] {
        const std::uint64_t id = target.node->submit(info, this->events.now());
        target.open[id] = index;
    });
    return index;
}

void Fleet::addArrivals(const ArrivalSpec &spec)
{
    this->arrivals.push_back(spec);
    this->nextArrival(this->arrivals.size() - 1, this->events.now() + spec.lasting);
}

void Fleet::nextArrival(std::size_t index, Time until)
{
    const double rate = this->arrivals[index].rate;
    const double seconds = std::exponential_distribution<double>(rate)(this->random);
    const auto pause = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    if (this->events.now() + pause >= until) {
        return;
    }
    this->events.after(pause, [this, index, until] {
        const ArrivalSpec &spec = this->arrivals[index];
        RequestSpec request = spec.request;
        const double spread = std::uniform_real_distribution<double>(-spec.costSpread, spec.costSpread)(this->random);
        request.cost = std::max(1u, static_cast<std::uint32_t>(request.cost * (1.0 + spread)));
        const std::size_t pick = std::uniform_int_distribution<std::size_t>(0, spec.daemons.size() - 1)(this->random);
        this->submit(spec.daemons[pick], request);
        this->nextArrival(index, until);
    });
}

void Fleet::endDaemon(Daemon &target, bool connectionsClose)
{
    for (const auto &[id, index] : target.open) {
        this->requests[index].lostWithDaemon = true;
        this->requests[index].endedAt = this->events.now();
    }
    target.open.clear();
    if (connectionsClose) {
        for (const auto &[id, attempt] : target.attempts) {
            this->backends.at(attempt.backend)->cancel(attempt.id);
        }
    }
    target.attempts.clear();
    target.links.clear();
    target.inbox.clear();
    target.node.reset();
    ++target.life;
    for (auto &[handle, other] : this->daemons) {
        other.links.erase(target.identity.handle());
    }
}

void Fleet::kill(const std::string &name)
{
    this->endDaemon(this->daemon(name), true);
}

void Fleet::vanish(const std::string &name)
{
    Daemon &target = this->daemon(name);
    target.vanished = true;
    this->endDaemon(target, false);
}

void Fleet::restart(const std::string &name)
{
    Daemon &target = this->daemon(name);
    if (target.node) {
        this->endDaemon(target, true);
    }
    this->startDaemon(target);
}

void Fleet::pause(const std::string &name)
{
    this->daemon(name).paused = true;
}

void Fleet::resume(const std::string &name)
{
    Daemon &target = this->daemon(name);
    target.paused = false;
    for (const auto &action : std::exchange(target.inbox, {})) {
        if (target.node) {
            this->deliver(target, action);
        }
    }
}

void Fleet::stop(const std::string &name)
{
    Daemon &target = this->daemon(name);
    target.stopping = true;
    this->deliver(target, [this, &target] { target.node->beginStop(this->events.now()); });
}

void Fleet::cut(const std::vector<std::string> &left, const std::vector<std::string> &right)
{
    for (const std::string &from : left) {
        for (const std::string &to : right) {
            const auto first = handleOf<DaemonHandle>(from);
            const auto second = handleOf<DaemonHandle>(to);
            this->cuts.insert({first, second});
            this->cuts.insert({second, first});
            this->daemons.at(first).links.erase(second);
            this->daemons.at(second).links.erase(first);
        }
    }
}

void Fleet::heal()
{
    this->cuts.clear();
}

void Fleet::cutFromPlatform(const std::string &name, bool isCutOff)
{
    this->daemon(name).store->cutOff = isCutOff;
}

bool Fleet::isCut(DaemonHandle left, DaemonHandle right) const
{
    return this->cuts.contains({left, right});
}

Duration Fleet::linkDelay(const Daemon &left, const Daemon &right) const
{
    if (left.dataCentre == right.dataCentre) {
        return localDelay;
    }
    const auto &from = this->declarations.dataCentres.at(left.identity.dataCentre);
    const auto &to = this->declarations.dataCentres.at(right.identity.dataCentre);
    return from.region == to.region ? regionDelay : farDelay;
}

Fleet::Daemon &Fleet::daemon(const std::string &name)
{
    return this->daemons.at(handleOf<DaemonHandle>(name));
}

Node &Fleet::node(const std::string &name)
{
    return *this->daemon(name).node;
}

bool Fleet::isRunning(const std::string &name) const
{
    return this->daemons.at(handleOf<DaemonHandle>(name)).node != nullptr;
}

std::vector<std::string> Fleet::daemonNames() const
{
    std::vector<std::string> names;
    for (const auto &[handle, entry] : this->daemons) {
        names.push_back(entry.identity.name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::uint64_t Fleet::servedTo(const std::string &workspace) const
{
    std::uint64_t served = 0;
    for (const RequestRecord &record : this->requests) {
        served += record.answered && !record.replayed && record.spec.workspace == workspace ? record.spec.cost : 0;
    }
    return served;
}

std::uint64_t Fleet::bytesSentBy(const std::string &name) const
{
    return this->daemons.at(handleOf<DaemonHandle>(name)).bytesSent;
}

Duration Fleet::coreTimeOf(const std::string &name) const
{
    return std::chrono::duration_cast<Duration>(this->daemons.at(handleOf<DaemonHandle>(name)).coreTime);
}

int Fleet::executionsOf(const std::string &name) const
{
    int executions = 0;
    for (const auto &[handle, entry] : this->backends) {
        const auto found = entry->executions.find(name);
        executions += found == entry->executions.end() ? 0 : found->second;
    }
    return executions;
}

}
