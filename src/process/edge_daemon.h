#pragma once

/** @file A daemon between callers and backend servers that register in the platform's store. */

#include "process/edge_settings.h"
#include "process/proxy_dialect.h"

#include <functional>
#include <memory>

namespace eelgrassnotch::process
{

/** @brief Owns listeners, watchers and the proxy; runs until a planned stop. */
class EdgeDaemon
{
public:
    /** Reads the settings again; throws when they are not valid. */
    using ReadSettings = std::function<EdgeSettings()>;

    /** @throws std::exception when an address can't be listened on. */
    EdgeDaemon(const EdgeSettings &settings, std::shared_ptr<const ProxyDialect> dialect, ReadSettings readSettings);
    ~EdgeDaemon();
    EdgeDaemon(const EdgeDaemon &) = delete;
    EdgeDaemon &operator=(const EdgeDaemon &) = delete;

    /** @brief Runs until SIGTERM or SIGINT has come and all requests have ended, or the grace is over. */
    void run();
    /** @brief Asks for a planned stop as SIGTERM does; may be called from any thread. */
    void requestStop();

private:
    class Parts;
    std::unique_ptr<Parts> parts;
};

}
