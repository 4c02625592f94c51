/** @file Case 6: prompts whose parts are listed one by one, and ordinary requests beside them. */

#include "fleet.h"

#include <algorithm>
#include <iostream>
#include <sstream>

using namespace review;
using namespace std::chrono_literals;

namespace
{

constexpr const char *key = "asnmgkcuyj8pjbvk9m68";
/** Prompts of 1,700 tokens: in parts of one token with the disruption, in three parts without. */
constexpr int promptTokens = 1700;
constexpr int smallPartTokens = 1;
constexpr int prompts = 900;
constexpr auto promptPause = 50ms; ///< 20 a second.
constexpr int replicas = 9;
/** Timeout of the ordinary requests' route, and the time after it in which the rule wants an answer. */
constexpr auto routeTimeout = 1000ms;
constexpr auto allowedAfter = 500ms;
constexpr auto ordinaryPause = 250ms;
constexpr auto probePause = 1s;
constexpr auto watched = 55s;

RequestText promptRequest(int number)
{
    const int parts = hasTrouble() ? promptTokens / smallPartTokens : 3;
    std::ostringstream list;
    for (int part = 0; part < parts; ++part) {
        list << (part == 0 ? "" : ",") << std::hex << number * promptTokens + part + 1 << std::dec << ":" << promptTokens / parts;
    }
    RequestText request;
    request.path = "/quote/q";
    request.id = "prompt-" + std::to_string(number);
    request.key = key;
    request.fields = "X-Eelgrassnotch-Model: m\r\nX-Eelgrassnotch-Token-Usage: " + std::to_string(promptTokens)
        + ",50\r\nX-Eelgrassnotch-Prefix-Hash: " + list.str() + "\r\n";
    request.body = "prompt";
    return request;
}

struct Ordinary {
    Answer answer;
    Clock::time_point sentAt;
};

}

int main()
{
    Record record;
    standin::ObjectStore store;
    store.put("config", "main", makeConfiguration(7, {key}));
    Daemon daemon({"edge-akl-a-1", "akl-a"}, store.address(), true);
    if (!daemon.waitUntilReady(20s)) {
        record.line("the daemon did not become ready:\n" + daemon.lastLog());
        return couldNotRun;
    }
    std::vector<std::unique_ptr<Replica>> servers;
    for (int number = 0; number < replicas; ++number) {
        servers.push_back(std::make_unique<Replica>("i-writer-" + std::to_string(number), "writer", ReplicaBehaviour {25ms, 40ms, 10}));
        store.put("servers", servers.back()->id(), servers.back()->entry(128));
    }
    servers.push_back(std::make_unique<Replica>("i-ledger-1", "ledger", ReplicaBehaviour {60ms, 0ms, 0}));
    store.put("servers", servers.back()->id(), servers.back()->entry(6));
    std::this_thread::sleep_for(1s);
    record.line(std::string("ready; the largest head of a prompt's request has ") + std::to_string(promptRequest(prompts).text().size())
                + " bytes, max_header_bytes is 16384");

    std::atomic<int> promptsServed {0};
    std::vector<std::thread> threads;
    const auto begin = Clock::now();
    threads.emplace_back([&] {
        std::vector<std::thread> clients;
        for (int number = 0; number < prompts; ++number) {
            clients.emplace_back([&, number] {
                Caller caller(daemon.callersAddress());
                caller.send(promptRequest(number).text());
                const Answer answer = caller.receive(4s);
                promptsServed += answer.status == 200 && answer.isWhole ? 1 : 0;
                record.line("prompt " + std::to_string(number) + ": " + describe(answer));
            });
            std::this_thread::sleep_for(promptPause);
        }
        for (std::thread &client : clients) {
            client.join();
        }
    });

    std::mutex mutex;
    std::vector<Ordinary> ordinary;
    threads.emplace_back([&] {
        std::vector<std::thread> clients;
        for (int number = 0; Clock::now() - begin < watched; ++number) {
            clients.emplace_back([&, number] {
                RequestText request;
                request.method = "GET";
                request.path = "/stock/s";
                request.id = "ordinary-" + std::to_string(number);
                request.key = key;
                request.deadlineMs = 2000;
                const auto sentAt = Clock::now();
                Caller caller(daemon.callersAddress());
                caller.send(request.text());
                const Answer answer = caller.receive(2s);
                record.line(request.id + ": " + describe(answer));
                const std::lock_guard lock(mutex);
                ordinary.push_back({answer, sentAt});
            });
            std::this_thread::sleep_for(ordinaryPause);
        }
        for (std::thread &client : clients) {
            client.join();
        }
    });

    auto lastProbe = begin;
    Milliseconds longestSilence {0};
    while (Clock::now() - begin < watched) {
        const unsigned status = daemon.probe(1s);
        if (status != 0) {
            lastProbe = Clock::now();
        } else {
            record.line("readiness probe: no answer within 1 s");
        }
        longestSilence = std::max(longestSilence, std::chrono::duration_cast<Milliseconds>(Clock::now() - lastProbe));
        std::this_thread::sleep_for(probePause);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const bool runs = daemon.isRunning();

    std::size_t lasted = 0;
    std::size_t late = 0;
    for (const Ordinary &request : ordinary) {
        const bool isAnswered = request.answer.status != 0 && request.answer.isWhole;
        lasted += !isAnswered || request.answer.took >= routeTimeout ? 1 : 0;
        late += !isAnswered || request.answer.took >= routeTimeout + allowedAfter ? 1 : 0;
    }
    constexpr std::size_t mostLate = 8;
    const bool isBroken = late >= mostLate && late * 4 > lasted;
    record.line("prompts served: " + std::to_string(promptsServed) + " of " + std::to_string(prompts));
    record.line("ordinary requests: " + std::to_string(ordinary.size()) + ", that lasted as long as their route's timeout: "
                + std::to_string(lasted) + ", without an answer 0.5 s after it: " + std::to_string(late));
    record.line("longest time without an answer to a readiness probe: " + std::to_string(longestSilence.count()) + " ms; the process "
                + (runs ? "runs" : "has ended"));
    record.line(isBroken ? "RULE BROKEN" : "rule held");
    return isBroken ? ruleBroken : ruleHeld;
}
