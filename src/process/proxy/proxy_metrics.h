#pragma once

/** @file Counters and histograms of the proxy, in the Prometheus text format. */

#include "eelgrassnotch/types.h"
#include "eelgrassnotch/verdict.h"
#include "process/rollout/rollouts.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassnotch::process::proxy
{

/** @brief A rate limit that a backend server announces. */
struct BackendLimitStats {
    std::string backend;
    double fleetRate = 0; ///< Requests per second from all daemons together.
    double ownRate = 0; ///< This daemon's part.
    Duration age {0}; ///< Time since the newest answer that stated it.
    std::uint64_t heldBack = 0; ///< Requests that could not be placed there, since this daemon's part was used up.

    bool operator==(const BackendLimitStats &) const = default;
};

/** @brief State of this daemon's budget of retries to one service. */
struct RetryBudgetStats {
    std::string service;
    double left = 0; ///< Retries that may be sent now.
    double capacity = 0; ///< Retries that may be saved up.
    std::uint32_t daemons = 0; ///< Daemons that the fleet's burst of retries is divided among.

    bool operator==(const RetryBudgetStats &) const = default;
};

/** @brief Metrics of one daemon; names and units are listed in docs/OPERATIONS.md. */
class ProxyMetrics
{
public:
    ProxyMetrics();
    ~ProxyMetrics();
    ProxyMetrics(const ProxyMetrics &) = delete;
    ProxyMetrics &operator=(const ProxyMetrics &) = delete;

    void countAnswer(const std::string &route, unsigned status);
    void countRefusal(RefusalReason reason);
    /** @brief Counts a refusal by admission control. @param limit Name of the limit that the request exceeded. */
    void countAdmissionRefusal(std::string_view limit);
    void countRetry(RetryReason reason);
    /** @brief Counts a retry that was not sent, since the service's budget was used up. */
    void countWithheldRetry(const std::string &service, RetryReason reason);
    /** @brief Counts a stream that a caller takes up. @param finding Whether the version that began it is known, uncertain or unknown. */
    void countTakenUp(const std::string &finding);
    void countStoreCall(const std::string &collection, unsigned status);
    void observeFirstEvent(const std::string &route, Duration time);
    void observeAnswer(const std::string &route, Duration time);
    /** @param error Actual minus predicted time to the first event; its absolute value is recorded. */
    void observePredictionError(const std::string &route, Duration error);
    /** @brief Counts cost that a workspace asked for, and the part of it that was admitted. */
    void countDemand(const std::string &workspace, double cost);
    void countAdmitted(const std::string &workspace, double cost);
    /** @param age Of the other daemons' load, when shares are computed from it. */
    void observeLoadAge(Duration age);
    void setConnections(std::size_t count);
    void setConfiguration(std::uint64_t version, Duration age);
    /** @brief Replaces the announced limits in force. */
    void setBackendLimits(const std::vector<BackendLimitStats> &limits);
    /** @brief Sets the state of the services' retry budgets. */
    void setRetryBudgets(const std::vector<RetryBudgetStats> &budgets);
    /** @brief Replaces the figures of the orders to move a service to another version. */
    void setRollouts(const std::vector<rollout::RolloutReport> &reports);
    void setDroppedLogLines(std::size_t count);
    /** @brief Sets one value of eelgrassnotch_state. */
    void setState(const std::string &what, double value);
    /** @brief Counts connections that were closed before their caller did. */
    void countClosedConnections(const std::string &cause, std::size_t count);
    std::string serialize() const;

private:
    struct Families;
    std::unique_ptr<Families> families;
};

}
