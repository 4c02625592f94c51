#pragma once

/** @file Proxy that routes callers' requests to backend servers. */

#include "connection/http/answer_writer.h"
#include "eelgrassnotch/verdict.h"
#include "process/directory/backend_directory.h"
#include "process/dispatch/active_daemons.h"
#include "process/dispatch/fair_share_tracker.h"
#include "process/dispatch/load_shedder.h"
#include "process/dispatch/part_quarantine.h"
#include "process/dispatch/placement.h"
#include "process/dispatch/prefix_value.h"
#include "process/dispatch/request_costs.h"
#include "process/dispatch/workspace_pacer.h"
#include "process/edge_settings.h"
#include "process/engine/output_lengths.h"
#include "process/handover/sender.h"
#include "process/proxy/answer_buffer_budget.h"
#include "process/proxy/backend_connection_pool.h"
#include "process/proxy/proxy_metrics.h"
#include "process/proxy_dialect.h"
#include "process/published.h"
#include "process/rollout/rollouts.h"
#include "process/streams/stream_versions.h"
#include "request/retry_budget.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace eelgrassnotch::process::proxy
{

class ProxiedRequest;

/** @brief The properties of a request that placement depends on. */
struct PlacementQuery {
    const version::Route *route = nullptr;
    const version::Service *service = nullptr; ///< Only its name is set when the configuration does not declare it.
    const version::RoutedWorkspace *workspace = nullptr; ///< Null on public routes.
    const request::Prompt *prompt = nullptr;
    std::size_t bodyBytes = 0;
    std::uint64_t requestHash = 0; ///< Hash of the request's id, for decisions that are spread over requests.
    const std::vector<directory::BackendServerPtr> *triedBackends = nullptr; ///< Excluded, as the request was attempted there.
    double expectedOutputTokens = 0; ///< For a model engine.
    std::optional<streams::VersionKey> streamVersion {}; ///< The only version at which the request's stream may go on.
    bool hasFailedToConnect = false; ///< Backend servers that have answered before are preferred, as entries may name none that is there.
};

/** @brief Result of choosing a backend server for a request. */
struct BackendChoice {
    directory::BackendServerPtr backend; ///< Chosen backend server; null when none is usable.
    directory::BackendServerPtr fetchSource; ///< Backend server to copy the cached shared prefix from; null for none.
    dispatch::Placement prediction; ///< Predicted delays at the chosen backend server.
    std::size_t candidateCount = 0; ///< Number of backend servers of the service.
    std::size_t usableCount = 0;
    std::optional<Time> earliestOpening; ///< If none is usable: the earliest end of a pause that a backend server asked for with
                                         ///< Retry-After, or of the pause that its announced limit sets.
    rollout::VersionChoice version; ///< The version that was drawn for the request.
    Duration meanQueueDelay {0}; ///< Mean of the candidates' delay over the usable engines: prefill of pending prompts, those of other
                                 ///< daemons with reduced weight.
};

/** @brief Counts of requests since the start of the daemon. */
struct RequestTotals {
    std::uint64_t received = 0;
    std::uint64_t shed = 0; ///< Refused by load shedding.

    bool operator==(const RequestTotals &) const = default;
};

/** @brief State that a daemon's requests share, and the decisions that depend on it. */
class Proxy
{
public:
    Proxy(boost::asio::io_context &ioContext, EdgeSettings edgeSettings, std::shared_ptr<const ProxyDialect> proxyDialect,
          ProxyMetrics &proxyMetrics);

    /** @brief Serves one request, and answers it on its session. @param readAt When the request had been received. */
    void handle(const connection::http::AnswerWriterPtr &session, connection::http::Request request, Time readAt);
    /** @brief Sets where requests go that load shedding refuses; null for nowhere. */
    void setHandover(handover::Sender *sender)
    {
        this->handoverSender = sender;
    }
    /** @brief Hands a request over to a neighbour. @returns false when none has room, and the request is unchanged. */
    bool handOver(const connection::http::AnswerWriterPtr &session, const connection::http::Request &request,
                  const handover::HandoverRequest &handoverRequest);
    /** @brief Answers a caller whose request was handed over without success. */
    void answerHandoverFailure(connection::http::AnswerWriter &session, const std::string &id, handover::HandoverFailure failure);
    /** @returns the answer to a request that this daemon refuses, which is counted. */
    connection::http::Answer makeRefusal(RefusalReason reason, Duration retryAfter, const std::string &detail, const std::string &id);

    /** @brief Applies a configuration if its version is newer than the current one. */
    void setRouteTable(version::RouteTablePtr table);
    /** @returns null before the first configuration. */
    version::RouteTablePtr routeTable() const;
    /** @brief Records that the current configuration was confirmed as the newest at this time. */
    void confirmConfiguration(Time asOf);
    /** @returns time since the configuration was last confirmed; the largest duration when it never was. */
    Duration configurationAge(Time now) const;
    /** @returns how long API keys are accepted after a confirmation of the configuration. */
    Duration keyLifetime() const;
    /** @returns whether the configuration was confirmed recently enough to accept its API keys. */
    bool areKeysFresh(Time now) const;

    /** @returns the daemons among which fleet-wide limits are divided. */
    dispatch::ActiveDaemons &daemons()
    {
        return this->activeDaemons;
    }
    /** @brief Applies new settings after a change of the settings file; what retry budgets hold is kept within their new limits. */
    void setSettings(const EdgeSettings &newSettings, Time now);
    /** @brief Records by how much the daemon's timers ran late; requests wait for as long before they are read. */
    void recordTimerLag(Duration lag, Time now);
    /** @returns the last recorded timer lag: how long callers' requests wait before they are read. */
    Duration timerLag() const
    {
        return this->currentTimerLag;
    }
    /** @returns whether this daemon is overloaded, or was within the last 3 s. */
    bool isOverloaded(Time now) const
    {
        return now < this->overloadedUntil;
    }
    /** @brief Decides on load shedding. @returns false when the workspace's next request must not be served here. */
    bool acceptsNextRequest(WorkspaceHandle workspace);
    /** @brief Counts a request that load shedding refused; its caller tries another daemon. */
    void recordShed()
    {
        ++this->requestTotals.shed;
    }
    const RequestTotals &totals() const
    {
        return this->requestTotals;
    }
    /** @returns the fraction of the requests that load shedding accepts, 0 to 1. */
    double acceptedFraction() const
    {
        return this->shedding.acceptedFraction();
    }
    void setStopping(Time since);
    /** @brief Answers all requests in progress, since the process is about to end. */
    void endRequests();
    void removeActive(const ProxiedRequest &request);
    bool isStopping() const
    {
        return this->stopping;
    }
    /** @returns time since the stop was requested; zero when the daemon is not stopping. */
    Duration timeSinceStop(Time now) const
    {
        return this->stopping ? now - this->stoppingSince : Duration(0);
    }

    /** @returns the usable backend server with the lowest predicted cost. */
    BackendChoice chooseBackend(const PlacementQuery &query, Time now);
    /** @brief Takes one retry from the service's retry budget. @returns false when the budget is used up. */
    bool consumeRetryBudget(const std::string &service, Time now);
    /** @returns the state of a service's retry budget, for logs and metrics. */
    RetryBudgetStats retryBudgetStats(const std::string &service) const;
    /** @returns the state of all retry budgets. */
    std::vector<RetryBudgetStats> retryBudgetStats() const;
    /** @brief Counts a request that is about to be placed; limits that backend servers announce are divided by this demand. */
    void recordServiceDemand(const std::string &service, Time now);
    /** @brief Records what an answer states about its backend server's rate limit. */
    void recordAnnouncedRate(directory::BackendServer &backend, std::optional<double> rate, Time now);
    /** @brief Takes over what another daemon knows of announced limits. */
    void mergeLimits(const std::vector<exchange::LimitStatement> &statements, Time now);
    /** @returns what to tell other daemons of announced limits. */
    std::vector<exchange::LimitStatement> limitStatements(Time now) const;
    /** @returns the limits in force, for metrics. */
    std::vector<BackendLimitStats> limitStats(Time now) const;
    /** @brief Counts a first attempt, which earns a part of a retry. */
    void countRequest(const std::string &service, Time now);
    /** @returns this daemon's load, as reported to the other daemons. */
    exchange::LoadSummary ownLoad(Time now) const;
    /** @brief Updates shares, costs and load shedding. @param others Sum of the other daemons' loads; nullopt when unknown. */
    void updateLoadFromOthers(const std::optional<exchange::LoadSummary> &others, Time now);

    /** @returns the age of the other daemons' load that decisions rest on; nullopt when it is unknown. */
    std::optional<Duration> loadAge(Time now) const;

    directory::BackendDirectory &backends()
    {
        return this->directory;
    }
    /** @returns the region of a data centre; the data centre's name when the settings assign none. */
    const std::string &regionOf(const std::string &dataCentre) const;
    dispatch::FairShareTracker &shares()
    {
        return this->fairShare;
    }
    dispatch::WorkspacePacer &pacer()
    {
        return this->workspacePacer;
    }
    /** @returns a part's id as requests write it. */
    static std::string formatPart(std::uint64_t part);
    dispatch::PartQuarantine &quarantine()
    {
        return this->partQuarantine;
    }
    /** @brief Tells the rollouts which versions the known backend servers have. */
    void updateVersions();
    /** @brief Adds a request that has been sent and isn't being answered yet: it is given up if a part of it is quarantined. */
    void addUnanswered(const std::shared_ptr<ProxiedRequest> &request);
    void removeUnanswered(const ProxiedRequest &request);
    /** @returns the orders to move services to another version. */
    rollout::Rollouts &rollouts()
    {
        return this->versionRollouts;
    }
    dispatch::RequestCosts &costs()
    {
        return this->requestCosts;
    }
    /** @returns what the prefixes of a service's prompts are worth. */
    dispatch::PrefixValue &prefixValueOf(const std::string &service)
    {
        return this->prefixValues[service];
    }
    /** @returns which versions began the streams that callers may take up. */
    streams::StreamVersions &streamVersions()
    {
        return this->versionsOfStreams;
    }
    /** @brief Sets how messages about streams reach other daemons; none are sent without. */
    void setStreamSender(streams::StreamVersions::Send sender)
    {
        this->sendToKeeper = std::move(sender);
    }
    engine::OutputLengths &outputLengths()
    {
        return this->lengthsOfOutput;
    }
    BackendConnectionPool &pool()
    {
        return this->backendPool;
    }
    AnswerBufferBudget &answerBufferBudget()
    {
        return this->bufferBudget;
    }
    const ProxyDialect &dialect() const
    {
        return *this->requestDialect;
    }
    const EdgeSettings &settings() const
    {
        return this->currentSettings;
    }
    ProxyMetrics &metrics()
    {
        return this->requestMetrics;
    }
    boost::asio::io_context &context()
    {
        return this->io;
    }

private:
    /** @param cacheUsedSince Prompt parts that were last used before are taken as evicted. */
    dispatch::Candidate makeCandidate(directory::BackendServer &backend, const PlacementQuery &query, Time cacheUsedSince, Time now) const;
    /** @returns what the prompt's shared prefix is worth; the defaults for a service without model engines. */
    dispatch::PrefixBelief prefixBelief(const PlacementQuery &query, std::size_t backendCount, Time now);
    /** @returns whether the backend server is available and in a region that is allowed to receive the request. */
    bool isEligible(directory::BackendServer &backend, const PlacementQuery &query, Time now) const;
    /** @returns whether the request's stream may go on there, where it has begun already. */
    static bool isOfStreamVersion(const directory::BackendServer &backend, const PlacementQuery &query)
    {
        return !query.streamVersion || backend.isCertainlyOf(*query.streamVersion);
    }
    /** @returns whether the homes of the request's route and workspace allow the backend server's region. */
    bool isAllowedRegion(directory::BackendServer &backend, const PlacementQuery &query) const;
    /** @returns whether the limits on cold starts and on connections, and an announced rate limit, allow another request. */
    bool hasCapacity(directory::BackendServer &backend, const PlacementQuery &query, Time now) const;
    /** @returns whether this daemon holds a part of the backend server's announced limit. */
    bool isLimitHolder(directory::BackendServer &backend, std::uint32_t holders) const;
    /** @brief Computes this daemon's parts of the announced limits. */
    void updateLimits(const std::optional<exchange::LoadSummary> &others, Time now);
    /** @returns requests per second that arrive here for a service. */
    double serviceDemand(const std::string &service, Time now) const;
    void logLimit(const directory::BackendServer &backend, const std::string &source, Time now) const;
    /** @returns how many requests this daemon may send to a cold backend server within the window of BackendServer::recentAttempts. */
    std::uint32_t coldRequestQuota(const directory::BackendServer &backend, const version::Service &service, Time now) const;
    /**
     * @returns the earliest time at which this daemon may send a request to a backend server that asked for a pause or announced a
     * limit; nullopt when none did.
     */
    std::optional<Time> findEarliestOpening(const PlacementQuery &query, const std::vector<directory::BackendServerPtr> &backends,
                                            Time now) const;
    request::RetryBudget &retryBudgetOf(const std::string &service, Time now);
    /** @returns how many retries to a service this daemon may save up. */
    double retryCapacity(const std::string &service, Time now) const;
    void updateRetryBudgets(Time now);
    /** @returns prompt tokens per second that all usable engines can prefill. */
    double engineThroughput(Time now) const;
    void updateShares(const std::optional<exchange::LoadSummary> &others, Time now);
    /** @returns the known backend servers with their versions, which live as long as the directory isn't changed. */
    std::vector<rollout::VersionedServer> versionedServers() const;
    /** @brief Judges the orders from this daemon's and the others' evidence. */
    void updateRollouts(const std::optional<exchange::LoadSummary> &others, Time now);
    void updateShedding(const std::optional<exchange::LoadSummary> &others, Time now);
    const directory::Locality &localityOf(directory::BackendServer &backend) const;
    void onBackendChange(const directory::BackendChange &change);
    void onQuarantineChange(const dispatch::QuarantineChange &change);
    /** @brief Gives up those requests that are not being answered yet and have a quarantined part, a few in each turn of the event loop. */
    void giveUpQuarantined(std::vector<std::shared_ptr<ProxiedRequest>> left);

    boost::asio::io_context &io;
    EdgeSettings currentSettings;
    std::shared_ptr<const ProxyDialect> requestDialect;
    ProxyMetrics &requestMetrics;
    Published<version::RouteTablePtr> table;
    directory::BackendDirectory directory;
    dispatch::FairShareTracker fairShare;
    dispatch::WorkspacePacer workspacePacer;
    dispatch::RequestCosts requestCosts;
    dispatch::PartQuarantine partQuarantine;
    using Requests = std::unordered_map<const ProxiedRequest *, std::weak_ptr<ProxiedRequest>>;
    static std::vector<std::shared_ptr<ProxiedRequest>> lock(const Requests &requests);
    Requests active;
    Requests unanswered;
    bool isGivingUp = false; ///< giveUpQuarantined() is about to be called.
    dispatch::LoadShedder shedding;
    RequestTotals requestTotals;
    handover::Sender *handoverSender = nullptr;
    BackendConnectionPool backendPool;
    AnswerBufferBudget bufferBudget;
    std::map<std::string, request::RetryBudget> retryBudgets;
    std::map<std::string, dispatch::DecayingSum> serviceDemands; ///< Requests by service.
    std::map<std::string, dispatch::PrefixValue> prefixValues; ///< By service.
    engine::OutputLengths lengthsOfOutput;
    dispatch::ActiveDaemons activeDaemons;
    streams::StreamVersions::Send sendToKeeper;
    streams::StreamVersions versionsOfStreams;
    rollout::Rollouts versionRollouts;
    Time nextRolloutUpdate {0};
    Time configurationConfirmedAt = Time::min();
    std::optional<Time> othersMeasuredAt; ///< When the oldest part of the other daemons' load was measured.
    Duration currentTimerLag {0};
    Time overloadedUntil {0};
    Time stoppingSince {0};
    bool stopping = false;
};

}
