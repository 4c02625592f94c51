#pragma once

/** @file The platform's objects over HTTP with conditional requests (RFC 9110, section 13). */

#include "process/platform_store.h"
#include "process/settings.h"

#include <atomic>
#include <functional>
#include <memory>

namespace eelgrassnotch::process
{

/** @brief Runs a function on the thread that owns the core. */
using Poster = std::function<void(std::function<void()>)>;

/**
 * @brief Store behind GET, PUT and DELETE of /objects/KEY with ETag, If-Match and If-None-Match.
 * @remarks A watch is a GET with "watch" and "known" in its query; it waits at the platform.
 */
class PlatformHttp : public PlatformStore
{
public:
    /** @param post Brings answers to the thread of the core. */
    PlatformHttp(const Endpoint &platform, Poster post);
    ~PlatformHttp() override;

    void read(const std::string &key, Callback callback) override;
    void create(const std::string &key, const std::string &value, Callback callback) override;
    void update(const std::string &key, const std::string &value, std::uint64_t version, Callback callback) override;
    void remove(const std::string &key, std::uint64_t version, Callback callback) override;
    void watch(const std::string &key, std::uint64_t knownVersion, Callback callback) override;

    /** @returns calls made so far; a waiting watch counts as one. */
    std::uint64_t calls() const
    {
        return this->callCount.load();
    }

private:
    class Client;
    std::unique_ptr<Client> client;
    std::atomic<std::uint64_t> callCount {0};
};

}
