#include "process/proxy/proxy_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <cmath>
#include <map>
#include <utility>

namespace eelgrassnotch::process::proxy
{

namespace
{

/** Upper bounds of the latency histograms, in seconds. */
const prometheus::Histogram::BucketBoundaries latencyBuckets {0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10};

/** The same for the age of load, which is dropped at 1.5 s. */
const prometheus::Histogram::BucketBoundaries loadAgeBuckets {0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.2, 1.5};

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

struct ProxyMetrics::Families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &answers = prometheus::BuildCounter()
                                                           .Name("eelgrassnotch_answers_total")
                                                           .Help("Answers to callers, by route and status")
                                                           .Register(this->registry);
    prometheus::Family<prometheus::Counter> &refusals
        = prometheus::BuildCounter().Name("eelgrassnotch_refusals_total").Help("Refused requests, by reason").Register(this->registry);
    prometheus::Family<prometheus::Counter> &retries
        = prometheus::BuildCounter().Name("eelgrassnotch_retries_total").Help("Requests sent again, by reason").Register(this->registry);
    prometheus::Family<prometheus::Counter> &withheldRetries = prometheus::BuildCounter()
                                                                   .Name("eelgrassnotch_retries_withheld_total")
                                                                   .Help("Retries not sent, as the service's retry budget was used up")
                                                                   .Register(this->registry);
    prometheus::Family<prometheus::Counter> &streamsTakenUp
        = prometheus::BuildCounter()
              .Name("eelgrassnotch_streams_taken_up_total")
              .Help("Streams that callers take up, by whether the version that began them is known")
              .Register(this->registry);
    prometheus::Family<prometheus::Gauge> &retryBudgets
        = prometheus::BuildGauge().Name("eelgrassnotch_retry_budget").Help("Retry budgets of services").Register(this->registry);
    prometheus::Family<prometheus::Counter> &storeCalls
        = prometheus::BuildCounter().Name("eelgrassnotch_store_calls_total").Help("Calls to the platform's store").Register(this->registry);
    prometheus::Family<prometheus::Histogram> &firstEvents = prometheus::BuildHistogram()
                                                                 .Name("eelgrassnotch_first_event_seconds")
                                                                 .Help("Time to the first event of a stream")
                                                                 .Register(this->registry);
    prometheus::Family<prometheus::Histogram> &completeAnswers
        = prometheus::BuildHistogram().Name("eelgrassnotch_answer_seconds").Help("Time to the whole answer").Register(this->registry);
    prometheus::Family<prometheus::Histogram> &predictionErrors = prometheus::BuildHistogram()
                                                                      .Name("eelgrassnotch_prediction_error_seconds")
                                                                      .Help("Absolute error of the predicted first event")
                                                                      .Register(this->registry);
    prometheus::Family<prometheus::Counter> &admissionRefusals = prometheus::BuildCounter()
                                                                     .Name("eelgrassnotch_admission_refusals_total")
                                                                     .Help("Requests refused by admission control, by exceeded limit")
                                                                     .Register(this->registry);
    prometheus::Family<prometheus::Counter> &workspaceCosts = prometheus::BuildCounter()
                                                                  .Name("eelgrassnotch_workspace_cost_total")
                                                                  .Help("Cost of requests to model engines, by workspace")
                                                                  .Register(this->registry);
    prometheus::Histogram &loadAge = prometheus::BuildHistogram()
                                         .Name("eelgrassnotch_load_age_seconds")
                                         .Help("Age of the other daemons' load when it is used")
                                         .Register(this->registry)
                                         .Add({}, loadAgeBuckets);
    /** Cached by label values: looking up a metric by its labels costs more than counting. */
    std::map<std::pair<std::string, unsigned>, prometheus::Counter *> answersByRoute;
    std::map<std::string, prometheus::Counter *> demandByWorkspace;
    std::map<std::string, prometheus::Counter *> admittedByWorkspace;
    std::map<std::string, prometheus::Histogram *> firstEventsByRoute;
    std::map<std::string, prometheus::Histogram *> completeAnswersByRoute;
    std::map<std::string, prometheus::Histogram *> predictionErrorsByRoute;
    prometheus::Family<prometheus::Gauge> &rollouts = prometheus::BuildGauge()
                                                          .Name("eelgrassnotch_rollout")
                                                          .Help("Orders to move a service to another version")
                                                          .Register(this->registry);
    std::vector<prometheus::Gauge *> currentRollouts;
    prometheus::Family<prometheus::Gauge> &limits = prometheus::BuildGauge()
                                                        .Name("eelgrassnotch_backend_limit")
                                                        .Help("Rate limits that backend servers announce")
                                                        .Register(this->registry);
    std::vector<prometheus::Gauge *> currentLimits;
    prometheus::Family<prometheus::Counter> &closedConnections = prometheus::BuildCounter()
                                                                     .Name("eelgrassnotch_connections_closed_total")
                                                                     .Help("Connections closed by the daemon's limits, by cause")
                                                                     .Register(this->registry);
    prometheus::Family<prometheus::Gauge> &gauges
        = prometheus::BuildGauge().Name("eelgrassnotch_state").Help("State of the daemon").Register(this->registry);
};

namespace
{

void observe(std::map<std::string, prometheus::Histogram *> &known, prometheus::Family<prometheus::Histogram> &family,
             const std::string &route, double value)
{
    const auto [entry, isNew] = known.try_emplace(route, nullptr);
    if (isNew) {
        entry->second = &family.Add({{"route", route}}, latencyBuckets);
    }
    entry->second->Observe(value);
}

void addCost(std::map<std::string, prometheus::Counter *> &known, prometheus::Family<prometheus::Counter> &family, const std::string &what,
             const std::string &workspace, double cost)
{
    const auto [entry, isNew] = known.try_emplace(workspace, nullptr);
    if (isNew) {
        entry->second = &family.Add({{"workspace", workspace}, {"what", what}});
    }
    entry->second->Increment(cost);
}

}

ProxyMetrics::ProxyMetrics()
    : families(std::make_unique<Families>())
{
}

ProxyMetrics::~ProxyMetrics() = default;

void ProxyMetrics::countAnswer(const std::string &route, unsigned status)
{
    const auto [entry, isNew] = this->families->answersByRoute.try_emplace({route, status}, nullptr);
    if (isNew) {
        entry->second = &this->families->answers.Add({{"route", route}, {"status", std::to_string(status)}});
    }
    entry->second->Increment();
}

void ProxyMetrics::countRefusal(RefusalReason reason)
{
    this->families->refusals.Add({{"reason", std::string(nameOf(reason))}}).Increment();
}

void ProxyMetrics::countAdmissionRefusal(std::string_view limit)
{
    this->families->admissionRefusals.Add({{"limit", std::string(limit)}}).Increment();
}

void ProxyMetrics::countRetry(RetryReason reason)
{
    this->families->retries.Add({{"reason", std::string(nameOf(reason))}}).Increment();
}

void ProxyMetrics::countWithheldRetry(const std::string &service, RetryReason reason)
{
    this->families->withheldRetries.Add({{"service", service}, {"reason", std::string(nameOf(reason))}}).Increment();
}

void ProxyMetrics::countTakenUp(const std::string &finding)
{
    this->families->streamsTakenUp.Add({{"finding", finding}}).Increment();
}

void ProxyMetrics::countStoreCall(const std::string &collection, unsigned status)
{
    this->families->storeCalls.Add({{"collection", collection}, {"status", std::to_string(status)}}).Increment();
}

void ProxyMetrics::observeFirstEvent(const std::string &route, Duration time)
{
    observe(this->families->firstEventsByRoute, this->families->firstEvents, route, toSeconds(time));
}

void ProxyMetrics::observeAnswer(const std::string &route, Duration time)
{
    observe(this->families->completeAnswersByRoute, this->families->completeAnswers, route, toSeconds(time));
}

void ProxyMetrics::observePredictionError(const std::string &route, Duration error)
{
    observe(this->families->predictionErrorsByRoute, this->families->predictionErrors, route, std::abs(toSeconds(error)));
}

void ProxyMetrics::countDemand(const std::string &workspace, double cost)
{
    addCost(this->families->demandByWorkspace, this->families->workspaceCosts, "asked", workspace, cost);
}

void ProxyMetrics::countAdmitted(const std::string &workspace, double cost)
{
    addCost(this->families->admittedByWorkspace, this->families->workspaceCosts, "admitted", workspace, cost);
}

void ProxyMetrics::observeLoadAge(Duration age)
{
    this->families->loadAge.Observe(toSeconds(age));
}

void ProxyMetrics::setConnections(std::size_t count)
{
    this->families->gauges.Add({{"what", "caller_connections"}}).Set(static_cast<double>(count));
}

void ProxyMetrics::setConfiguration(std::uint64_t version, Duration age)
{
    this->families->gauges.Add({{"what", "configuration_version"}}).Set(static_cast<double>(version));
    this->families->gauges.Add({{"what", "configuration_age_seconds"}}).Set(toSeconds(age));
}

void ProxyMetrics::setBackendLimits(const std::vector<BackendLimitStats> &limits)
{
    for (prometheus::Gauge *gauge : std::exchange(this->families->currentLimits, {})) {
        this->families->limits.Remove(gauge);
    }
    const auto add = [this](const std::string &backend, const char *what, double value) {
        prometheus::Gauge &gauge = this->families->limits.Add({{"backend", backend}, {"what", what}});
        gauge.Set(value);
        this->families->currentLimits.push_back(&gauge);
    };
    for (const BackendLimitStats &limit : limits) {
        add(limit.backend, "requests_per_s", limit.fleetRate);
        add(limit.backend, "own_part", limit.ownRate);
        add(limit.backend, "age_s", toSeconds(limit.age));
        add(limit.backend, "held_back", static_cast<double>(limit.heldBack));
    }
}

void ProxyMetrics::setRollouts(const std::vector<rollout::RolloutReport> &reports)
{
    for (prometheus::Gauge *gauge : std::exchange(this->families->currentRollouts, {})) {
        this->families->rollouts.Remove(gauge);
    }
    const auto add = [this](const std::string &service, const char *what, double value) {
        prometheus::Gauge &gauge = this->families->rollouts.Add({{"service", service}, {"what", what}});
        gauge.Set(value);
        this->families->currentRollouts.push_back(&gauge);
    };
    for (const rollout::RolloutReport &report : reports) {
        const std::string &service = report.order.service;
        const rollout::RolloutStats &stats = report.stats;
        add(service, "state", static_cast<double>(report.order.state));
        add(service, "stage", static_cast<double>(stats.stage));
        add(service, "share", stats.share);
        add(service, "elapsed_s", toSeconds(stats.elapsed));
        add(service, "failure_score", stats.failureScore);
        add(service, "slowness_score", stats.slownessScore);
        add(service, "threshold", stats.threshold);
        add(service, "target_answers", stats.targetAnswers);
        add(service, "target_bad", stats.targetBad);
        add(service, "old_answers", stats.oldAnswers);
        add(service, "old_bad", stats.oldBad);
        add(service, "old_in_progress", stats.oldInProgress);
        add(service, "emptying_daemons", stats.emptyingDaemons);
        add(service, "requests", static_cast<double>(stats.requests));
        add(service, "sent_to_target", static_cast<double>(stats.sentToTarget));
        add(service, "known_bad", stats.isKnownBad ? 1 : 0);
    }
}

void ProxyMetrics::setRetryBudgets(const std::vector<RetryBudgetStats> &budgets)
{
    for (const RetryBudgetStats &budget : budgets) {
        this->families->retryBudgets.Add({{"service", budget.service}, {"what", "left"}}).Set(budget.left);
        this->families->retryBudgets.Add({{"service", budget.service}, {"what", "capacity"}}).Set(budget.capacity);
        this->families->retryBudgets.Add({{"service", budget.service}, {"what", "daemons"}}).Set(budget.daemons);
    }
}

void ProxyMetrics::setDroppedLogLines(std::size_t count)
{
    this->families->gauges.Add({{"what", "dropped_log_lines"}}).Set(static_cast<double>(count));
}

void ProxyMetrics::setState(const std::string &what, double value)
{
    this->families->gauges.Add({{"what", what}}).Set(value);
}

void ProxyMetrics::countClosedConnections(const std::string &cause, std::size_t count)
{
    this->families->closedConnections.Add({{"cause", cause}}).Increment(static_cast<double>(count));
}

std::string ProxyMetrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(this->families->registry.Collect());
}

}
