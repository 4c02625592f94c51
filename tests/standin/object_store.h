#pragma once

/** @file A stand-in for the platform's store: objects with revisions, watches, and faults that a test sets. */

#include "standin/raw_server.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <limits>
#include <map>
#include <optional>
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
    /** @brief Stores an object whose JSON text is told as it is, also where it is none. */
    void putText(const std::string &kind, const std::string &name, const std::string &text);
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
    /** Changes the answer to a list call: its status and its body. */
    using ListFault = std::function<void(const std::string &kind, const std::string &afterName, unsigned &status, std::string &body)>;
    /** @brief Lets a function spoil the answers to list calls from now on. */
    void setListFault(ListFault fault);
    /** @brief Lets answers to list calls of a kind break off where a text stands in their body, until another is named. */
    void breakListsAt(const std::string &kind, const std::string &text);
    /** @returns the status that was written to an object; null when there is none. */
    nlohmann::json statusOf(const std::string &kind, const std::string &name) const;
    bool has(const std::string &kind, const std::string &name) const;
    std::string address() const
    {
        return this->server.address();
    }

    std::atomic<std::size_t> pageLength {500}; ///< Objects in one answer to a list call.
    std::atomic<std::size_t> pageBytes {std::numeric_limits<std::size_t>::max()}; ///< After which an answer to a list call ends.
    std::atomic<bool> refusesAll {false}; ///< All calls get 503.
    std::atomic<bool> refusesUnknownCursors {false}; ///< List calls that go on after a name that the store doesn't hold get 404.
    std::atomic<int> delayMs {0}; ///< Of all answers.
    std::atomic<int> watchDelayMs {0}; ///< Of the answers to watches, beside the delay of all.
    std::atomic<bool> cutsWatches {false}; ///< Connections with a watch are reset.
    std::atomic<bool> losesNextWrite {false}; ///< One write is done and its connection reset.
    std::atomic<std::size_t> calls {0};
    std::atomic<int> firstWaitMs {-1}; ///< Of the first watch since a test set it to -1.

private:
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    /** @brief What a call names, with its query decoded as a form. */
    struct Target {
        std::string kind;
        std::string name;
        bool isStatus = false;
        std::map<std::string, std::string> query;
    };

    /** @returns nothing for bytes that no target may have, an escape that is none, a parameter that the store doesn't know, or one told
     * twice. */
    static std::optional<Target> readTarget(const std::string &text);
    bool answer(Socket &socket, const Request &request);
    std::string carryOut(const Request &request, const Target &target, unsigned &status);
    std::uint64_t currentEra() const;
    /** @brief Writes a status under the object's revision. @returns the object as it is then; another revision leaves it as it is. */
    nlohmann::json writeStatus(const std::string &kind, const std::string &name, const nlohmann::json &written, unsigned &status);
    /** @returns the bytes of the body that are told. */
    std::size_t toldBytes(const std::string &kind, const std::string &body) const;
    /** @returns the object as it is told. */
    std::string textOf(const std::string &kind, const nlohmann::json &object) const;
    /** @brief One page: the objects whose names follow another one. */
    std::string list(const std::string &kind, const std::string &afterName) const;
    std::string watch(const std::string &kind, std::uint64_t revision, int waitMs, unsigned &status);
    void note(const std::string &kind, const std::string &name, const nlohmann::json &spec, bool isRemoved);

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 100;
    std::uint64_t oldest = 100;
    std::uint64_t era = 1;
    std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    std::map<std::string, std::map<std::string, std::string>> texts; ///< Of objects that are told otherwise than they are.
    std::vector<Change> history;
    ListFault listFault;
    std::map<std::string, std::string> breakTexts; ///< By kind.
    bool stopping = false;
    RawServer server; ///< Last: its threads use the rest.
};

}
