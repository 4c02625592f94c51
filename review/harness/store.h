#pragma once

/** @file The platform's store: objects by kind and name, revisions, lists and watches. */

#include "server.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>

namespace harness
{

/** @brief Keeps all that is written, and its whole history. */
class Store
{
public:
    Store();
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    /** @brief Writes an object, as the operator or a replica does. */
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    /** @brief What a store held at a time. */
    struct Copy {
        std::uint64_t revision = 0;
        std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    };
    Copy copy();
    /** @brief Goes away: all calls end without an answer, waiting watches too. */
    void leave();
    /** @brief Comes back from a copy: what was written since is gone, and an era begins. */
    void comeBack(const Copy &older);
    std::string address() const
    {
        return this->server.address();
    }

private:
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    bool answer(Socket &socket, const Request &request);
    nlohmann::json list(const std::string &kind);
    /** @returns null when the history since then is not known, or the store goes away. */
    nlohmann::json watch(const std::string &kind, std::uint64_t from, int waitMs);
    bool isAway();
    std::uint64_t currentEra();
    /** @returns the object; the lock is held. */
    nlohmann::json write(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void erase(const std::string &kind, const std::string &name);

    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 100;
    std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    std::vector<Change> history;
    std::uint64_t era = 1;
    bool away = false;
    bool stopping = false;
    Server server; ///< Last: its threads use the rest.
};

}
