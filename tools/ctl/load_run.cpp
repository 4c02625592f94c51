#include "ctl/load_run.h"

#include "version/checked_json.h"
#include "version/configuration.h"

#include <cpprest/http_client.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

namespace eelgrassnotch::ctl
{

using web::http::client::http_client;
using Clock = std::chrono::steady_clock;

namespace
{

constexpr double maxRate = 10'000.0;
constexpr double maxSeconds = 3600.0;
constexpr auto answerTimeout = std::chrono::seconds(60);

std::vector<std::string> texts(const version::CheckedJson &source, const char *key)
{
    std::vector<std::string> values;
    for (const version::CheckedJson &entry : source.array(key)) {
        values.push_back(entry.text());
    }
    return values;
}

LoadStream parseStream(const version::CheckedJson &source)
{
    source.allowOnly({"name", "workspace", "service", "path", "rate", "tokens", "deadlineMs", "keyed", "repeats", "callers"});
    LoadStream stream;
    stream.name = source.member("name").text();
    stream.workspace = source.member("workspace").text();
    stream.service = source.member("service").text();
    stream.path = source.member("path").text();
    stream.rate = source.number("rate", stream.rate, 0.01, maxRate);
    stream.tokens = static_cast<std::uint32_t>(source.number("tokens", 0, 0, 100'000));
    stream.deadlineMs = static_cast<std::uint32_t>(source.number("deadlineMs", stream.deadlineMs, 1, 600'000));
    stream.keyed = source.boolean("keyed", false);
    stream.repeats = source.number("repeats", 0, 0, 1);
    stream.callers = texts(source, "callers");
    return stream;
}

/** One request that is due. */
struct Arrival {
    double at = 0.0; ///< Seconds after the start.
    std::size_t stream = 0;
    std::size_t caller = 0;
    std::string key;
};

/** All arrivals of an experiment, by its seed alone. */
std::vector<Arrival> planArrivals(const Experiment &experiment)
{
    std::mt19937 random(experiment.seed);
    std::vector<Arrival> arrivals;
    for (std::size_t index = 0; index < experiment.streams.size(); ++index) {
        const LoadStream &stream = experiment.streams[index];
        const std::size_t callers = stream.callers.empty() ? experiment.callers.size() : stream.callers.size();
        std::exponential_distribution<double> pause(stream.rate);
        std::uniform_int_distribution<std::size_t> pick(0, callers - 1);
        std::bernoulli_distribution repeats(stream.repeats);
        int number = 0;
        for (double at = pause(random); at < experiment.seconds; at += pause(random)) {
            const std::string key
                = stream.keyed ? stream.name + "-" + std::to_string(experiment.seed) + "-" + std::to_string(++number) : "";
            arrivals.push_back({at, index, pick(random), key});
            if (stream.keyed && repeats(random)) {
                arrivals.push_back({at + pause(random) / 2, index, pick(random), key});
            }
        }
    }
    const auto isEarlier = [](const Arrival &left, const Arrival &right) { return left.at < right.at; };
    std::stable_sort(arrivals.begin(), arrivals.end(), isEarlier);
    return arrivals;
}

/** Value of a counter in the Prometheus text format. */
double readCounter(const std::string &text, const std::string &name)
{
    const std::size_t start = text.find("\n" + name + " ");
    return start == std::string::npos ? 0.0 : std::stod(text.substr(start + name.size() + 2));
}

std::string fetch(const std::string &base, const std::string &path, const std::string &key)
{
    try {
        http_client client {web::uri(base)};
        web::http::http_request request(web::http::methods::GET);
        request.set_request_uri(path);
        if (!key.empty()) {
            request.headers().add("Authorization", "Bearer " + key);
        }
        return client.request(request).get().extract_utf8string(true).get();
    } catch (const std::exception &) {
        return {}; // A stopped process has no counters.
    }
}

FleetCounters readCounters(const Experiment &experiment, const std::string &operatorKey)
{
    FleetCounters counters;
    for (const std::string &base : experiment.operators) {
        const std::string text = fetch(base, "/metrics", operatorKey);
        counters.bytesSent += readCounter(text, "eelgrassnotch_links_total{kind=\"bytes_sent\"}");
        counters.bytesReceived += readCounter(text, "eelgrassnotch_links_total{kind=\"bytes_received\"}");
        counters.coreSeconds += readCounter(text, "eelgrassnotch_core_seconds_total");
    }
    for (const std::string &base : experiment.engines) {
        const nlohmann::json document = nlohmann::json::parse(fetch(base, "/load", ""), nullptr, false);
        counters.engineTokens += document.is_object() ? document.value("tokens", 0.0) : 0.0;
    }
    return counters;
}

/** Sends arrivals at their times and collects what becomes of them. */
class Runner
{
public:
    explicit Runner(const Experiment &experiment)
        : experiment(experiment)
    {
        web::http::client::http_client_config settings;
        settings.set_timeout(answerTimeout);
        this->addClients(experiment.callers, settings);
        for (const LoadStream &stream : experiment.streams) {
            this->addClients(stream.callers, settings);
        }
    }

    std::vector<LoadResult> run(const std::vector<Arrival> &arrivals)
    {
        this->startedAt = Clock::now();
        this->results.resize(arrivals.size());
        std::size_t nextFault = 0;
        std::vector<LoadFault> faults = experiment.faults;
        std::sort(faults.begin(), faults.end(), [](const LoadFault &left, const LoadFault &right) { return left.at < right.at; });
        for (std::size_t index = 0; index < arrivals.size(); ++index) {
            for (; nextFault < faults.size() && faults[nextFault].at <= arrivals[index].at; ++nextFault) {
                this->setFault(faults[nextFault]);
            }
            std::this_thread::sleep_until(this->startedAt
                                          + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(arrivals[index].at)));
            this->send(arrivals[index], index);
        }
        while (this->open > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return this->results;
    }

private:
    void addClients(const std::vector<std::string> &bases, const web::http::client::http_client_config &settings)
    {
        for (const std::string &base : bases) {
            this->clients.try_emplace(base, std::make_shared<http_client>(web::uri(base), settings));
        }
    }

    void setFault(const LoadFault &fault)
    {
        http_client client {web::uri(fault.address)};
        web::http::http_request request(web::http::methods::PUT);
        request.set_request_uri("/faults");
        request.set_body(fault.changes.dump(), "application/json");
        client.request(request).wait();
    }

    void send(const Arrival &arrival, std::size_t index)
    {
        const LoadStream &stream = this->experiment.streams[arrival.stream];
        const std::vector<std::string> &bases = stream.callers.empty() ? this->experiment.callers : stream.callers;
        web::http::http_request request(web::http::methods::POST);
        request.set_request_uri(stream.path);
        request.headers().add("Eelgrass-Workspace", stream.workspace);
        request.headers().add("Eelgrass-Service", stream.service);
        request.headers().add("Eelgrass-Deadline-Ms", stream.deadlineMs);
        if (!arrival.key.empty()) {
            request.headers().add("Idempotency-Key", arrival.key);
        }
        const nlohmann::json body = stream.tokens > 0
            ? nlohmann::json {{"prompt", stream.name}, {"max_tokens", stream.tokens}, {"stream", true}}
            : nlohmann::json {{"item", arrival.key.empty() ? stream.name : arrival.key}};
        request.set_body(body.dump(), "application/json");
        LoadResult &result = this->results[index];
        result.stream = arrival.stream;
        result.key = arrival.key;
        result.cost = std::max(1u, stream.tokens);
        ++this->open;
        const auto sentAt = Clock::now();
        this->clients.at(bases[arrival.caller])
            ->request(request)
            .then([this, &result, sentAt](const pplx::task<web::http::http_response> &task) { this->receive(result, sentAt, task); });
    }

    void receive(LoadResult &result, Clock::time_point sentAt, const pplx::task<web::http::http_response> &task)
    {
        try {
            const web::http::http_response response = task.get();
            result.firstSeconds = std::chrono::duration<double>(Clock::now() - sentAt).count();
            result.status = response.status_code();
            const auto verdict = response.headers().find("Eelgrass-Verdict");
            result.verdict = verdict == response.headers().end() ? "" : verdict->second;
            response.extract_utf8string(true).then(
                [this, &result, sentAt, response](const pplx::task<std::string> &body) { this->finish(result, sentAt, body); });
        } catch (const std::exception &) {
            result.reason = "connection";
            this->end(result, sentAt);
        }
    }

    void finish(LoadResult &result, Clock::time_point sentAt, const pplx::task<std::string> &task)
    {
        try {
            const std::string body = task.get();
            const bool isStream = this->experiment.streams[result.stream].tokens > 0;
            result.whole = !isStream || body.ends_with("data: [DONE]\n\n");
            if (result.status != web::http::status_codes::OK) {
                const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
                const bool isRefusal = document.is_object() && document.contains("error") && document["error"].is_object();
                result.reason = isRefusal ? document["error"].value("reason", "") : "status_" + std::to_string(result.status);
            }
        } catch (const std::exception &) {
            result.reason = "cut";
        }
        this->end(result, sentAt);
    }

    void end(LoadResult &result, Clock::time_point sentAt)
    {
        result.seconds = std::chrono::duration<double>(Clock::now() - sentAt).count();
        --this->open;
    }

    const Experiment &experiment;
    std::map<std::string, std::shared_ptr<http_client>> clients;
    std::vector<LoadResult> results;
    std::atomic<std::size_t> open {0};
    Clock::time_point startedAt;
};

}

Experiment parseExperiment(const nlohmann::json &document)
{
    const version::CheckedJson root(document);
    root.allowOnly({"seed", "seconds", "callers", "operators", "engines", "shares", "streams", "faults"});
    Experiment experiment;
    experiment.seed = static_cast<std::uint32_t>(root.number("seed", 1, 0, 4e9));
    experiment.seconds = root.number("seconds", experiment.seconds, 0.1, maxSeconds);
    experiment.callers = texts(root, "callers");
    experiment.operators = texts(root, "operators");
    experiment.engines = texts(root, "engines");
    if (root.has("shares")) {
        for (const auto &[name, share] : document.at("shares").items()) {
            experiment.shares[name] = root.member("shares").number(name.c_str(), 1, 0.001, 1e6);
        }
    }
    for (const version::CheckedJson &stream : root.array("streams")) {
        experiment.streams.push_back(parseStream(stream));
    }
    for (const version::CheckedJson &fault : root.array("faults")) {
        fault.allowOnly({"at", "address", "set"});
        experiment.faults.push_back({fault.number("at", 0, 0, maxSeconds), fault.member("address").text(), nlohmann::json()});
        fault.member("set");
        experiment.faults.back().changes = document["faults"][experiment.faults.size() - 1]["set"];
    }
    if (experiment.callers.empty()) {
        throw version::ConfigurationError("/callers", "must name at least one daemon");
    }
    return experiment;
}

LoadOutcome runExperiment(const Experiment &experiment, const std::string &operatorKey)
{
    LoadOutcome outcome;
    outcome.before = readCounters(experiment, operatorKey);
    const auto startedAt = Clock::now();
    Runner runner(experiment);
    outcome.results = runner.run(planArrivals(experiment));
    outcome.seconds = std::chrono::duration<double>(Clock::now() - startedAt).count();
    outcome.after = readCounters(experiment, operatorKey);
    return outcome;
}

}
