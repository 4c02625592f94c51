/** @file A key that was taken away, a store that comes back from an older copy, and a daemon that starts in between. */

#include "fleet.h"

#include <csignal>
#include <iostream>

using namespace review;
using namespace std::chrono_literals;

namespace
{

constexpr const char *keptKey = "asnmgkcuyj8pjbvk9m68";
constexpr const char *revokedKey = "k7b2ex5wa5xwyhks8nbk";
/** The store's copy is this old when it comes back from it, as long as it is away. */
constexpr auto copyBeforeRevocation = 500ms;
constexpr auto drillAfterRevocation = 1500ms;
constexpr auto awayTime = 500ms;
constexpr auto restartPause = 300ms;
/** After the store's return the operator writes the newest configuration again. */
constexpr auto rewriteAfter = 4s;
constexpr auto revocationBound = 5000ms; ///< revoke_ms
constexpr auto watched = 9s;
constexpr auto requestPause = 100ms;

RequestText requestWith(const std::string &key, const std::string &id)
{
    RequestText request;
    request.method = "GET";
    request.path = "/stock/s";
    request.id = id;
    request.key = key;
    request.deadlineMs = 2000;
    return request;
}

Milliseconds since(Clock::time_point begin)
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - begin);
}

}

int main()
{
    Record record;
    standin::ObjectStore store;
    store.put("config", "main", makeConfiguration(7, {keptKey, revokedKey}));
    const Replica ledger("i-ledger-1", "ledger", {25ms, 0ms, 0, ""});
    const auto writeReplica = [&] { store.put("servers", ledger.id(), ledger.entry(6)); };
    writeReplica();
    Daemon first({"edge-akl-a-1", "akl-a"}, store.address(), true);
    Daemon second({"edge-akl-a-2", "akl-a"}, store.address(), true);
    if (!first.waitUntilReady(20s) || !second.waitUntilReady(20s)) {
        record.line("a daemon did not become ready:\n" + first.lastLog() + "\n" + second.lastLog());
        return couldNotRun;
    }
    const auto olderCopy = store.copy();
    std::this_thread::sleep_for(copyBeforeRevocation);
    store.put("config", "main", makeConfiguration(8, {keptKey}));
    const auto acknowledged = Clock::now();
    record.line("version 8, which takes a key away, is acknowledged");
    std::this_thread::sleep_for(drillAfterRevocation);
    if (hasTrouble()) {
        store.refusesAll = true;
        std::this_thread::sleep_for(awayTime);
        store.restore(olderCopy);
        store.refusesAll = false;
        record.line("the store comes back from a copy with version 7, in its next era");
        writeReplica();
    }
    const auto returned = Clock::now();
    second.signal(SIGKILL);
    std::this_thread::sleep_for(restartPause);
    second.start();
    record.line(second.name() + " was killed and starts again");

    std::map<std::string, Milliseconds> sentAt; ///< After the acknowledgement.
    bool isWrittenAgain = !hasTrouble();
    for (int number = 0; Clock::now() - acknowledged < watched; ++number) {
        if (!isWrittenAgain && Clock::now() - returned >= rewriteAfter) {
            store.put("config", "main", makeConfiguration(8, {keptKey}));
            record.line("the operator has written version 8 again");
            isWrittenAgain = true;
        }
        for (const Daemon *daemon : {&first, &second}) {
            const std::string id = daemon->name() + "-" + std::to_string(number);
            sentAt[id] = since(acknowledged);
            Caller caller(daemon->callersAddress());
            caller.send(requestWith(revokedKey, id).text());
            const Answer answer = caller.receive(2s);
            record.line(id + " with the key that was taken away, sent " + std::to_string(sentAt[id].count())
                        + " ms after the acknowledgement: " + describe(answer));
        }
        std::this_thread::sleep_for(requestPause);
    }
    int late = 0;
    for (const Arrival &arrival : ledger.arrivals()) {
        if (const auto sent = sentAt.find(arrival.id); sent != sentAt.end() && sent->second > revocationBound) {
            ++late;
        }
    }
    record.line("requests with that key that were sent later than revoke_ms after the acknowledgement and ran: " + std::to_string(late));
    record.line(late > 0 ? "RULE BROKEN" : "rule held");
    return late > 0 ? ruleBroken : ruleHeld;
}
