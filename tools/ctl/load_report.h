#pragma once

/** @file Figures of a load run, as JSON and as a table. */

#include "ctl/load_run.h"

#include <string>

namespace eelgrassnotch::ctl
{

/** @returns per stream and per workspace: answers, refusals by reason, latencies in ms, service over share; control traffic of the fleet.
 */
nlohmann::json summarize(const Experiment &experiment, const LoadOutcome &outcome);

/** @returns the same for people. */
std::string formatTable(const nlohmann::json &summary);

}
