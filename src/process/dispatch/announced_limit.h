#pragma once

/** @file Rate limit that a backend server announces, and this daemon's part of it. */

#include "eelgrassnotch/types.h"
#include "process/exchange/limit_statement.h"

#include <cstdint>
#include <optional>

namespace eelgrassnotch::process::dispatch
{

/**
 * @brief Follows what one incarnation of a backend server announces, and bounds what this daemon sends there.
 *
 * Answers reach one daemon each, so daemons tell each other the newest one they
 * know. When two statements are too close in time to be ordered, the lower
 * limit holds. The end of a limit raises it step by step: the last answers from
 * before its beginning look like its end.
 *
 * @remarks Load pattern: most backend servers of a service announce a fraction of what they got, while the demand goes on.
 */
class AnnouncedLimit
{
public:
    /** @brief Records the rate that an answer announced; nullopt for an answer without a limit. @returns whether the limit changed. */
    bool recordAnswer(std::optional<double> rate, Time now);
    /** @brief Takes over a statement of another daemon if it is newer. @returns whether the limit changed. */
    bool merge(const exchange::LimitStatement &statement, Time now);
    /** @returns what to tell other daemons; nullopt when nothing was announced lately. */
    std::optional<exchange::LimitStatement> statement(std::uint32_t incarnation, Time now) const;
    /** @returns requests per second that all daemons together may send; nullopt without a limit. */
    std::optional<double> fleetRate(Time now) const;

    /** @brief Sets this daemon's part of the fleet's rate, in requests per second. */
    void setOwnRate(double rate, Time now);
    double ownRate() const
    {
        return this->part;
    }
    /** @returns the time until this daemon may send the next request; zero when it may now. */
    Duration delay(Time now) const;
    void recordSent(Time now);

private:
    struct Announcement {
        double rate = 0;
        bool hasEnded = false;
        Time statedAt {0}; ///< Time of the newest answer.
        Time endedAt {0}; ///< When it ended, if it has.
    };

    /** @returns whether the limit changed. */
    bool replace(double rate, bool hasEnded, Time at);
    double levelAt(Time now) const;

    std::optional<Announcement> announced;
    double part = 0;
    double level = 0; ///< Requests that may be sent at once.
    Time levelAsOf {0};
};

/** @brief What this daemon's part of an announced limit depends on. */
struct LimitDivision {
    double fleetRate = 0; ///< Requests per second from all daemons together.
    bool isHolder = false; ///< This daemon is among the holders of the limit.
    std::uint32_t holders = 1; ///< See limitHolders().
    double ownDemand = 0; ///< Requests per second that arrive here for the service.
    std::optional<double> demandOfOthers; ///< Of the other holders; nullopt while it is unknown.
    double reportingFraction = 1; ///< Daemons whose demand is known, as a fraction of those that may send requests.
    bool isKnownToOthers = false; ///< The other daemons count this one when they divide.

    bool operator==(const LimitDivision &) const = default;
};

/**
 * @returns how many daemons may hold a part of a limit.
 * @remarks Each may send one request at once, so their number bounds what arrives at once.
 */
std::uint32_t limitHolders(double fleetRate, std::uint32_t daemons);

/**
 * @returns this daemon's part of an announced limit, in requests per second.
 *
 * Holders have parts in proportion to their demand. Daemons that can't be heard
 * keep their parts: they may still reach the backend server.
 */
double ownPart(const LimitDivision &division);

}
