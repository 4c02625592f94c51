#pragma once

/** @file Routes callers' requests to backend servers. */

#include "connection/http/server_session.h"
#include "process/directory/backend_directory.h"
#include "process/dispatch/active_daemons.h"
#include "process/dispatch/fair_share_tracker.h"
#include "process/dispatch/load_shedder.h"
#include "process/dispatch/placement.h"
#include "process/dispatch/request_costs.h"
#include "process/dispatch/retry_allowance.h"
#include "process/edge_settings.h"
#include "process/proxy/answer_buffer_budget.h"
#include "process/proxy/backend_connection_pool.h"
#include "process/proxy/proxy_metrics.h"
#include "process/proxy_dialect.h"
#include "process/published.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace eelgrassnotch::process::proxy
{

/** @brief A request as placement sees it. */
struct PlacementQuery {
    const version::Route *route = nullptr;
    const version::Service *service = nullptr; ///< Has a name alone when the configuration does not describe it.
    const version::RoutedWorkspace *workspace = nullptr; ///< Null on public routes.
    const request::Prompt *prompt = nullptr;
    std::size_t bodyBytes = 0;
    std::uint64_t requestHash = 0; ///< Uniform number of the request.
    const std::vector<directory::BackendServerPtr> *triedBackends = nullptr; ///< Backend servers that it has been sent to.
};

/** @brief A backend server for a request, with the prediction that chose it. */
struct BackendChoice {
    directory::BackendServerPtr backend; ///< Null when none is usable.
    directory::BackendServerPtr prefixSource; ///< It should copy the shared prefix from there; null for none.
    dispatch::Placement prediction;
    std::size_t candidateCount = 0; ///< Backend servers of the service.
    std::size_t usableCount = 0;
    std::optional<Time> reopensAt; ///< Where none is usable: the first time at which one wants requests again.
    Duration meanQueueDelay {0}; ///< Over the usable model engines, with the requests of all daemons.
};

/** @brief What the daemon knows, and the decisions on requests that follow from it. */
class Proxy
{
public:
    Proxy(boost::asio::io_context &ioContext, EdgeSettings edgeSettings, std::shared_ptr<const ProxyDialect> proxyDialect,
          ProxyMetrics &proxyMetrics);

    /** @brief Serves one request of a caller. */
    void handle(const connection::http::ServerSessionPtr &session, connection::http::Request request);

    /** @brief Puts a newer configuration in force; older ones are ignored. */
    void setRouteTable(version::RouteTablePtr table);
    version::RouteTablePtr routeTable() const;
    /** @brief Notes that the configuration in force was the newest at this time. */
    void confirmConfiguration(Time asOf);
    /** @returns how old the confirmation of the configuration is. */
    Duration configurationAge(Time now) const;
    /** @returns for how long keys hold after a confirmation. */
    Duration keyLifetime() const;
    /** @returns whether a key in the configuration may still be taken as valid. */
    bool areKeysFresh(Time now) const;

    /** @returns the daemons that share bounds with this one. */
    dispatch::ActiveDaemons &daemons()
    {
        return this->activeDaemons;
    }
    /** @brief Takes other bounds or addresses after a change of the settings file. */
    void setSettings(const EdgeSettings &newSettings);
    /** @brief Notes by how much the daemon's timers ran late, which tells how long requests wait before they are read. */
    void recordTimerLag(Duration lag, Time now);
    /** @returns how late this daemon reads what callers send. */
    Duration timerLag() const
    {
        return this->currentTimerLag;
    }
    /** @returns whether this daemon can't keep up, or could not a moment ago. */
    bool isOverloaded(Time now) const
    {
        return now < this->overloadedUntil;
    }
    /** @returns whether this daemon takes the next request, or sends its caller to another daemon. */
    bool acceptsNextRequest()
    {
        return this->shedding.acceptNext();
    }
    void setStopping(Time since);
    bool isStopping() const
    {
        return this->stopping;
    }
    /** @returns time since the stop was asked for. */
    Duration timeSinceStop(Time now) const
    {
        return this->stopping ? now - this->stoppingSince : Duration(0);
    }

    /** @returns the backend server with the lowest predicted cost. */
    BackendChoice chooseBackend(const PlacementQuery &query, Time now);
    /** @returns whether another send of a request to this service fits the bound on retries. */
    bool consumeRetryBudget(const std::string &service, Time now);
    void countRequest(const std::string &service, Time now);
    /** @returns this daemon's load, for the others. */
    exchange::LoadSummary ownLoad(Time now) const;
    /** @brief Takes the load of the other daemons; nothing where it is not known. */
    void updateLoadFromOthers(const std::optional<exchange::LoadSummary> &others, Time now);

    directory::BackendDirectory &backends()
    {
        return this->directory;
    }
    /** @returns the region of a data centre; its own name when the settings tell none. */
    const std::string &regionOf(const std::string &dataCentre) const;
    dispatch::FairShareTracker &shares()
    {
        return this->fairShare;
    }
    dispatch::RequestCosts &costs()
    {
        return this->requestCosts;
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
    dispatch::Candidate makeCandidate(directory::BackendServer &backend, const PlacementQuery &query, Time now) const;
    /** @returns whether it is there, in use, and in a region that may see the request. */
    bool isEligible(directory::BackendServer &backend, const PlacementQuery &query, Time now) const;
    /** @returns whether its bounds also leave room for the request. */
    bool hasCapacity(directory::BackendServer &backend, const PlacementQuery &query, Time now) const;
    /** @returns how many requests this daemon may start at a cold backend server within a window. */
    std::uint32_t coldRequestQuota(const directory::BackendServer &backend, const version::Service &service, Time now) const;
    /** @returns the first end of a time for which a backend server wants no requests; nothing when none is closed so. */
    std::optional<Time> earliestReopening(const std::vector<directory::BackendServerPtr> &backends, Time now) const;
    dispatch::RetryAllowance &retryBudgetOf(const std::string &service);
    void updateShedding(const std::optional<exchange::LoadSummary> &others, Time now);
    const directory::Locality &localityOf(directory::BackendServer &backend) const;

    boost::asio::io_context &io;
    EdgeSettings currentSettings;
    std::shared_ptr<const ProxyDialect> requestDialect;
    ProxyMetrics &requestMetrics;
    Published<version::RouteTablePtr> table;
    directory::BackendDirectory directory;
    dispatch::FairShareTracker fairShare;
    dispatch::RequestCosts requestCosts;
    dispatch::LoadShedder shedding;
    BackendConnectionPool backendPool;
    AnswerBufferBudget bufferBudget;
    std::map<std::string, dispatch::RetryAllowance> retryBudgets;
    dispatch::ActiveDaemons activeDaemons;
    Time configurationConfirmedAt = Time::min();
    Duration currentTimerLag {0};
    Time overloadedUntil {0};
    Time stoppingSince {0};
    bool stopping = false;
};

}
