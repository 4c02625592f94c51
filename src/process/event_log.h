#pragma once

/** @file Log of events: one line of key=value pairs each. */

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace eelgrassnotch::process
{

using LogFields = std::vector<std::pair<std::string, std::string>>;

/** @brief Sets up the log; lines are written by a thread of its own. @param file Path of the log file; empty for standard output. */
void startLog(const std::string &daemon, const std::string &file);
/**
 * @brief Collects lines that come in quick succession, and hands them to the writer together.
 *
 * A line after a pause is handed over at once. Each line by itself would wake
 * the writer's thread, which costs a busy VM more processor time than the line.
 *
 * @remarks flushLog() must be called several times a second from then on. Lines that a killed process had collected are lost.
 */
void collectLogLines();
/** @brief Hands collected lines to the writer. */
void flushLog();
/** @brief Writes the lines that wait, and ends the writer. */
void stopLog();
/** @returns lines that were dropped because the writer could not keep up. */
std::size_t droppedLogLines();
/** @brief Writes one event; values with spaces or quotes are quoted. */
void logEvent(const std::string &event, const LogFields &fields);
/** @brief Writes one event that needs an operator's look. */
void logWarning(const std::string &event, const LogFields &fields);
/**
 * @brief Writes one of the events that others can cause without bound, such as entries of the store that can't be read.
 * @remarks Of each event, 20 lines are written in 10 s; `lines_skipped` tells how many more there were.
 */
void logBounded(const std::string &event, const LogFields &fields);
/** @returns the line of an event without its time. */
std::string formatEvent(const std::string &event, const LogFields &fields);
/** @returns the fields of a line as formatEvent() and the log write them; words without "=" are passed over. */
std::map<std::string, std::string> parseEvent(std::string_view line);

}
