#include "process/published.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace eelgrassnotch::process;

namespace
{

/** Two fields that must always be seen together. */
struct Pair {
    int first = 0;
    int second = 0;
};

}

TEST_CASE("readers see whole values while they are replaced")
{
    Published<Pair> published;
    CHECK(published.read([](const Pair *value) { return value == nullptr; }));
    published.publish(std::make_unique<Pair>(Pair {0, 0}));
    std::atomic<bool> stop {false};
    std::atomic<int> torn {0};
    constexpr int readerCount = 4;
    std::vector<std::thread> readers;
    readers.reserve(readerCount);
    for (int reader = 0; reader < readerCount; ++reader) {
        readers.emplace_back([&] {
            while (!stop) {
                published.read([&](const Pair *value) { torn += value->first != value->second ? 1 : 0; });
            }
        });
    }
    for (int number = 1; number <= 200; ++number) {
        published.publish(std::make_unique<Pair>(Pair {number, number}));
    }
    stop = true;
    for (std::thread &reader : readers) {
        reader.join();
    }
    CHECK(torn == 0);
}
