#include "process/dispatch/announced_limit.h"

#include <algorithm>
#include <cmath>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Statements closer to each other than this can't be ordered: their ages don't include the time on the network. */
constexpr Duration orderingMargin = 300ms;
/** An ended limit doubles in each period of this length, so often that it no longer binds at the end. */
constexpr Duration doublingTime = 700ms;
constexpr double doublings = 5.0;
/** The end of a limit is remembered for this long, so that older statements don't begin it again; older ones are not taken over. */
constexpr Duration statementRetention = 60s;
/** The lowest rate that is kept to: a backend server that gets no request can't tell that its limit has ended. */
constexpr double minRate = 0.1;
/** Higher rates are not distinguished. */
constexpr double maxRate = 1e6;
/** Time whose rate may be sent at once. */
constexpr Duration burstTime = 500ms;
/** A limit is divided among as many daemons as it allows requests in this time, and a few more, as some of them may have no callers. */
constexpr Duration holderPeriod = 1s;
constexpr double spareHolders = 3;
/** Longer delays are not distinguished. */
constexpr Duration maxDelay = 1s;
constexpr double microsecondsPerSecond = 1e6;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** In the precision of messages, so that a rate that comes back from another daemon is the same. */
double roundRate(double rate)
{
    return static_cast<double>(static_cast<float>(std::clamp(rate, minRate, maxRate)));
}

}

bool AnnouncedLimit::replace(double rate, bool hasEnded, Time at)
{
    if (!this->announced) {
        this->announced = Announcement {};
        this->level = 0;
    }
    Announcement &known = *this->announced;
    const bool isChanged = known.rate != rate || known.hasEnded != hasEnded;
    if (hasEnded && !known.hasEnded) {
        known.endedAt = at;
    }
    known.rate = rate;
    known.hasEnded = hasEnded;
    known.statedAt = std::max(known.statedAt, at);
    return isChanged;
}

bool AnnouncedLimit::recordAnswer(std::optional<double> rate, Time now)
{
    if (!rate && !this->announced) {
        return false;
    }
    return this->replace(rate ? roundRate(*rate) : this->announced->rate, !rate, now);
}

bool AnnouncedLimit::merge(const exchange::LimitStatement &statement, Time now)
{
    const Time at = now - statement.age;
    if (statement.age > statementRetention || (!this->announced && statement.hasEnded)) {
        return false;
    }
    if (this->announced) {
        const Announcement &known = *this->announced;
        const bool isNewer = at > known.statedAt + orderingMargin;
        const bool isLower = !statement.hasEnded && (known.hasEnded || statement.rate < known.rate);
        if (!isNewer && !(isLower && at > known.statedAt - orderingMargin)) {
            return false;
        }
    }
    return this->replace(roundRate(statement.rate), statement.hasEnded, at);
}

std::optional<exchange::LimitStatement> AnnouncedLimit::statement(std::uint32_t incarnation, Time now) const
{
    if (!this->announced || now - this->announced->statedAt > statementRetention) {
        return std::nullopt;
    }
    return exchange::LimitStatement {incarnation, this->announced->rate, this->announced->hasEnded, now - this->announced->statedAt};
}

std::optional<double> AnnouncedLimit::fleetRate(Time now) const
{
    if (!this->announced) {
        return std::nullopt;
    }
    const double rate = this->announced->rate;
    if (!this->announced->hasEnded) {
        return rate;
    }
    const double doubled = toSeconds(now - this->announced->endedAt) / toSeconds(doublingTime);
    return doubled >= doublings ? std::nullopt : std::optional(rate * std::exp2(std::max(doubled, 0.0)));
}

double AnnouncedLimit::levelAt(Time now) const
{
    const double burst = std::max(1.0, this->part * toSeconds(burstTime));
    return std::min(this->level + this->part * toSeconds(std::max(now - this->levelAsOf, Duration(0))), burst);
}

void AnnouncedLimit::setOwnRate(double rate, Time now)
{
    this->level = this->levelAt(now);
    this->levelAsOf = now;
    this->part = rate;
}

Duration AnnouncedLimit::delay(Time now) const
{
    if (!this->fleetRate(now)) {
        return Duration(0);
    }
    const double missing = 1.0 - this->levelAt(now);
    if (missing <= 0) {
        return Duration(0);
    }
    const double microseconds = this->part > 0 ? missing / this->part * microsecondsPerSecond : static_cast<double>(maxDelay.count());
    return std::clamp(Duration(std::llround(std::min(microseconds, static_cast<double>(maxDelay.count())))), Duration(1), maxDelay);
}

void AnnouncedLimit::recordSent(Time now)
{
    if (this->fleetRate(now)) {
        this->level = this->levelAt(now) - 1.0;
        this->levelAsOf = now;
    }
}

std::uint32_t limitHolders(double fleetRate, std::uint32_t daemons)
{
    const double wanted = std::ceil(fleetRate * toSeconds(holderPeriod)) + spareHolders;
    return static_cast<std::uint32_t>(std::min(wanted, static_cast<double>(std::max<std::uint32_t>(daemons, 1))));
}

double ownPart(const LimitDivision &division)
{
    if (!division.isHolder) {
        return 0;
    }
    if (!division.demandOfOthers) {
        return division.isKnownToOthers ? division.fleetRate / division.holders : 0;
    }
    const double demand = division.ownDemand + *division.demandOfOthers;
    const double fraction = demand > 0 ? division.ownDemand / demand : 1.0 / division.holders;
    return division.fleetRate * fraction * std::min(division.reportingFraction, 1.0);
}

}
