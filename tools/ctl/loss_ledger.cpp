#include "ctl/loss_ledger.h"

#include "process/event_log.h"

#include <algorithm>
#include <charconv>
#include <iomanip>
#include <set>
#include <sstream>

namespace eelgrassnotch::ctl
{

namespace
{

/** Characters of a time of the form 2026-12-04T13:24:00.123 up to its second. */
constexpr std::size_t secondLength = 19;
/** Ends of the size classes, as parts of a route's requests in order of size. */
constexpr double restEnd = 0.7;
constexpr double fifthEnd = 0.9;
constexpr std::size_t mostRows = 40;
constexpr std::string_view refusedPrefix = "refused: ";
constexpr unsigned firstFailureStatus = 300;

using Fields = std::map<std::string, std::string>;

std::string textOf(const Fields &fields, const std::string &key)
{
    const auto found = fields.find(key);
    return found == fields.end() ? std::string() : found->second;
}

std::int64_t numberOf(const Fields &fields, const std::string &key)
{
    const std::string text = textOf(fields, key);
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string fateOf(const Fields &fields)
{
    const std::string outcome = textOf(fields, "outcome");
    if (outcome.starts_with(refusedPrefix)) {
        const std::string reason = outcome.substr(refusedPrefix.size());
        return std::string(refusedPrefix) + reason.substr(0, reason.find(':'));
    }
    if (outcome == "caller_left") {
        return "left";
    }
    if (outcome != "served" || numberOf(fields, "status") >= firstFailureStatus) {
        return "failed";
    }
    const std::int64_t first = numberOf(fields, "first_ms");
    const std::int64_t took = first > 0 ? first : numberOf(fields, "total_ms");
    const std::int64_t target = numberOf(fields, "target_ms");
    if (target == 0 || took <= target) {
        return "in time";
    }
    if (numberOf(fields, "sends") > 1) {
        return "late: sent again";
    }
    return numberOf(fields, "predicted_ms") > target ? "late: expected" : "late: unseen";
}

std::set<std::string> fatesIn(const FateCounts &counts)
{
    std::set<std::string> fates;
    for (const auto &[key, row] : counts) {
        for (const auto &[fate, count] : row) {
            fates.insert(fate);
        }
    }
    return fates;
}

std::size_t sumOf(const std::map<std::string, std::size_t> &row)
{
    std::size_t sum = 0;
    for (const auto &[fate, count] : row) {
        sum += count;
    }
    return sum;
}

}

void LossLedger::add(std::string_view line)
{
    const Fields fields = process::parseEvent(line);
    const std::string event = textOf(fields, "event");
    if (event == "started") {
        this->dataCentres[textOf(fields, "daemon")] = textOf(fields, "data_centre");
    } else if (event == "request") {
        this->requests.push_back({textOf(fields, "time").substr(0, secondLength), textOf(fields, "route"), textOf(fields, "workspace"),
                                  textOf(fields, "daemon"), fateOf(fields), static_cast<std::uint64_t>(numberOf(fields, "tokens"))});
    }
}

template <class KeyOf>
FateCounts LossLedger::countBy(KeyOf &&keyOf) const
{
    FateCounts counts;
    for (const LoggedRequest &request : this->requests) {
        ++counts[keyOf(request)][request.fate];
    }
    return counts;
}

FateCounts LossLedger::byRoute() const
{
    return this->countBy([](const LoggedRequest &request) { return request.route; });
}

FateCounts LossLedger::byWorkspace() const
{
    return this->countBy([](const LoggedRequest &request) { return request.workspace; });
}

FateCounts LossLedger::byDataCentre() const
{
    return this->countBy([this](const LoggedRequest &request) {
        const auto found = this->dataCentres.find(request.daemon);
        return found == this->dataCentres.end() ? request.daemon : found->second;
    });
}

FateCounts LossLedger::bySize() const
{
    std::map<std::string, std::vector<std::uint64_t>> sizes;
    for (const LoggedRequest &request : this->requests) {
        sizes[request.route].push_back(request.tokens);
    }
    for (auto &[route, ofRoute] : sizes) {
        std::sort(ofRoute.begin(), ofRoute.end());
    }
    return this->countBy([&sizes](const LoggedRequest &request) {
        const std::vector<std::uint64_t> &ofRoute = sizes.at(request.route);
        const auto rank = std::lower_bound(ofRoute.begin(), ofRoute.end(), request.tokens) - ofRoute.begin();
        const double part = static_cast<double>(rank) / static_cast<double>(ofRoute.size());
        return request.route + (part >= fifthEnd ? " largest tenth" : (part >= restEnd ? " fifth below" : " rest"));
    });
}

FateCounts LossLedger::bySecond() const
{
    return this->countBy([](const LoggedRequest &request) { return request.second; });
}

std::string formatCounts(const std::string &title, const FateCounts &counts)
{
    constexpr double percent = 100.0;
    std::vector<std::pair<std::string, std::map<std::string, std::size_t>>> rows(counts.begin(), counts.end());
    std::stable_sort(rows.begin(), rows.end(),
                     [](const auto &left, const auto &right) { return sumOf(left.second) > sumOf(right.second); });
    std::ostringstream out;
    out << title << "\n";
    for (std::size_t index = 0; index < std::min(rows.size(), mostRows); ++index) {
        const auto &[key, row] = rows[index];
        const std::size_t sum = sumOf(row);
        out << "  " << std::left << std::setw(32) << (key.empty() ? "-" : key) << std::right << std::setw(8) << sum << std::fixed
            << std::setprecision(1);
        for (const auto &[fate, count] : row) {
            out << "  " << fate << " " << percent * static_cast<double>(count) / static_cast<double>(sum);
        }
        out << "\n";
    }
    if (rows.size() > mostRows) {
        out << "  and " << rows.size() - mostRows << " with fewer requests\n";
    }
    return out.str();
}

std::string formatCsv(const std::string &keyName, const FateCounts &counts)
{
    const std::set<std::string> fates = fatesIn(counts);
    std::ostringstream out;
    out << keyName;
    for (const std::string &fate : fates) {
        out << "," << fate;
    }
    out << "\n";
    for (const auto &[key, row] : counts) {
        out << key;
        for (const std::string &fate : fates) {
            const auto found = row.find(fate);
            out << "," << (found == row.end() ? 0 : found->second);
        }
        out << "\n";
    }
    return out.str();
}

nlohmann::json toJson(const LossLedger &ledger)
{
    return {{"requests", ledger.size()},           {"byRoute", ledger.byRoute()},
            {"byWorkspace", ledger.byWorkspace()}, {"byDataCentre", ledger.byDataCentre()},
            {"bySize", ledger.bySize()},           {"bySecond", ledger.bySecond()}};
}

}
