#include "process/dispatch/workspace_pacer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Time whose rate a bucket holds, besides one request. */
constexpr Duration burstTime = 100ms;
/** Rates are kept this long while the other daemons' load is unknown. */
constexpr Duration rateRetention = 5s;
constexpr double microsecondsPerSecond = 1e6;
/** Longer delays are not distinguished. */
constexpr Duration maxDelay = 5s;

double costIn(double rate, Duration time)
{
    return rate * static_cast<double>(time.count()) / microsecondsPerSecond;
}

}

double WorkspacePacer::Bucket::levelAt(Time now) const
{
    return std::min(this->level + costIn(this->rate, std::max(now - this->updatedAt, Duration(0))), this->burst);
}

void WorkspacePacer::setRates(const std::map<WorkspaceHandle, double> &rates, double meanCost, Time now)
{
    this->ratesSetAt = now;
    std::erase_if(this->buckets, [&rates](const auto &entry) { return !rates.contains(entry.first); });
    for (const auto &[workspace, rate] : rates) {
        const auto [entry, isNew] = this->buckets.try_emplace(workspace);
        Bucket &bucket = entry->second;
        const double burst = costIn(rate, burstTime) + meanCost;
        bucket.level = isNew ? burst : bucket.levelAt(now);
        bucket.updatedAt = now;
        bucket.rate = rate;
        bucket.burst = burst;
    }
}

void WorkspacePacer::recordAdmitted(WorkspaceHandle workspace, double cost, Time now)
{
    if (const auto entry = this->buckets.find(workspace); entry != this->buckets.end()) {
        entry->second.level = entry->second.levelAt(now) - cost;
        entry->second.updatedAt = now;
    }
}

Duration WorkspacePacer::delay(WorkspaceHandle workspace, Time now) const
{
    const auto entry = this->buckets.find(workspace);
    if (entry == this->buckets.end()) {
        return Duration(0);
    }
    const double missing = -entry->second.levelAt(now);
    if (missing < 0) {
        return Duration(0);
    }
    const double seconds = entry->second.rate > 0 ? missing / entry->second.rate : std::numeric_limits<double>::infinity();
    const double microseconds = std::min(seconds * microsecondsPerSecond, static_cast<double>(maxDelay.count()));
    return std::max(Duration(std::llround(microseconds)), Duration(1));
}

void WorkspacePacer::removeExpired(Time now)
{
    if (now - this->ratesSetAt > rateRetention) {
        this->buckets.clear();
    }
}

}
