#include "process/proxy/proxy.h"

#include "process/clock.h"
#include "process/event_log.h"
#include "process/proxy/admission.h"
#include "process/proxy/proxied_request.h"
#include "process/rendezvous.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <numeric>
#include <sstream>
#include <utility>

namespace eelgrassnotch::process::proxy
{

using directory::Availability;
using directory::BackendServer;
using directory::BackendServerPtr;

namespace
{

using namespace std::chrono_literals;

/** Network round-trip times to backend servers. */
constexpr Duration roundTripInDataCentre = 500us;
constexpr Duration roundTripInRegion = 2ms;
constexpr Duration roundTripBetweenRegions = 17ms;
/** Keys are refused this long before the revocation limit, so that requests in flight end within it. */
constexpr Duration keyExpiryMargin = 700ms;
/** Applies when the revocation limit is below the margin: a confirmation stays valid for the duration of one store request. */
constexpr Duration minKeyLifetime = 200ms;
/** Timer lag at which a daemon counts as overloaded even though it sheds requests; the shortest latency targets are as long. */
constexpr Duration overloadLagThreshold = 120ms;
/** A daemon that sheds more than half of its requests counts as overloaded; it fails readiness probes and closes persistent connections. */
constexpr double overloadAcceptedFraction = 0.5;
/** Time for which a daemon stays overloaded: two failed probes, one second apart, and time for callers to reconnect. */
constexpr Duration overloadHoldTime = 3s;
/** Weight of one first event observed by this daemon, relative to the load that the other daemons report for the engine. */
constexpr double ownObservationWeight = 2.0;
/** Older load reports of backend servers are ignored. */
constexpr Duration maxReportAge = 400ms;
/** Fraction of an engine's KV cache assumed to hold cached prefixes; running requests use the rest. */
constexpr double usableCacheFraction = 0.8;
/** Fraction of a backend server's maximum connections that all daemons together may open. */
constexpr double connectionFraction = 0.9;
/** Fraction of the fleet's burst of retries that daemons may save up; the rest is for daemons that the others don't count yet, and for
 * retries that are still on the network. */
constexpr double retryBurstFraction = 0.8;
/** A stopping daemon may send requests until its grace period ends, and these requests still count for this long afterwards. */
constexpr Duration drainMargin = 2s;
/** Daemon lists are requested every 3 s and can be 4 s old, plus 1 s for the answer. */
constexpr Duration daemonListPropagationDelay = 8s;
/** Half-life of the demand by which announced limits are divided: long enough that single requests don't move the parts. */
constexpr Duration demandHalfLife = 1400ms;
/** Window of the limit on requests to cold backend servers, in seconds; the requests are counted over a slightly longer one. */
constexpr double coldWindowSeconds = 1.0;

/** Versions of backend servers are counted this often while no order is active. */
constexpr Duration idleRolloutPeriod = 500ms;
/** Requests whose parts are looked up in one turn of the event loop; each may have as many as fit into a header. */
constexpr std::size_t quarantineChecksPerTurn = 16;

bool isAllowedIn(const std::vector<std::string> &homeRegions, const std::string &region)
{
    return homeRegions.empty() || std::find(homeRegions.begin(), homeRegions.end(), region) != homeRegions.end();
}

}

Proxy::Proxy(boost::asio::io_context &ioContext, EdgeSettings edgeSettings, std::shared_ptr<const ProxyDialect> proxyDialect,
             ProxyMetrics &proxyMetrics)
    : io(ioContext)
    , currentSettings(std::move(edgeSettings))
    , requestDialect(std::move(proxyDialect))
    , requestMetrics(proxyMetrics)
    , directory(
          [this](const std::string &service) -> std::uint64_t {
              const auto routes = this->routeTable();
              const version::Service *declared = routes ? routes->service(service) : nullptr;
              return declared != nullptr && declared->engine
                  ? static_cast<std::uint64_t>(static_cast<double>(declared->engine->cacheTokens) * usableCacheFraction)
                  : 0;
          },
          [this](const directory::BackendChange &change) { this->onBackendChange(change); })
    , partQuarantine([this](const dispatch::QuarantineChange &change) { this->onQuarantineChange(change); },
                     handleOf<DaemonHandle>(this->currentSettings.name))
    , backendPool(ioContext)
    , activeDaemons(handleOf<DaemonHandle>(this->currentSettings.name),
                    {this->currentSettings.bounds.stopGrace + drainMargin, daemonListPropagationDelay})
    , versionsOfStreams(handleOf<DataCentreHandle>(this->currentSettings.dataCentre),
                        [this](const std::string &to, const streams::StreamMessage &message) {
                            if (this->sendToKeeper) {
                                this->sendToKeeper(to, message);
                            }
                        })
    , versionRollouts(handleOf<DaemonHandle>(this->currentSettings.name), this->currentSettings.bounds.rollout,
                      [](const std::string &event, const rollout::Rollouts::Fields &fields) { logEvent(event, fields); })
{
}

void Proxy::handle(const connection::http::AnswerWriterPtr &session, connection::http::Request request, Time readAt)
{
    const auto proxied = std::make_shared<ProxiedRequest>(*this, session, std::move(request), readAt);
    this->active[proxied.get()] = proxied;
    proxied->start();
}

bool Proxy::handOver(const connection::http::AnswerWriterPtr &session, const connection::http::Request &request,
                     const handover::HandoverRequest &handoverRequest)
{
    // A request that was handed to this daemon has no connection here, and isn't handed on.
    const auto caller = std::dynamic_pointer_cast<connection::http::ServerSession>(session);
    return caller && this->handoverSender != nullptr && !this->stopping && this->handoverSender->handOver(caller, request, handoverRequest);
}

void Proxy::answerHandoverFailure(connection::http::AnswerWriter &session, const std::string &id, handover::HandoverFailure failure)
{
    RefusalReason reason = RefusalReason::BackendFailed;
    std::string detail = "the daemon that served it was lost";
    if (failure == handover::HandoverFailure::Declined) {
        reason = RefusalReason::DaemonOverloaded;
        detail = "neither this daemon nor its neighbour can serve it now";
        this->recordShed();
    } else if (failure == handover::HandoverFailure::Expired) {
        reason = RefusalReason::DeadlineExpired;
        detail = "time limit reached at the daemon that served it";
    }
    const bool isDeclined = failure == handover::HandoverFailure::Declined;
    session.sendAnswer(this->makeRefusal(reason, isDeclined ? localRefusalRetryAfter : Duration(0), detail, id));
    logEvent("handover_failed",
             {{"request", id}, {"outcome", detail}, {"verdict", std::string(nameOf(isDeclined ? Verdict::NotRun : Verdict::MayHaveRun))}});
}

connection::http::Answer Proxy::makeRefusal(RefusalReason reason, Duration retryAfter, const std::string &detail, const std::string &id)
{
    namespace beast = boost::beast::http;
    connection::http::Answer answer(static_cast<beast::status>(static_cast<unsigned>(statusOf(reason))), 11);
    this->requestDialect->markLocalAnswer(answer, id);
    answer.set(beast::field::content_type, "text/plain");
    if (retryAfter > Duration(0)) {
        std::ostringstream seconds;
        seconds << std::fixed << std::setprecision(3) << std::chrono::duration<double>(retryAfter).count();
        answer.set(beast::field::retry_after, seconds.str());
    }
    answer.body() = std::string(nameOf(reason)) + ": " + detail + "\n";
    this->requestMetrics.countRefusal(reason);
    return answer;
}

void Proxy::addUnanswered(const std::shared_ptr<ProxiedRequest> &request)
{
    this->unanswered[request.get()] = request;
}

void Proxy::removeUnanswered(const ProxiedRequest &request)
{
    this->unanswered.erase(&request);
}

std::string Proxy::formatPart(std::uint64_t part)
{
    std::ostringstream text;
    text << std::hex << part;
    return text.str();
}

void Proxy::onBackendChange(const directory::BackendChange &change)
{
    logEvent("backend_changed", {{"backend", change.id}, {"availability", nameOf(change.availability)}, {"cause", change.cause}});
    if (change.isRestart) {
        for (const auto &request : lock(this->active)) {
            request->onBackendRestarted(change.id);
        }
    }
}

void Proxy::onQuarantineChange(const dispatch::QuarantineChange &change)
{
    logWarning(change.isQuarantined ? "part_quarantined" : "part_released",
               {{"part", formatPart(change.part)}, {"backends", std::to_string(change.backends)}, {"cause", change.cause}});
    // One pass over the requests serves all parts that are quarantined together.
    if (change.isQuarantined && !std::exchange(this->isGivingUp, true)) {
        boost::asio::post(this->io, [this] {
            this->isGivingUp = false;
            this->giveUpQuarantined(lock(this->unanswered));
        });
    }
}

void Proxy::giveUpQuarantined(std::vector<std::shared_ptr<ProxiedRequest>> left)
{
    for (std::size_t checked = 0; checked < quarantineChecksPerTurn && !left.empty(); ++checked) {
        left.back()->giveUpIfQuarantined();
        left.pop_back();
    }
    if (!left.empty()) {
        boost::asio::post(this->io, [this, left = std::move(left)]() mutable { this->giveUpQuarantined(std::move(left)); });
    }
}

std::vector<std::shared_ptr<ProxiedRequest>> Proxy::lock(const Requests &requests)
{
    std::vector<std::shared_ptr<ProxiedRequest>> locked;
    for (const auto &[address, weak] : requests) {
        if (auto request = weak.lock()) {
            locked.push_back(std::move(request));
        }
    }
    return locked;
}

void Proxy::removeActive(const ProxiedRequest &request)
{
    this->active.erase(&request);
}

void Proxy::endRequests()
{
    for (const auto &request : lock(this->active)) {
        request->endForStop();
    }
}

version::RouteTablePtr Proxy::routeTable() const
{
    return this->table.read([](const version::RouteTablePtr *current) { return current == nullptr ? nullptr : *current; });
}

void Proxy::setRouteTable(version::RouteTablePtr newTable)
{
    const auto current = this->routeTable();
    if (current && newTable->version() <= current->version()) {
        return;
    }
    logEvent("configuration_applied",
             {{"version", std::to_string(newTable->version())},
              {"before", current ? std::to_string(current->version()) : "none"},
              {"routes", std::to_string(newTable->routeCount())}});
    this->table.publish(std::make_unique<version::RouteTablePtr>(std::move(newTable)));
}

void Proxy::confirmConfiguration(Time asOf)
{
    this->configurationConfirmedAt = std::max(this->configurationConfirmedAt, asOf);
}

Duration Proxy::configurationAge(Time now) const
{
    return this->configurationConfirmedAt == Time::min() ? Duration::max() : now - this->configurationConfirmedAt;
}

bool Proxy::areKeysFresh(Time now) const
{
    return this->configurationAge(now) < this->keyLifetime();
}

Duration Proxy::keyLifetime() const
{
    return std::max(this->currentSettings.bounds.keyRevocation - keyExpiryMargin, minKeyLifetime);
}

void Proxy::setSettings(const EdgeSettings &newSettings, Time now)
{
    this->currentSettings = newSettings;
    for (auto &[service, budget] : this->retryBudgets) {
        budget.setRatio(newSettings.bounds.retryRatio);
    }
    this->updateRetryBudgets(now);
}

void Proxy::recordTimerLag(Duration lag, Time now)
{
    this->currentTimerLag = lag;
    const double acceptedFraction = this->shedding.acceptedFraction();
    const bool handsOver = this->handoverSender != nullptr && this->handoverSender->hasRoom();
    if (lag < overloadLagThreshold && (acceptedFraction >= overloadAcceptedFraction || handsOver)) {
        return;
    }
    if (!this->isOverloaded(now)) {
        const auto lagMs = std::chrono::duration_cast<std::chrono::milliseconds>(lag).count();
        logEvent("overloaded", {{"lag_ms", std::to_string(lagMs)}, {"taken_part", std::to_string(acceptedFraction)}});
    }
    this->overloadedUntil = now + overloadHoldTime;
}

bool Proxy::acceptsNextRequest(WorkspaceHandle workspace)
{
    ++this->requestTotals.received;
    return this->shedding.acceptNext(workspace);
}

void Proxy::setStopping(Time since)
{
    this->stopping = true;
    this->stoppingSince = since;
}

const std::string &Proxy::regionOf(const std::string &dataCentre) const
{
    const auto found = this->currentSettings.regions.find(dataCentre);
    return found == this->currentSettings.regions.end() ? dataCentre : found->second;
}

const directory::Locality &Proxy::localityOf(BackendServer &backend) const
{
    if (!backend.locality) {
        directory::Locality locality;
        locality.region = this->regionOf(backend.record.dataCentre);
        locality.isInDataCentre = backend.record.dataCentre == this->currentSettings.dataCentre;
        locality.isInRegion = locality.region == this->regionOf(this->currentSettings.dataCentre);
        locality.roundTrip
            = locality.isInDataCentre ? roundTripInDataCentre : (locality.isInRegion ? roundTripInRegion : roundTripBetweenRegions);
        backend.locality = std::move(locality);
    }
    return *backend.locality;
}

std::uint32_t Proxy::coldRequestQuota(const BackendServer &backend, const version::Service &service, Time now) const
{
    const double bound
        = service.coldRate * coldWindowSeconds * this->currentSettings.bounds.coldOvershoot + this->currentSettings.bounds.coldSlack;
    return this->activeDaemons.quota(static_cast<std::uint32_t>(std::floor(bound)), backend.handle, now);
}

bool Proxy::isEligible(BackendServer &backend, const PlacementQuery &query, Time now) const
{
    if (backend.availability != Availability::Ready && backend.availability != Availability::Unconfirmed) {
        return false;
    }
    if (this->directory.isTakenOut(backend.record.dataCentre) || !backend.isRequestAllowed(now)) {
        return false;
    }
    return this->isAllowedRegion(backend, query);
}

bool Proxy::isAllowedRegion(BackendServer &backend, const PlacementQuery &query) const
{
    const std::string &region = this->localityOf(backend).region;
    return isAllowedIn(query.route->homeRegions, region)
        && (query.workspace == nullptr || isAllowedIn(query.workspace->homeRegions, region));
}

bool Proxy::hasCapacity(BackendServer &backend, const PlacementQuery &query, Time now) const
{
    if (query.service->coldRate > 0 && backend.isCold(now)
        && backend.recentAttempts.count(now) >= this->coldRequestQuota(backend, *query.service, now)) {
        return false;
    }
    if (backend.announcedLimit.delay(now) > Duration(0)) {
        ++backend.heldBack;
        return false;
    }
    if (query.service->maxConnections > 0 && backend.idleConnections.empty()) {
        const double connectionLimit = this->activeDaemons.equalPart(connectionFraction * query.service->maxConnections);
        if (static_cast<double>(backend.openConnections) >= std::max(1.0, std::floor(connectionLimit))) {
            return false;
        }
    }
    return true;
}

dispatch::PrefixBelief Proxy::prefixBelief(const PlacementQuery &query, std::size_t backendCount, Time now)
{
    const std::uint32_t shared = query.prompt->sharedTokens();
    if (!query.service->engine || shared == 0) {
        return {};
    }
    const dispatch::PrefixFleet fleet {static_cast<double>(this->activeDaemons.count()), static_cast<double>(backendCount),
                                       static_cast<double>(query.service->engine->cacheTokens)};
    return this->prefixValueOf(query.service->name)
        .belief(query.prompt->sharedPrefixId(), shared, query.prompt->tokens - std::min(shared, query.prompt->tokens), fleet, now);
}

dispatch::Candidate Proxy::makeCandidate(BackendServer &backend, const PlacementQuery &query, Time cacheUsedSince, Time now) const
{
    dispatch::Candidate candidate;
    candidate.backend = backend.handle;
    const directory::Locality &locality = this->localityOf(backend);
    candidate.isInDataCentre = locality.isInDataCentre;
    candidate.isInRegion = locality.isInRegion;
    candidate.roundTrip = locality.roundTrip;
    candidate.failureRate = backend.failureRate.value(now);
    if (query.service->engine) {
        if (this->currentSettings.isEngineMemoryBounded && query.service->engine->cacheTokens > 0) {
            candidate.freeMemoryTokens = backend.memory.free(static_cast<double>(query.service->engine->cacheTokens));
        }
        const Duration ownPrefillDelay = dispatch::prefillTime(backend.pendingPrefillTokens);
        const Duration prefillQueueDelay = backend.queueDelay(now) + ownPrefillDelay;
        const Duration slotWait = backend.slotDelay(now);
        candidate.queueDelay = std::max(prefillQueueDelay, slotWait);
        candidate.ownPrefillDelay = slotWait > prefillQueueDelay ? Duration(0) : ownPrefillDelay;
        // Other daemons' load is known with a delay, so it counts only where this daemon has few observations of the engine.
        const double othersLoadWeight = 1.0 / (1.0 + ownObservationWeight * backend.firstEventCount.value(now));
        candidate.queueDelayFromOthers
            = dispatch::prefillTime(backend.loadFromOthers.pendingPrefillTokens * othersLoadWeight) + ownPrefillDelay;
        candidate.cachedTokens = backend.prefixCache.cachedTokens(*query.prompt, cacheUsedSince);
        return candidate;
    }
    const bool hasReport = backend.loadReport && now - backend.loadReport->receivedAt < maxReportAge;
    const std::uint32_t reported = hasReport ? backend.loadReport->running + backend.loadReport->waiting : 0;
    const double load = std::max(backend.inFlight + backend.loadFromOthers.inFlight, reported);
    const double slots = std::max<std::uint32_t>(backend.record.slots, 1);
    const double serviceRounds = 1.0 + std::max(0.0, load + 1.0 - slots) / slots + load / slots;
    candidate.queueDelay
        = Duration(static_cast<std::int64_t>(static_cast<double>(backend.expectedServiceTime(now).count()) * serviceRounds));
    return candidate;
}

std::optional<Time> Proxy::findEarliestOpening(const PlacementQuery &query, const std::vector<BackendServerPtr> &backends, Time now) const
{
    std::optional<Time> earliest;
    for (const BackendServerPtr &backend : backends) {
        const Time opening = std::max(backend->backoffUntil(), now + backend->announcedLimit.delay(now));
        const bool isPaused = backend->availability == Availability::Ready && opening > now
            && !this->directory.isTakenOut(backend->record.dataCentre) && this->isAllowedRegion(*backend, query)
            && isOfStreamVersion(*backend, query);
        if (isPaused) {
            earliest = std::min(earliest.value_or(opening), opening);
        }
    }
    return earliest;
}

BackendChoice Proxy::chooseBackend(const PlacementQuery &query, Time now)
{
    BackendChoice choice;
    const auto &backends = this->directory.ofService(query.service->name);
    std::vector<dispatch::Candidate> candidates;
    candidates.reserve(backends.size());
    const dispatch::PrefixBelief belief = this->prefixBelief(query, backends.size(), now);
    choice.version = this->versionRollouts.choose(query.service->name, query.requestHash, !query.triedBackends->empty());
    std::vector<rollout::VersionAccess> access;
    access.reserve(backends.size());
    bool isPreferredUsable = false;
    bool isProvenUsable = false;
    for (const BackendServerPtr &backend : backends) {
        dispatch::Candidate candidate = this->makeCandidate(*backend, query, belief.usedSince, now);
        const bool isTried = std::find(query.triedBackends->begin(), query.triedBackends->end(), backend) != query.triedBackends->end();
        access.push_back(this->versionRollouts.access(query.service->name, backend->record.version, choice.version));
        candidate.isEligible = !isTried && isOfStreamVersion(*backend, query) && access.back() != rollout::VersionAccess::Forbidden
            && this->isEligible(*backend, query, now);
        candidate.isUsable = candidate.isEligible && this->hasCapacity(*backend, query, now);
        isPreferredUsable = isPreferredUsable || (candidate.isUsable && access.back() == rollout::VersionAccess::Preferred);
        isProvenUsable = isProvenUsable || (candidate.isUsable && backend->hasAnswered());
        candidates.push_back(candidate);
    }
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        dispatch::Candidate &candidate = candidates[index];
        if (isPreferredUsable && access[index] == rollout::VersionAccess::Fallback) {
            candidate.isEligible = false;
            candidate.isUsable = false;
        }
        if (query.hasFailedToConnect && isProvenUsable && !backends[index]->hasAnswered()) {
            candidate.isUsable = false;
        }
        choice.usableCount += candidate.isUsable ? 1 : 0;
        choice.meanQueueDelay += candidate.isUsable ? candidate.queueDelayFromOthers : Duration(0);
    }
    if (choice.usableCount == 0) {
        choice.earliestOpening = this->findEarliestOpening(query, backends, now);
    }
    choice.candidateCount = candidates.size();
    choice.meanQueueDelay /= static_cast<std::int64_t>(std::max<std::size_t>(choice.usableCount, 1));
    const dispatch::PlacementRequest request {query.prompt->tokens,
                                              query.prompt->sharedTokens(),
                                              query.prompt->sharedPrefixId(),
                                              query.bodyBytes,
                                              query.requestHash,
                                              static_cast<std::uint32_t>(query.expectedOutputTokens),
                                              belief.homeCount};
    if (const auto placement = dispatch::place(request, candidates)) {
        choice.backend = backends[placement->index];
        choice.prediction = *placement;
        choice.fetchSource = placement->fetchSource ? backends[*placement->fetchSource] : nullptr;
    }
    return choice;
}

double Proxy::retryCapacity(const std::string &service, Time now) const
{
    return this->activeDaemons.part(this->currentSettings.bounds.retryBurst * retryBurstFraction, hashName(service), now);
}

request::RetryBudget &Proxy::retryBudgetOf(const std::string &service, Time now)
{
    if (const auto known = this->retryBudgets.find(service); known != this->retryBudgets.end()) {
        return known->second;
    }
    const request::RetryBudget budget(this->currentSettings.bounds.retryRatio, this->retryCapacity(service, now));
    return this->retryBudgets.emplace(service, budget).first->second;
}

void Proxy::updateRetryBudgets(Time now)
{
    for (auto &[service, budget] : this->retryBudgets) {
        budget.setCapacity(this->retryCapacity(service, now));
    }
}

bool Proxy::consumeRetryBudget(const std::string &service, Time now)
{
    return this->retryBudgetOf(service, now).spend();
}

RetryBudgetStats Proxy::retryBudgetStats(const std::string &service) const
{
    const auto found = this->retryBudgets.find(service);
    if (found == this->retryBudgets.end()) {
        return {service, 0, 0, this->activeDaemons.count()};
    }
    return {service, found->second.left(), found->second.mostLeft(), this->activeDaemons.count()};
}

std::vector<RetryBudgetStats> Proxy::retryBudgetStats() const
{
    std::vector<RetryBudgetStats> stats;
    for (const auto &[service, budget] : this->retryBudgets) {
        stats.push_back(this->retryBudgetStats(service));
    }
    return stats;
}

void Proxy::countRequest(const std::string &service, Time now)
{
    this->retryBudgetOf(service, now).countRequest();
}

void Proxy::recordServiceDemand(const std::string &service, Time now)
{
    this->serviceDemands.try_emplace(service, demandHalfLife).first->second.add(1.0, now);
}

double Proxy::serviceDemand(const std::string &service, Time now) const
{
    const auto found = this->serviceDemands.find(service);
    return found == this->serviceDemands.end() ? 0 : found->second.rate(now);
}

void Proxy::recordAnnouncedRate(BackendServer &backend, std::optional<double> rate, Time now)
{
    if (backend.announcedLimit.recordAnswer(rate, now)) {
        this->logLimit(backend, "answer", now);
    }
}

void Proxy::mergeLimits(const std::vector<exchange::LimitStatement> &statements, Time now)
{
    for (const exchange::LimitStatement &statement : statements) {
        const BackendServerPtr backend = this->directory.findIncarnation(statement.incarnation);
        if (backend && backend->announcedLimit.merge(statement, now)) {
            this->logLimit(*backend, "daemon", now);
        }
    }
}

void Proxy::logLimit(const BackendServer &backend, const std::string &source, Time now) const
{
    const auto statement = backend.announcedLimit.statement(backend.incarnation, now);
    logEvent("backend_limit_changed",
             {{"backend", backend.record.id},
              {"requests_per_s", statement && !statement->hasEnded ? std::to_string(statement->rate) : "none"},
              {"source", source},
              {"own_part", std::to_string(backend.announcedLimit.ownRate())}});
}

std::vector<exchange::LimitStatement> Proxy::limitStatements(Time now) const
{
    std::vector<exchange::LimitStatement> statements;
    this->directory.forEach([&statements, now](const BackendServerPtr &backend) {
        if (const auto statement = backend->announcedLimit.statement(backend->incarnation, now)) {
            statements.push_back(*statement);
        }
    });
    return statements;
}

std::vector<BackendLimitStats> Proxy::limitStats(Time now) const
{
    std::vector<BackendLimitStats> stats;
    this->directory.forEach([&stats, now](const BackendServerPtr &backend) {
        const auto statement = backend->announcedLimit.statement(backend->incarnation, now);
        if (const auto rate = backend->announcedLimit.fleetRate(now); rate && statement) {
            stats.push_back({backend->record.id, *rate, backend->announcedLimit.ownRate(), statement->age, backend->heldBack});
        }
    });
    return stats;
}

bool Proxy::isLimitHolder(BackendServer &backend, std::uint32_t holders) const
{
    const std::uint64_t revision = this->activeDaemons.revision();
    if (!backend.limitHolding || backend.limitHolding->daemonsRevision != revision || backend.limitHolding->holders != holders) {
        const bool isHolder
            = isChosen(backend.handle, handleOf<DaemonHandle>(this->currentSettings.name), this->activeDaemons.handles(), holders);
        backend.limitHolding = directory::LimitHolding {revision, holders, isHolder};
    }
    return backend.limitHolding->isHolder;
}

void Proxy::updateLimits(const std::optional<exchange::LoadSummary> &others, Time now)
{
    dispatch::LimitDivision division;
    division.reportingFraction = this->activeDaemons.reportingFraction(others ? others->daemons + 1 : 1);
    division.isKnownToOthers = this->activeDaemons.isKnownToOthers(now);
    std::unordered_map<std::uint32_t, double> demandOfOthers;
    if (others) {
        for (const exchange::LimitDemand &load : others->limitDemands) {
            demandOfOthers[load.incarnation] = load.demand;
        }
    }
    this->directory.forEach([&](const BackendServerPtr &backend) {
        const auto fleetRate = backend->announcedLimit.fleetRate(now);
        if (!fleetRate) {
            return;
        }
        division.fleetRate = *fleetRate;
        division.holders = dispatch::limitHolders(*fleetRate, this->activeDaemons.count());
        division.isHolder = this->isLimitHolder(*backend, division.holders);
        division.ownDemand = this->serviceDemand(backend->record.service, now);
        division.demandOfOthers = others ? std::optional(demandOfOthers[backend->incarnation]) : std::nullopt;
        backend->announcedLimit.setOwnRate(dispatch::ownPart(division), now);
    });
}

std::optional<Duration> Proxy::loadAge(Time now) const
{
    return this->othersMeasuredAt ? std::optional<Duration>(now - *this->othersMeasuredAt) : std::nullopt;
}

exchange::LoadSummary Proxy::ownLoad(Time now) const
{
    exchange::LoadSummary load;
    load.daemons = 1;
    load.workspaces = this->fairShare.localLoad(now);
    this->directory.forEach([this, &load, now](const BackendServerPtr &backend) {
        if (backend->inFlight > 0 || backend->pendingPrefillTokens > 0) {
            load.backends.push_back({backend->handle, backend->pendingPrefillTokens, backend->inFlight, backend->memory.ownCommitted()});
        }
        if (backend->announcedLimit.fleetRate(now) && backend->limitHolding && backend->limitHolding->isHolder) {
            load.limitDemands.push_back({backend->incarnation, this->serviceDemand(backend->record.service, now)});
        }
    });
    this->versionRollouts.addTo(load, now);
    std::sort(load.limitDemands.begin(), load.limitDemands.end(),
              [](const auto &left, const auto &right) { return left.incarnation < right.incarnation; });
    std::sort(load.backends.begin(), load.backends.end(), [](const auto &left, const auto &right) { return left.backend < right.backend; });
    return load;
}

void Proxy::updateShedding(const std::optional<exchange::LoadSummary> &others, Time now)
{
    const auto totalDemand = [](const std::vector<exchange::WorkspaceLoad> &workspaces) {
        return std::accumulate(workspaces.begin(), workspaces.end(), 0.0,
                               [](double sum, const exchange::WorkspaceLoad &load) { return sum + load.demand; });
    };
    const double ownDemand = totalDemand(this->fairShare.localLoad(now));
    const double meanDemand = others ? (ownDemand + totalDemand(others->workspaces)) / (others->daemons + 1.0) : 0;
    const bool wasShedding = this->shedding.acceptedFraction() < 1.0;
    this->shedding.update({this->currentTimerLag, ownDemand, meanDemand});
    if (const bool isShedding = this->shedding.acceptedFraction() < 1.0; isShedding != wasShedding) {
        logEvent("shedding_changed",
                 {{"sheds", isShedding ? "true" : "false"},
                  {"lag_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(this->currentTimerLag).count())},
                  {"asked", std::to_string(std::llround(ownDemand))},
                  {"mean_asked", std::to_string(std::llround(meanDemand))}});
    }
}

double Proxy::engineThroughput(Time now) const
{
    constexpr double millisecondsPerSecond = 1000;
    const double perEngine = dispatch::prefillTokensPerMs * millisecondsPerSecond;
    const auto routes = this->routeTable();
    const double meanCost = this->requestCosts.meanCost(now);
    double throughput = 0;
    this->directory.forEach([this, &routes, &throughput, perEngine, meanCost, now](const BackendServerPtr &backend) {
        const version::Service *service = routes ? routes->service(backend->record.service) : nullptr;
        const bool isUsable = backend->availability == Availability::Ready || backend->availability == Availability::Unconfirmed;
        if (isUsable && service != nullptr && service->engine && !this->directory.isTakenOut(backend->record.dataCentre)) {
            const auto limit = backend->announcedLimit.fleetRate(now);
            throughput += limit && meanCost > 0 ? std::min(perEngine, *limit * meanCost) : perEngine;
        }
    });
    return throughput;
}

void Proxy::updateShares(const std::optional<exchange::LoadSummary> &others, Time now)
{
    const auto routes = this->routeTable();
    const exchange::LoadSummary otherLoad = others.value_or(exchange::LoadSummary());
    dispatch::FleetState state {routes ? routes->tokensPerSecond() : 0, this->engineThroughput(now)};
    for (const auto &load : {otherLoad, this->ownLoad(now)}) {
        state.pendingTokens = std::accumulate(load.backends.begin(), load.backends.end(), state.pendingTokens,
                                              [](double sum, const auto &backend) { return sum + backend.pendingPrefillTokens; });
    }
    const double meanCost = this->requestCosts.meanCost(now);
    this->fairShare.update(otherLoad, state, meanCost, now);
    if (others) {
        this->workspacePacer.setRates(this->fairShare.admissionRates(), meanCost, now);
    }
    this->workspacePacer.removeExpired(now);
}

std::vector<rollout::VersionedServer> Proxy::versionedServers() const
{
    std::vector<rollout::VersionedServer> servers;
    servers.reserve(this->directory.size());
    this->directory.forEach([&servers](const BackendServerPtr &backend) {
        const bool isUsable = backend->availability == Availability::Ready || backend->availability == Availability::Unconfirmed;
        servers.push_back({backend->record.service, backend->record.version, backend->inFlight, isUsable});
    });
    return servers;
}

void Proxy::updateVersions()
{
    if (this->versionRollouts.isEnabled()) {
        this->versionRollouts.setServers(this->versionedServers());
    }
}

void Proxy::updateRollouts(const std::optional<exchange::LoadSummary> &others, Time now)
{
    if (!this->versionRollouts.isEnabled() || (!this->versionRollouts.hasActive() && now < this->nextRolloutUpdate)) {
        return;
    }
    this->nextRolloutUpdate = now + idleRolloutPeriod;
    this->versionRollouts.update(this->versionedServers(), this->activeDaemons, others, now);
}

void Proxy::updateLoadFromOthers(const std::optional<exchange::LoadSummary> &others, Time now)
{
    this->activeDaemons.recordReportingDaemons(others ? others->daemons + 1 : 1, now);
    const exchange::LoadSummary otherLoad = others.value_or(exchange::LoadSummary());
    this->othersMeasuredAt = others ? std::optional<Time>(now - others->age) : std::nullopt;
    if (others) {
        this->requestMetrics.observeLoadAge(others->age);
    }
    this->updateShares(others, now);
    this->requestCosts.removeUnusedRoutes(now);
    this->lengthsOfOutput.removeUnusedRoutes(now);
    this->updateLimits(others, now);
    this->updateRetryBudgets(now);
    this->updateShedding(others, now);
    this->updateRollouts(others, now);
    std::map<std::uint32_t, exchange::BackendLoad> loadsFromOthers;
    for (const exchange::BackendLoad &load : otherLoad.backends) {
        loadsFromOthers[load.backend] = load;
    }
    this->directory.forEach([&loadsFromOthers](const BackendServerPtr &backend) {
        const auto found = loadsFromOthers.find(backend->handle);
        backend->loadFromOthers = found == loadsFromOthers.end() ? exchange::BackendLoad() : found->second;
        backend->memory.setFromOthers(backend->loadFromOthers.committedTokens);
    });
}

}
