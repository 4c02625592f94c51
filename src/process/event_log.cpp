#include "process/event_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

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

void logEvent(const std::string &event, const LogFields &fields)
{
    write(spdlog::level::info, formatEvent(event, fields));
}

void logWarning(const std::string &event, const LogFields &fields)
{
    write(spdlog::level::warn, formatEvent(event, fields));
}

}
