#pragma once

/** @file State of one daemon as a JSON document for operators. */

#include "process/node.h"

#include <string>

namespace eelgrassnotch::process
{

/** @returns version in force, members, roles, pools with limits and queues, and the age of what is known. */
std::string describeStatus(const Node &node, Time now);

}
