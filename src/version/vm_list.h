#pragma once

/** @file The platform's list of live VMs. */

#include "process/membership.h"
#include "version/checked_json.h"

#include <string>
#include <vector>

namespace eelgrassnotch::version
{

/**
 * @brief Reads the platform's list of VMs that run a daemon.
 * @param text JSON array of objects with name, address, port and dataCentre.
 * @throws ConfigurationError naming the first value at fault.
 */
std::vector<process::DaemonIdentity> parseVmList(const std::string &text);

/** @brief Reads one VM of such a list. @throws ConfigurationError */
process::DaemonIdentity parseVm(const CheckedJson &source);

}
