#include "process/dispatch/active_daemons.h"

#include "process/dispatch/cold_quota.h"

#include <algorithm>

namespace eelgrassnotch::process::dispatch
{

ActiveDaemons::ActiveDaemons(DaemonHandle ownHandle, DaemonListTimings listTimings)
    : self(ownHandle)
    , timings(listTimings)
    , active {ownHandle}
{
}

void ActiveDaemons::recordDaemonList(std::span<const DaemonHandle> listed, Time now)
{
    for (const DaemonHandle daemon : listed) {
        this->lastListed[daemon] = now;
    }
    // Daemons expire only when a list arrives: without lists, nothing is known about which daemons have stopped.
    std::erase_if(this->lastListed, [this, now](const auto &entry) { return now - entry.second > this->timings.retention; });
    std::vector<DaemonHandle> current(1, this->self);
    for (const auto &[daemon, at] : this->lastListed) {
        if (daemon != this->self) {
            current.push_back(daemon);
        }
    }
    this->changes += current == this->active ? 0 : 1;
    this->active = std::move(current);
    this->hasList = true;
    this->isListed = std::find(listed.begin(), listed.end(), this->self) != listed.end();
}

void ActiveDaemons::recordOwnEntry(Time now)
{
    this->ownEntrySince = now;
}

void ActiveDaemons::recordReportingDaemons(std::uint32_t daemons, Time now)
{
    if (daemons >= this->reportingDaemons || now - this->reportingDaemonsAt >= this->timings.retention) {
        this->reportingDaemons = daemons;
        this->reportingDaemonsAt = now;
    }
}

double ActiveDaemons::reportingFraction(std::uint32_t reporting) const
{
    return std::min(1.0, static_cast<double>(reporting) / static_cast<double>(this->count()));
}

std::uint32_t ActiveDaemons::count() const
{
    return std::max(static_cast<std::uint32_t>(this->active.size()), this->reportingDaemons);
}

bool ActiveDaemons::isKnownToOthers(Time now) const
{
    return this->hasList && this->ownEntrySince && now - *this->ownEntrySince >= this->timings.propagationDelay;
}

bool ActiveDaemons::isOwnEntryMissing(Time now) const
{
    return this->isKnownToOthers(now) && !this->isListed;
}

std::uint32_t ActiveDaemons::quota(std::uint32_t limit, std::uint32_t seed, Time now) const
{
    if (!this->isKnownToOthers(now)) {
        return 0;
    }
    if (this->reportingDaemons > this->active.size()) {
        // The remainder can't be assigned: that needs the handles of all daemons, and some of them are unknown.
        return limit / this->reportingDaemons;
    }
    return coldQuota(limit, this->self, this->active, seed);
}

double ActiveDaemons::part(double limit, std::uint32_t seed, Time now) const
{
    if (!this->hasList) {
        return 0;
    }
    const double equal = this->equalPart(limit);
    if (equal < 1.0) {
        return this->quota(static_cast<std::uint32_t>(limit), seed, now);
    }
    return this->isKnownToOthers(now) && this->isListed ? equal : 1.0;
}

double ActiveDaemons::equalPart(double limit) const
{
    return this->hasList ? limit / this->count() : 0;
}

}
