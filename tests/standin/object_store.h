#pragma once

/** @file A stand-in for the platform's store: objects with revisions, watches, and faults that a test sets. */

#include "standin/raw_server.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <map>
#include <string>
#include <vector>

namespace standin
{

/** @brief Keeps objects by kind and name, and their history. */
class ObjectStore
{
public:
    ObjectStore();
    ~ObjectStore();

    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    /** @brief What a store held at a time. */
    struct Copy {
        std::uint64_t revision = 0;
        std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    };
    Copy copy() const;
    /** @brief Comes back from an older copy: later writes are gone, and their revisions are given out again in a new era. */
    void restore(const Copy &older);
    /** @brief Drops the history, so that watches from an older revision get 410. */
    void compact();
    /** @returns the status that was written to an object; null when there is none. */
    nlohmann::json statusOf(const std::string &kind, const std::string &name) const;
    bool has(const std::string &kind, const std::string &name) const;
    std::string address() const
    {
        return this->server.address();
    }

    std::atomic<bool> refusesAll {false}; ///< All calls get 503.
    std::atomic<int> delayMs {0}; ///< Of all answers.
    std::atomic<bool> losesNextWrite {false}; ///< One write is done and its connection reset.
    std::atomic<std::size_t> calls {0};
    std::atomic<int> firstWaitMs {-1}; ///< Of the first watch since a test set it to -1.

private:
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    bool answer(Socket &socket, const Request &request);
    std::uint64_t currentEra() const;
    /** @brief Writes a status under the object's revision. @returns the object as it is then; another revision leaves it as it is. */
    nlohmann::json writeStatus(const std::string &kind, const std::string &name, const nlohmann::json &written, unsigned &status);
    nlohmann::json list(const std::string &kind) const;
    std::string watch(const std::string &kind, std::uint64_t revision, int waitMs, unsigned &status);
    void note(const std::string &kind, const std::string &name, const nlohmann::json &spec, bool isRemoved);

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 100;
    std::uint64_t oldest = 100;
    std::uint64_t era = 1;
    std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    std::vector<Change> history;
    bool stopping = false;
    RawServer server; ///< Last: its threads use the rest.
};

}
