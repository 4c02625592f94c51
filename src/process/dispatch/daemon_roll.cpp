#include "process/dispatch/daemon_roll.h"

#include "process/dispatch/cold_allotment.h"

#include <algorithm>

namespace eelgrassnotch::process::dispatch
{

DaemonRoll::DaemonRoll(DaemonHandle ownHandle, RollTimes rollTimes)
    : self(ownHandle)
    , times(rollTimes)
    , counted {ownHandle}
{
}

void DaemonRoll::noteList(std::span<const DaemonHandle> listed, Time now)
{
    for (const DaemonHandle daemon : listed) {
        this->lastListed[daemon] = now;
    }
    // Only a list can end the time for which a daemon counts: while none comes, nothing is known of its end either.
    std::erase_if(this->lastListed, [this, now](const auto &entry) { return now - entry.second > this->times.keepFor; });
    this->counted.assign(1, this->self);
    for (const auto &[daemon, at] : this->lastListed) {
        if (daemon != this->self) {
            this->counted.push_back(daemon);
        }
    }
    this->isListed = std::find(listed.begin(), listed.end(), this->self) != listed.end();
}

void DaemonRoll::noteOwnEntry(Time now)
{
    this->ownEntrySince = now;
}

void DaemonRoll::noteHeard(std::uint32_t daemons, Time now)
{
    if (daemons >= this->heard || now - this->heardAt >= this->times.keepFor) {
        this->heard = daemons;
        this->heardAt = now;
    }
}

std::uint32_t DaemonRoll::count() const
{
    return std::max(static_cast<std::uint32_t>(this->counted.size()), this->heard);
}

bool DaemonRoll::isCounted(Time now) const
{
    return this->ownEntrySince && now - *this->ownEntrySince >= this->times.settleFor;
}

bool DaemonRoll::isOwnEntryLost(Time now) const
{
    return this->isCounted(now) && !this->isListed;
}

std::uint32_t DaemonRoll::allotment(std::uint32_t bound, std::uint32_t salt, Time now) const
{
    if (!this->isCounted(now)) {
        return 0;
    }
    if (this->heard > this->counted.size()) {
        // The ranks by which remainders are dealt depend on names that are not known.
        return bound / this->heard;
    }
    return coldAllotment(bound, this->self, this->counted, salt);
}

}
