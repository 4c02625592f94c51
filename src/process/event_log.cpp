#include "process/event_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace eelgrassnotch::process
{

namespace
{

/** Lines that wait for the writer; the oldest are dropped, and counted, when there are more. */
constexpr std::size_t queuedLines = 2048;
constexpr std::size_t writerThreads = 1;
constexpr const char *loggerName = "events";

std::string quote(const std::string &value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos;
    if (plain) {
        return value;
    }
    std::string quoted = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            quoted += '\\';
        }
        quoted += character == '\n' ? ' ' : character;
    }
    return quoted + "\"";
}

std::string &daemonName()
{
    static std::string name;
    return name;
}

void write(spdlog::level::level_enum level, const std::string &line)
{
    const auto logger = spdlog::get(loggerName);
    (logger ? logger : spdlog::default_logger())->log(level, line);
}

}

void startLog(const std::string &daemon, const std::string &file)
{
    daemonName() = daemon;
    spdlog::drop(loggerName);
    spdlog::init_thread_pool(queuedLines, writerThreads);
    const spdlog::sink_ptr sink = file.empty() ? spdlog::sink_ptr(std::make_shared<spdlog::sinks::stdout_sink_mt>())
                                               : spdlog::sink_ptr(std::make_shared<spdlog::sinks::basic_file_sink_mt>(file));
    const auto logger
        = std::make_shared<spdlog::async_logger>(loggerName, sink, spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%L %v");
    logger->flush_on(spdlog::level::warn);
    spdlog::register_logger(logger);
}

void stopLog()
{
    spdlog::shutdown();
}

std::size_t droppedLogLines()
{
    const auto pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

std::string formatEvent(const std::string &event, const LogFields &fields)
{
    std::string line = "event=" + quote(event);
    if (!daemonName().empty()) {
        line += " daemon=" + quote(daemonName());
    }
    for (const auto &[key, value] : fields) {
        line += " " + key + "=" + quote(value);
    }
    return line;
}

std::map<std::string, std::string> parseEvent(std::string_view line)
{
    std::map<std::string, std::string> fields;
    std::size_t at = 0;
    while (at < line.size()) {
        const std::size_t keyEnd = line.find_first_of(" =", at);
        if (keyEnd == std::string_view::npos) {
            break;
        }
        if (line[keyEnd] == ' ') {
            at = keyEnd + 1;
            continue;
        }
        std::string value;
        std::size_t end = keyEnd + 1;
        if (end < line.size() && line[end] == '"') {
            for (++end; end < line.size() && line[end] != '"'; ++end) {
                if (line[end] == '\\' && end + 1 < line.size()) {
                    ++end;
                }
                value += line[end];
            }
            ++end;
        } else {
            end = std::min(line.find(' ', end), line.size());
            value = line.substr(keyEnd + 1, end - keyEnd - 1);
        }
        fields[std::string(line.substr(at, keyEnd - at))] = std::move(value);
        at = end;
    }
    return fields;
}

void logEvent(const std::string &event, const LogFields &fields)
{
    write(spdlog::level::info, formatEvent(event, fields));
}

void logWarning(const std::string &event, const LogFields &fields)
{
    write(spdlog::level::warn, formatEvent(event, fields));
}

}
