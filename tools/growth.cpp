/** @file Measures how the work of a daemon's event loop grows with the parts of a prompt and with the entries of a list. */

#include "process/clock.h"
#include "process/directory/backend_directory.h"
#include "process/dispatch/part_quarantine.h"
#include "process/dispatch/prefix_cache_model.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace eelgrassnotch;
using namespace std::chrono_literals;

constexpr std::size_t sizes[] = {10, 100, 1000, 10'000};
/** Prompts that come between two looks of the daemon. */
constexpr std::size_t prompts = 20;

request::Prompt makePrompt(std::uint64_t firstPart, std::size_t parts)
{
    request::Prompt prompt {static_cast<std::uint32_t>(parts + 1), 10, {}};
    for (std::size_t part = 0; part <= parts; ++part) {
        prompt.parts.push_back({firstPart + part, 1});
    }
    return prompt;
}

/** @returns the median of several runs, in ms. */
double measure(const std::function<void()> &prepare, const std::function<void()> &step)
{
    constexpr std::size_t runs = 5;
    std::vector<double> times;
    for (std::size_t run = 0; run < runs; ++run) {
        prepare();
        const Time begin = process::readClock();
        step();
        times.push_back(std::chrono::duration<double, std::milli>(process::readClock() - begin).count());
    }
    std::sort(times.begin(), times.end());
    return times[runs / 2];
}

void print(const char *what, std::size_t size, std::size_t count, double time)
{
    std::printf("%-52s %6zu %10.3f ms %9.3f us each\n", what, size, time, 1000 * time / static_cast<double>(count));
}

void measureParts(std::size_t parts)
{
    using process::dispatch::PartQuarantine;
    std::optional<PartQuarantine> quarantine;
    std::uint64_t firstPart = 1;
    Time now = 100s;
    std::vector<request::Prompt> batch;
    const auto restart = [&] {
        quarantine.emplace([](const process::dispatch::QuarantineChange &) {}, DaemonHandle {1});
        batch.clear();
        for (std::size_t prompt = 0; prompt < prompts; ++prompt, firstPart += parts + 1) {
            batch.push_back(makePrompt(firstPart, parts));
        }
    };
    const auto write = [&] {
        for (const request::Prompt &prompt : batch) {
            quarantine->recordWritten(prompt, now);
        }
        quarantine->update(now);
    };
    const auto lose = [&] {
        for (const request::Prompt &prompt : batch) {
            quarantine->recordLoss(1, prompt, now);
        }
        quarantine->update(now);
    };
    const std::size_t count = prompts * parts;
    print("20 prompts are answered, and the daemon looks", parts, count, measure(restart, write));
    print("20 prompts are lost, and the daemon looks", parts, count, measure(restart, lose));
    print("all of it is forgotten", parts, count,
          measure(
              [&] {
                  restart();
                  write();
              },
              [&] { quarantine->update(now + 1h); }));
    print("evidence is told", parts, 1,
          measure(
              [&] {
                  restart();
                  lose();
              },
              [&] { quarantine->evidence(now); }));
    process::dispatch::PrefixCacheModel model(2 * parts);
    print("20 prompts are recorded in a model of a cache", parts, count, measure(restart, [&] {
              for (const request::Prompt &prompt : batch) {
                  model.recordPrompt(prompt, now);
              }
          }));
}

void measureEntries(std::size_t entries)
{
    std::vector<process::directory::BackendRecord> records(entries);
    for (std::size_t index = 0; index < entries; ++index) {
        records[index].id = "i-" + std::to_string(index);
        records[index].service = "service";
    }
    std::optional<process::directory::BackendDirectory> directory;
    const auto restart
        = [&] { directory.emplace([](const std::string &) { return 0U; }, [](const process::directory::BackendChange &) {}); };
    print("a list of backend servers is read", entries, entries, measure(restart, [&] { directory->replaceAll(records, 100s); }));
}

}

int main()
{
    for (const std::size_t size : sizes) {
        measureParts(size);
        measureEntries(size);
    }
}
