/**
 * @file Cases with a part of prompts that ends each replica which begins to write an answer on it.
 * @remarks Called with "same-id", one replica of nine starts again under the id that it had, and the others under new ones. Called with
 * "many-parts", they start again under a new id, and prompts list some hundred parts. Called with "neither", they start again under a new
 * id and prompts have few parts: the rule then holds, which shows what the other two need.
 */

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
/** The one that may keep its id is where prompts with the bad part go first. */
constexpr int keepingReplica = 8;
/** The part that ends replicas; the lowest id of all. */
constexpr const char *badPart = "10";
constexpr int sharedTokens = 6300;
constexpr int ownTokens = 1000;
constexpr int manyParts = 394; ///< Of 16 tokens each.
constexpr auto badPause = 4s;
constexpr auto backAfter = 2s;
constexpr auto coldTime = 3s;
/** A replica that is silent for three heartbeats loses its entry. */
constexpr auto entryLife = 3600ms;
constexpr auto soundPause = 200ms;
constexpr auto watched = 70s;
/** contact_ms, and what the rule allows after the fifth crash. */
constexpr auto contact = 3000ms;
constexpr std::size_t crashesBefore = 5;
constexpr std::size_t allowedAfter = 3;

/** @param isBad Whether the prompt has the part that ends replicas, as its last shared one. */
RequestText promptRequest(const std::string &id, int number, bool isBad, int shared)
{
    std::ostringstream list;
    // No two prompts are alike: each has shared parts of its own beside the bad one.
    for (int part = 0; part < shared - 1; ++part) {
        list << std::hex << 0x100000 + (isBad ? 0 : 0x8000000) + number * 0x1000 + part << std::dec << ":" << sharedTokens / shared << ",";
    }
    list << (isBad ? std::string(badPart) : "f000001") << ":" << sharedTokens / shared << "," << std::hex << 0xf100000 + number << std::dec
         << ":" << ownTokens;
    RequestText request;
    request.path = "/quote/q";
    request.id = id;
    request.key = key;
    request.fields = "X-Eelgrassnotch-Model: m\r\nX-Eelgrassnotch-Token-Usage: " + std::to_string(sharedTokens + ownTokens)
        + ",50\r\nX-Eelgrassnotch-Prefix-Hash: " + list.str() + "\r\n";
    request.body = "prompt";
    return request;
}

struct Server {
    std::unique_ptr<Replica> replica;
    Clock::time_point backAt;
    int starts = 0;
};

}

int main(int argumentCount, char **arguments)
{
    const std::string mode = argumentCount > 1 ? arguments[1] : "";
    if (mode != "same-id" && mode != "many-parts" && mode != "neither") {
        std::cerr << "usage: crashing_part same-id | many-parts | neither\n";
        return couldNotRun;
    }
    const auto keepsId = [&mode](int number) { return mode == "same-id" && number == keepingReplica; };
    const int shared = mode == "many-parts" ? manyParts : 3;
    Record record;
    standin::ObjectStore store;
    store.put("config", "main", makeConfiguration(7, {key}));
    Daemon daemon({"edge-akl-a-1", "akl-a"}, store.address(), true);
    if (!daemon.waitUntilReady(20s)) {
        record.line("the daemon did not become ready:\n" + daemon.lastLog());
        return couldNotRun;
    }
    std::vector<Server> servers(replicas);
    const auto start = [&](Server &server, int number) {
        std::string id = "i-writer-" + std::to_string(number);
        if (server.starts > 0 && !keepsId(number)) {
            id += "-" + std::to_string(server.starts);
        }
        ++server.starts;
        const ReplicaBehaviour behaviour {80ms, 40ms, 20, hasTrouble() ? badPart : ""};
        server.replica = std::make_unique<Replica>(id, "writer", behaviour);
        store.put("servers", id, server.replica->entry(128, server.starts > 1 ? coldTime : 0s));
    };
    for (int number = 0; number < replicas; ++number) {
        start(servers[static_cast<std::size_t>(number)], number);
    }
    std::this_thread::sleep_for(1s);
    record.line("ready; the head of a prompt's request has " + std::to_string(promptRequest("x", 1, true, shared).text().size())
                + " bytes, max_header_bytes is 16384");

    const auto begin = Clock::now();
    std::vector<std::thread> clients;
    std::atomic<int> soundBroken {0};
    std::atomic<int> soundSent {0};
    std::vector<Clock::time_point> crashes;
    std::vector<Arrival> bad;
    const auto takeArrivals = [&](const Replica &replica) {
        for (const Arrival &arrival : replica.arrivals()) {
            if (arrival.hasCrashingPart) {
                bad.push_back(arrival);
            }
        }
    };
    const auto send = [&](RequestText request, bool isBad) {
        clients.emplace_back([&, request = std::move(request), isBad] {
            Caller caller(daemon.callersAddress());
            caller.send(request.text());
            const Answer answer = caller.receive(4s);
            const bool isServed = answer.status == 200 && answer.isWhole;
            if (!isBad) {
                ++soundSent;
                soundBroken += isServed || answer.status == 503 ? 0 : 1;
            }
            if (isBad || !isServed) {
                record.line(request.id + ": " + describe(answer));
            }
        });
    };
    std::vector<std::pair<Clock::time_point, std::string>> expiring; ///< Entries of replicas that crashed and have a new id.
    auto nextBad = begin + 1s;
    auto nextSound = begin;
    int number = 0;
    while (Clock::now() - begin < watched) {
        const auto now = Clock::now();
        if (now >= nextSound) {
            nextSound += soundPause;
            send(promptRequest("sound-" + std::to_string(number), number, false, shared), false);
            ++number;
        }
        if (now >= nextBad) {
            nextBad += badPause;
            send(promptRequest("bad-" + std::to_string(number), number, true, shared), true);
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
                const std::size_t others = server.replica->waiting() - 1;
                server.replica->crash();
                crashes.push_back(Clock::now());
                record.line(server.replica->id() + " crashes, with " + std::to_string(others) + " other requests: crash "
                            + std::to_string(crashes.size()));
                takeArrivals(*server.replica);
                if (!keepsId(index)) {
                    expiring.emplace_back(now + entryLife, server.replica->id());
                }
                server.replica.reset();
                server.backAt = now + backAfter;
            } else if (!server.replica && now >= server.backAt) {
                start(server, index);
                record.line(server.replica->id() + " is back");
            }
        }
        std::this_thread::sleep_for(2ms);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    for (const Server &server : servers) {
        if (server.replica) {
            takeArrivals(*server.replica);
        }
    }
    std::size_t after = 0;
    if (crashes.size() >= crashesBefore) {
        const auto from = crashes[crashesBefore - 1] + contact;
        after
            = static_cast<std::size_t>(std::count_if(bad.begin(), bad.end(), [from](const Arrival &arrival) { return arrival.at > from; }));
    }
    const bool isBroken = after > allowedAfter;
    record.line("crashes: " + std::to_string(crashes.size()) + "; requests with the part that reached replicas later than contact_ms after "
                + "the fifth: " + std::to_string(after));
    record.line("sound requests: " + std::to_string(soundSent) + ", broken off or failed: " + std::to_string(soundBroken));
    record.line(isBroken ? "RULE BROKEN" : "rule held");
    return isBroken ? ruleBroken : ruleHeld;
}
