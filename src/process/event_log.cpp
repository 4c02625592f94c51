#include "process/event_log.h"

#include <spdlog/async.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <string_view>

namespace eelgrassnotch::process
{

namespace
{

/** Lines that wait for the writer; the oldest are dropped, and counted, when there are more. */
constexpr std::size_t queuedLines = 2048;
constexpr std::size_t writerThreads = 1;
constexpr const char *loggerName = "events";
/** Batches of collected lines that wait for the writer; the newest is dropped, and its lines are counted, when there are more. */
constexpr std::size_t queuedBatches = 64;
constexpr std::size_t maxBatchBytes = 32u << 10;
/** Longer values are cut: some come from callers, backend servers or entries of the store. */
constexpr std::size_t maxValueBytes = 512;
/** A line after a pause of this length is not collected. */
constexpr auto quietPeriod = std::chrono::milliseconds(50);
/** Lines of one bounded event in one period. */
constexpr std::size_t boundedLines = 20;
constexpr auto boundedPeriod = std::chrono::seconds(10);
constexpr const char *linePattern = "time=%Y-%m-%dT%H:%M:%S.%e level=%L %v";

/** Lines that were formatted and wait to be handed to the writer together. */
struct Batch {
    std::mutex mutex;
    spdlog::pattern_formatter formatter {linePattern};
    std::string text;
    std::size_t lines = 0;
    std::size_t droppedLines = 0;
    std::chrono::steady_clock::time_point handedOverAt;
    bool isCollecting = false;
};

/** Lines of a bounded event in the present period. */
struct BoundedEvent {
    std::chrono::steady_clock::time_point begunAt;
    std::size_t lines = 0;
};

struct BoundedEvents {
    std::mutex mutex;
    std::map<std::string, BoundedEvent> byName;
};

BoundedEvents &boundedEvents()
{
    static BoundedEvents instance;
    return instance;
}

Batch &batch()
{
    static Batch instance;
    return instance;
}

bool isControl(char character)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleted = 0x7F;
    const auto byte = static_cast<unsigned char>(character);
    return byte < firstPrintable || byte == deleted;
}

std::string quote(std::string_view value)
{
    const bool isPlain = !value.empty() && value.size() <= maxValueBytes && value.find_first_of(" \"=") == std::string_view::npos
        && std::none_of(value.begin(), value.end(), isControl);
    if (isPlain) {
        return std::string(value);
    }
    std::string quoted = "\"";
    for (const char character : value.substr(0, maxValueBytes)) {
        if (character == '"' || character == '\\') {
            quoted += '\\';
        }
        quoted += isControl(character) ? ' ' : character;
    }
    return quoted + (value.size() > maxValueBytes ? "...\"" : "\"");
}

std::string &daemonName()
{
    static std::string name;
    return name;
}

/** Hands the collected lines over; the batch is locked by the caller. */
void handOver(Batch &collected)
{
    collected.handedOverAt = std::chrono::steady_clock::now();
    if (collected.text.empty()) {
        return;
    }
    if (spdlog::thread_pool()->queue_size() >= queuedBatches) {
        collected.droppedLines += collected.lines;
    } else if (const auto logger = spdlog::get(loggerName)) {
        logger->log(spdlog::level::info, collected.text);
    }
    collected.text.clear();
    collected.lines = 0;
}

void write(spdlog::level::level_enum level, const std::string &line)
{
    Batch &collected = batch();
    const std::lock_guard lock(collected.mutex);
    if (!collected.isCollecting) {
        const auto logger = spdlog::get(loggerName);
        (logger ? logger : spdlog::default_logger())->log(level, line);
        return;
    }
    spdlog::memory_buf_t formatted;
    collected.formatter.format(spdlog::details::log_msg(loggerName, level, line), formatted);
    collected.text.append(formatted.data(), formatted.size());
    ++collected.lines;
    const bool isAfterPause = std::chrono::steady_clock::now() - collected.handedOverAt >= quietPeriod;
    if (isAfterPause || level >= spdlog::level::warn || collected.text.size() >= maxBatchBytes) {
        handOver(collected);
    }
}

/** Ends the periods that are over, and tells what was skipped in them. */
void endBoundedPeriods(bool isStopping)
{
    std::vector<std::pair<std::string, std::size_t>> skipped;
    {
        BoundedEvents &bounded = boundedEvents();
        const std::lock_guard lock(bounded.mutex);
        const auto now = std::chrono::steady_clock::now();
        std::erase_if(bounded.byName, [&](const auto &entry) {
            const auto &[name, event] = entry;
            const bool isOver = isStopping || now - event.begunAt >= boundedPeriod;
            if (isOver && event.lines > boundedLines) {
                skipped.emplace_back(name, event.lines - boundedLines);
            }
            return isOver;
        });
    }
    for (const auto &[name, lines] : skipped) {
        logWarning("lines_skipped", {{"of", name}, {"lines", std::to_string(lines)}});
    }
}

}

void startLog(const std::string &daemon, const std::string &file)
{
    daemonName() = daemon;
    {
        const std::lock_guard lock(batch().mutex);
        batch().isCollecting = false;
    }
    spdlog::drop(loggerName);
    spdlog::init_thread_pool(queuedLines, writerThreads);
    const spdlog::sink_ptr sink = file.empty() ? spdlog::sink_ptr(std::make_shared<spdlog::sinks::stdout_sink_mt>())
                                               : spdlog::sink_ptr(std::make_shared<spdlog::sinks::basic_file_sink_mt>(file));
    const auto logger
        = std::make_shared<spdlog::async_logger>(loggerName, sink, spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    logger->set_pattern(linePattern);
    logger->flush_on(spdlog::level::warn);
    spdlog::register_logger(logger);
}

void collectLogLines()
{
    Batch &collected = batch();
    const std::lock_guard lock(collected.mutex);
    if (const auto logger = spdlog::get(loggerName)) {
        // Lines are formatted as they are collected.
        logger->set_formatter(std::make_unique<spdlog::pattern_formatter>("%v", spdlog::pattern_time_type::local, ""));
        logger->flush_on(spdlog::level::info);
        collected.isCollecting = true;
    }
}

void flushLog()
{
    endBoundedPeriods(false);
    Batch &collected = batch();
    const std::lock_guard lock(collected.mutex);
    if (collected.isCollecting) {
        handOver(collected);
    }
}

void stopLog()
{
    endBoundedPeriods(true);
    flushLog();
    {
        Batch &collected = batch();
        const std::lock_guard lock(collected.mutex);
        collected.isCollecting = false;
    }
    spdlog::shutdown();
}

std::size_t droppedLogLines()
{
    const auto pool = spdlog::thread_pool();
    Batch &collected = batch();
    const std::lock_guard lock(collected.mutex);
    return collected.droppedLines + (pool ? pool->overrun_counter() : 0);
}

void logBounded(const std::string &event, const LogFields &fields)
{
    endBoundedPeriods(false);
    {
        BoundedEvents &bounded = boundedEvents();
        const std::lock_guard lock(bounded.mutex);
        BoundedEvent &known = bounded.byName.try_emplace(event, BoundedEvent {std::chrono::steady_clock::now(), 0}).first->second;
        if (++known.lines > boundedLines) {
            return;
        }
    }
    logWarning(event, fields);
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
