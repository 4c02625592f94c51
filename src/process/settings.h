#pragma once

/** @file Settings of one daemon, read once from a JSON file. */

#include "eelgrassnotch/types.h"
#include "process/membership.h"

#include "version/checked_json.h"

#include <string>
#include <vector>

namespace eelgrassnotch::process
{

/** @brief Address that is listened on or connected to. */
struct Endpoint {
    std::string address; ///< IP number.
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;
};

struct Settings {
    std::string name;
    std::string dataCentre;
    Endpoint callers; ///< Requests, health and readiness.
    Endpoint peers; ///< Frames of other daemons.
    Endpoint operators; ///< Status and metrics.
    Endpoint platform;
    std::vector<DaemonIdentity> seeds; ///< Daemons to know at a start without the platform.
    std::string linkKey; ///< From linkKeyFile; empty for none.
    std::string operatorKey; ///< From operatorKeyFile; empty for none.
    std::string logFile;
    Duration stopTimeout = std::chrono::seconds(30); ///< Bound on a planned stop.
    std::uint32_t threads = 16; ///< Threads for HTTP.

    bool operator==(const Settings &) const = default;
};

/**
 * @brief Reads and checks a settings file, and the key files that it names.
 * @throws version::ConfigurationError naming the key, the value and what is allowed.
 * @throws std::runtime_error when a file can't be read.
 */
Settings readSettings(const std::string &path);

/** @brief Reads an object with address and port. @throws version::ConfigurationError */
Endpoint parseEndpoint(const version::CheckedJson &source);

/**
 * @brief Reads the key from the file that a member names.
 * @returns the empty key when the member is absent.
 * @throws version::ConfigurationError when the file holds no key.
 */
std::string readKeyFile(const version::CheckedJson &root, const char *member);

}
