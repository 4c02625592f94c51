#pragma once

/** @file The platform's objects in memory, with outages, delays and lost answers. */

#include "emulator/event_queue.h"
#include "process/platform_store.h"

#include <functional>
#include <list>
#include <map>
#include <string>

namespace eelgrassnotch::emulator
{

/** @brief Objects with versions and watches, shared by all clients. */
class Platform
{
public:
    explicit Platform(EventQueue &events);

    /** @brief Writes without a condition, as an operator would with force. @returns the new version. */
    std::uint64_t put(const std::string &key, const std::string &value);
    std::string value(const std::string &key) const;
    std::uint64_t version(const std::string &key) const;
    std::size_t countWithPrefix(const std::string &prefix) const;

    bool outage = false;
    int loseAnswers = 0; ///< Writes whose answer will be lost after their effect.
    Duration delay = std::chrono::milliseconds(4);
    std::uint64_t calls = 0;

private:
    friend class PlatformClient;
    struct Object {
        std::uint64_t version = 0;
        std::string value;
    };
    struct Watch {
        std::uint64_t id = 0;
        std::string key;
        process::PlatformStore::Callback callback;
    };

    void wake(const std::string &key);

    EventQueue &events;
    std::map<std::string, Object> objects;
    std::list<Watch> watches;
    std::uint64_t lastVersion = 0;
    std::uint64_t nextWatch = 0;
};

/** @brief One daemon's way to the platform. */
class PlatformClient : public process::PlatformStore
{
public:
    /** @param deliver Runs a callback in its daemon's turn. */
    PlatformClient(Platform &platform, std::function<void(std::function<void()>)> deliver);

    void read(const std::string &key, Callback callback) override;
    void create(const std::string &key, const std::string &value, Callback callback) override;
    void update(const std::string &key, const std::string &value, std::uint64_t version, Callback callback) override;
    void remove(const std::string &key, std::uint64_t version, Callback callback) override;
    void watch(const std::string &key, std::uint64_t knownVersion, Callback callback) override;

    bool cutOff = false;

private:
    using Effect = std::function<process::StoreAnswer()>;
    void call(bool isWrite, const Effect &effect, const Callback &callback);
    void answer(const process::StoreAnswer &answer, const Callback &callback);

    Platform &platform;
    std::function<void(std::function<void()>)> deliver;
};

}
