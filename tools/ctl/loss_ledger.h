#pragma once

/** @file What became of requests, from the logs of the daemons. */

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassnotch::ctl
{

/** @brief One request as its log line tells of it. */
struct LoggedRequest {
    std::string second; ///< Of its end, in the log's own time.
    std::string route;
    std::string workspace;
    std::string daemon;
    std::string fate; ///< See LossLedger.
    std::uint64_t tokens = 0; ///< Of its prompt.

    bool operator==(const LoggedRequest &) const = default;
};

/** @brief Counts of fates by a key, such as a route's name. */
using FateCounts = std::map<std::string, std::map<std::string, std::size_t>>;

/**
 * @brief Sums up fates by route, workspace, data centre, size and second.
 *
 * Fates: "in time"; "late: expected" (the prediction was beyond the target
 * already), "late: sent again", "late: unseen" (what delayed it wasn't known
 * when it was sent); "refused: REASON"; "failed" (no whole answer, or an error
 * of the backend server); "left" (its caller closed). A request that a caller
 * repeats is one line each time. Sizes are those of prompts within a route: the
 * largest tenth, the fifth below it, and the rest.
 */
class LossLedger
{
public:
    /** @brief Takes a line of a log; lines of other events than requests and starts of daemons change nothing. */
    void add(std::string_view line);

    std::size_t size() const
    {
        return this->requests.size();
    }
    FateCounts byRoute() const;
    FateCounts byWorkspace() const;
    /** Data centres are known from the starts of daemons; a daemon without one stands under its own name. */
    FateCounts byDataCentre() const;
    FateCounts bySize() const;
    FateCounts bySecond() const;

private:
    template <class KeyOf>
    FateCounts countBy(KeyOf &&keyOf) const;

    std::vector<LoggedRequest> requests;
    std::map<std::string, std::string> dataCentres; ///< By daemon.
};

/** @returns a table for people: parts in 100 of each row. */
std::string formatCounts(const std::string &title, const FateCounts &counts);
/** @returns a line per key with a column per fate. */
std::string formatCsv(const std::string &keyName, const FateCounts &counts);
/** @returns all sums. */
nlohmann::json toJson(const LossLedger &ledger);

}
