#include "ctl/load_report.h"

#include <algorithm>
#include <iomanip>
#include <limits>
#include <set>
#include <sstream>

namespace eelgrassnotch::ctl
{

namespace
{

constexpr double millisecondsPerSecond = 1000.0;

double percentile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    return values[index] * millisecondsPerSecond;
}

/** Figures of the requests of one stream or one workspace. */
struct Group {
    std::size_t sent = 0;
    std::size_t answered = 0;
    std::size_t cut = 0;
    std::uint64_t cost = 0;
    std::map<std::string, std::size_t> refused;
    std::vector<double> seconds;
    std::vector<double> firstSeconds;

    void add(const LoadResult &result)
    {
        ++this->sent;
        const bool isAnswer = result.status == 200 && result.whole;
        if (isAnswer) {
            ++this->answered;
            this->cost += result.cost;
            this->seconds.push_back(result.seconds);
            this->firstSeconds.push_back(result.firstSeconds);
        } else if (result.reason.empty() || result.reason == "cut" || result.reason == "connection") {
            ++this->cut;
        } else {
            ++this->refused[result.reason];
        }
    }

    nlohmann::json toJson() const
    {
        return {{"sent", this->sent},
                {"answered", this->answered},
                {"cut", this->cut},
                {"refused", this->refused},
                {"cost", this->cost},
                {"p50Ms", percentile(this->seconds, 0.5)},
                {"p95Ms", percentile(this->seconds, 0.95)},
                {"p99Ms", percentile(this->seconds, 0.99)},
                {"firstP95Ms", percentile(this->firstSeconds, 0.95)}};
    }
};

nlohmann::json summarizeControl(const Experiment &experiment, const LoadOutcome &outcome)
{
    const auto daemons = static_cast<double>(std::max<std::size_t>(1, experiment.operators.size()));
    const auto requests = static_cast<double>(std::max<std::size_t>(1, outcome.results.size()));
    const double sent = outcome.after.bytesSent - outcome.before.bytesSent;
    const double received = outcome.after.bytesReceived - outcome.before.bytesReceived;
    const double core = outcome.after.coreSeconds - outcome.before.coreSeconds;
    return {{"bytesSentPerDaemonSecond", sent / daemons / outcome.seconds},
            {"bytesReceivedPerDaemonSecond", received / daemons / outcome.seconds},
            {"bytesSentPerRequest", sent / requests},
            {"coreThreadPart", core / daemons / outcome.seconds}};
}

}

nlohmann::json summarize(const Experiment &experiment, const LoadOutcome &outcome)
{
    std::map<std::string, Group> byStream;
    std::map<std::string, Group> byWorkspace;
    std::set<std::string> keys;
    for (const LoadResult &result : outcome.results) {
        const LoadStream &stream = experiment.streams[result.stream];
        byStream[stream.name].add(result);
        byWorkspace[stream.workspace].add(result);
    }
    nlohmann::json summary {{"seed", experiment.seed}, {"seconds", outcome.seconds}, {"control", summarizeControl(experiment, outcome)}};
    for (const auto &[name, group] : byStream) {
        summary["streams"][name] = group.toJson();
    }
    double least = std::numeric_limits<double>::max();
    double most = 0.0;
    for (const auto &[name, group] : byWorkspace) {
        const auto share = experiment.shares.find(name);
        const double service = static_cast<double>(group.cost) / (share == experiment.shares.end() ? 1.0 : share->second);
        summary["workspaces"][name] = group.toJson();
        summary["workspaces"][name]["serviceOverShare"] = service;
        least = std::min(least, service);
        most = std::max(most, service);
    }
    summary["serviceGap"] = most - least;
    summary["engineTokens"] = outcome.after.engineTokens - outcome.before.engineTokens;
    return summary;
}

std::string formatTable(const nlohmann::json &summary)
{
    std::ostringstream out;
    out << std::left << std::setw(18) << "stream" << std::right << std::setw(7) << "sent" << std::setw(10) << "answered" << std::setw(6)
        << "cut" << std::setw(10) << "p50 ms" << std::setw(10) << "p95 ms" << std::setw(11) << "first p95"
        << "  refused\n";
    for (const auto &[name, group] : summary.at("streams").items()) {
        out << std::left << std::setw(18) << name << std::right << std::setw(7) << group["sent"].get<std::size_t>() << std::setw(10)
            << group["answered"].get<std::size_t>() << std::setw(6) << group["cut"].get<std::size_t>() << std::fixed << std::setprecision(1)
            << std::setw(10) << group["p50Ms"].get<double>() << std::setw(10) << group["p95Ms"].get<double>() << std::setw(11)
            << group["firstP95Ms"].get<double>() << "  " << group["refused"].dump() << "\n";
    }
    for (const auto &[name, group] : summary.at("workspaces").items()) {
        out << "workspace " << std::left << std::setw(18) << name << " service over share " << group["serviceOverShare"].get<double>()
            << "\n";
    }
    const nlohmann::json &control = summary.at("control");
    out << "control per daemon: " << control["bytesSentPerDaemonSecond"].get<double>() << " B/s sent, "
        << control["bytesReceivedPerDaemonSecond"].get<double>() << " B/s received, core thread " << std::setprecision(4)
        << control["coreThreadPart"].get<double>() << " of a core\n";
    return out.str();
}

}
