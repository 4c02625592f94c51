#pragma once

/** @file Settings of the command-line tool. */

#include "process/settings.h"

#include <string>
#include <vector>

namespace eelgrassnotch::ctl
{

/** @brief Operator endpoint of one daemon. */
struct DaemonEndpoint {
    std::string name;
    process::Endpoint endpoint;
};

struct Settings {
    process::Endpoint platform;
    std::vector<DaemonEndpoint> daemons;
    std::string operatorKey; ///< From operatorKeyFile; empty for none.
};

/** @throws version::ConfigurationError naming the key, the value and what is allowed. */
Settings readSettings(const std::string &path);

}
