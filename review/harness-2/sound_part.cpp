/** @file Case 10: a caller that is quiet for some seconds, while its first part comes together with one that ends replicas. */

#include "fleet.h"

#include <algorithm>
#include <iostream>
#include <sstream>

using namespace review;
using namespace std::chrono_literals;

namespace
{

constexpr const char *key = "asnmgkcuyj8pjbvk9m68";
constexpr int replicas = 9;
/** The part that ends replicas, and the first part of all prompts of the caller. */
constexpr const char *badPart = "bad";
constexpr const char *firstPart = "f1257";
constexpr int firstTokens = 340;
constexpr int sharedTokens = 230;
constexpr int ownTokens = 1230;
constexpr auto soundPause = 500ms;
constexpr auto badPause = 3s;
constexpr auto backAfter = 2s;
constexpr auto coldTime = 3s;
constexpr auto entryLife = 3600ms; ///< A replica that is silent for three heartbeats loses its entry.
/** The caller's sound requests pause in between; the bad ones begin within the pause and come until the end. */
constexpr auto quietFrom = 15s;
constexpr auto badFrom = 18s;
constexpr auto quietUntil = 29s;
constexpr auto watched = 65s;
/** What the rule names: twice contact_ms after the last crash, 20 requests of each, half as often. */
constexpr auto afterCrash = 6000ms;
constexpr std::size_t crashesBefore = 5;
constexpr std::size_t leastRequests = 20;

RequestText promptRequest(const std::string &id, int number, bool isBad)
{
    std::ostringstream list;
    list << firstPart << ":" << firstTokens << "," << (isBad ? std::string(badPart) : "5e55" + std::to_string(number % 4)) << ":"
         << sharedTokens << "," << std::hex << 0xf100000 + number << std::dec << ":" << ownTokens;
    RequestText request;
    request.path = "/quote/q";
    request.id = id;
    request.key = key;
    request.deadlineMs = 3000;
    request.fields = "X-Eelgrassnotch-Model: m\r\nX-Eelgrassnotch-Token-Usage: " + std::to_string(firstTokens + sharedTokens + ownTokens)
        + ",50\r\nX-Eelgrassnotch-Prefix-Hash: " + list.str() + "\r\n";
    request.body = "prompt";
    return request;
}

struct Server {
    std::unique_ptr<Replica> replica;
    Clock::time_point backAt;
    int starts = 0;
};

struct Sound {
    Clock::time_point sentAt;
    bool hasBegun = false;
};

/** Sound requests of a span, and those of them that began at a replica. */
struct Share {
    std::size_t sent = 0;
    std::size_t begun = 0;
};

}

int main()
{
    Record record;
    standin::ObjectStore store;
    store.put("config", "main", makeConfiguration(7, {key}));
    const Daemon daemon({"edge-akl-a-1", "akl-a"}, store.address(), true);
    if (!daemon.waitUntilReady(20s)) {
        record.line("the daemon did not become ready:\n" + daemon.lastLog());
        return couldNotRun;
    }
    std::vector<Server> servers(replicas);
    const auto start = [&](Server &server, int number) {
        const std::string id = "i-writer-" + std::to_string(number) + "-" + std::to_string(server.starts);
        server.replica = std::make_unique<Replica>(id, "writer", ReplicaBehaviour {60ms, 40ms, 5, hasTrouble() ? badPart : ""});
        store.put("servers", id, server.replica->entry(128, server.starts > 0 ? coldTime : 0s));
        ++server.starts;
    };
    for (int number = 0; number < replicas; ++number) {
        start(servers[static_cast<std::size_t>(number)], number);
    }
    std::this_thread::sleep_for(1s);

    const auto begin = Clock::now();
    std::mutex mutex;
    std::vector<Sound> sounds;
    std::vector<std::thread> clients;
    std::vector<Clock::time_point> crashes;
    std::vector<std::pair<Clock::time_point, std::string>> expiring; ///< Entries of replicas that crashed.
    const auto send = [&](RequestText request, bool isBad) {
        clients.emplace_back([&, request = std::move(request), isBad] {
            const auto sentAt = Clock::now();
            Caller caller(daemon.callersAddress());
            caller.send(request.text());
            const Answer answer = caller.receive(3s);
            record.line(request.id + ": " + describe(answer)
                        + (answer.status == 503 ? ", " + answer.body.substr(0, answer.body.find('\n')) : ""));
            const std::lock_guard lock(mutex);
            if (!isBad) {
                sounds.push_back({sentAt, answer.status == 200});
            }
        });
    };
    auto nextBad = begin + badFrom;
    auto nextSound = begin;
    Clock::time_point lastBad = begin;
    int number = 0;
    while (Clock::now() - begin < watched) {
        const auto now = Clock::now();
        const bool isQuiet = now - begin >= quietFrom && now - begin < quietUntil;
        if (now >= nextSound) {
            nextSound += soundPause;
            if (!isQuiet) {
                send(promptRequest("sound-" + std::to_string(number), number, false), false);
                ++number;
            }
        }
        if (now >= nextBad) {
            nextBad += badPause;
            lastBad = now;
            send(promptRequest("bad-" + std::to_string(number), number, true), true);
            ++number;
        }
        std::erase_if(expiring, [&](const auto &entry) {
            if (now >= entry.first) {
                store.remove("servers", entry.second);
            }
            return now >= entry.first;
        });
        for (int index = 0; index < replicas; ++index) {
            Server &server = servers[static_cast<std::size_t>(index)];
            if (server.replica && server.replica->isCrashing()) {
                server.replica->crash();
                crashes.push_back(Clock::now());
                record.line(server.replica->id() + " crashes: crash " + std::to_string(crashes.size()));
                expiring.emplace_back(now + entryLife, server.replica->id());
                server.replica.reset();
                server.backAt = now + backAfter;
            } else if (!server.replica && now >= server.backAt) {
                start(server, index);
            }
        }
        std::this_thread::sleep_for(2ms);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    Share before;
    Share after;
    const auto from = crashes.empty() ? begin + badFrom : crashes[std::min(crashes.size(), crashesBefore) - 1];
    for (const Sound &sound : sounds) {
        const bool isBefore = sound.sentAt < begin + quietFrom;
        if (isBefore || (sound.sentAt >= from + afterCrash && sound.sentAt <= lastBad)) {
            Share &share = isBefore ? before : after;
            ++share.sent;
            share.begun += sound.hasBegun ? 1 : 0;
        }
    }
    const bool isBroken
        = before.sent >= leastRequests && after.sent >= leastRequests && after.begun * before.sent * 2 < before.begun * after.sent;
    record.line("crashes: " + std::to_string(crashes.size()));
    record.line("sound requests before: " + std::to_string(before.begun) + " of " + std::to_string(before.sent)
                + " began; later than twice " + "contact_ms after the last crash, while requests with the part come: "
                + std::to_string(after.begun) + " of " + std::to_string(after.sent));
    record.line(isBroken ? "RULE BROKEN" : "rule held");
    return isBroken ? ruleBroken : ruleHeld;
}
