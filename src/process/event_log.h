#pragma once

/** @file Log of events: one line of key=value pairs each. */

#include <string>
#include <utility>
#include <vector>

namespace eelgrassnotch::process
{

using LogFields = std::vector<std::pair<std::string, std::string>>;

/** @brief Sets up the log. @param file Path of the log file; empty for standard error only. */
void startLog(const std::string &daemon, const std::string &file);
/** @brief Writes one event; values with spaces or quotes are quoted. */
void logEvent(const std::string &event, const LogFields &fields);
/** @brief Writes one event that needs an operator's look. */
void logWarning(const std::string &event, const LogFields &fields);
/** @returns the line of an event without its time. */
std::string formatEvent(const std::string &event, const LogFields &fields);

}
