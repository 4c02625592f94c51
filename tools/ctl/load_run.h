#pragma once

/** @file Open-loop load against a running fleet, described by an experiment file. */

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace eelgrassnotch::ctl
{

/** @brief Requests of one kind, sent at a rate whatever the answers. */
struct LoadStream {
    std::string name;
    std::string workspace;
    std::string service;
    std::string path;
    double rate = 1.0; ///< Requests per second.
    std::uint32_t tokens = 16; ///< Asked of an engine; zero for a plain call.
    std::uint32_t deadlineMs = 10'000;
    bool keyed = false; ///< Sends an idempotency key.
    double repeats = 0.0; ///< Part of the keyed requests that is sent again under the same key at another daemon.
    std::vector<std::string> callers; ///< Base addresses of daemons; empty for all.
};

/** @brief A switch of a stand-in that is set during the run. */
struct LoadFault {
    double at = 0.0; ///< Seconds after the start.
    std::string address; ///< Base address of the stand-in.
    nlohmann::json changes;
};

/** @brief One experiment. */
struct Experiment {
    std::uint32_t seed = 1;
    double seconds = 10.0;
    std::vector<std::string> callers; ///< Base addresses of the daemons for callers.
    std::vector<std::string> operators; ///< Base addresses of the daemons for operators, for control traffic.
    std::vector<std::string> engines; ///< Base addresses of stand-in engines, for utilization.
    std::map<std::string, double> shares; ///< By workspace.
    std::vector<LoadStream> streams;
    std::vector<LoadFault> faults;
};

/** @brief What became of one request. */
struct LoadResult {
    std::size_t stream = 0;
    int status = 0; ///< HTTP status; zero without an answer.
    std::string reason; ///< Of a refusal, or "connection".
    std::string verdict;
    bool whole = false; ///< Streamed answers: ended with the end mark. Plain answers: always.
    double seconds = 0.0;
    double firstSeconds = 0.0; ///< Until the first byte of the body.
    std::uint32_t cost = 0;
    std::string key;
};

/** @brief Counters of the fleet around a run. */
struct FleetCounters {
    double bytesSent = 0;
    double bytesReceived = 0;
    double coreSeconds = 0;
    double engineTokens = 0;
};

struct LoadOutcome {
    std::vector<LoadResult> results;
    FleetCounters before;
    FleetCounters after;
    double seconds = 0.0; ///< From the first request to the last answer.
};

/** @throws version::ConfigurationError naming the value at fault. */
Experiment parseExperiment(const nlohmann::json &document);

/** @brief Runs an experiment; returns when all answers have come. */
LoadOutcome runExperiment(const Experiment &experiment, const std::string &operatorKey);

}
