/** @file A HEAD request on a route of streams, and the next request on the same connection. */

#include "fleet.h"

#include <iostream>

using namespace review;
using namespace std::chrono_literals;

int main()
{
    constexpr const char *key = "asnmgkcuyj8pjbvk9m68";
    Record record;
    standin::ObjectStore store;
    store.put("config", "main", makeConfiguration(7, {key}));
    const Replica writer("i-writer-1", "writer", {25ms, 40ms, 4, ""});
    const Replica ledger("i-ledger-1", "ledger", {25ms, 0ms, 0, ""});
    store.put("servers", writer.id(), writer.entry(128));
    store.put("servers", ledger.id(), ledger.entry(6));
    const Daemon daemon({"edge-akl-a-1", "akl-a"}, store.address(), true);
    if (!daemon.waitUntilReady(20s)) {
        record.line("the daemon did not become ready:\n" + daemon.lastLog());
        return couldNotRun;
    }
    std::this_thread::sleep_for(1s);
    int wrong = 0;
    for (int number = 0; number < 10; ++number) {
        Caller caller(daemon.callersAddress());
        RequestText first;
        first.method = hasTrouble() ? "HEAD" : "POST";
        first.path = "/quote/q";
        first.id = "first-" + std::to_string(number);
        first.key = key;
        first.fields = "X-Eelgrassnotch-Model: m\r\nX-Eelgrassnotch-Token-Usage: 100,10\r\nX-Eelgrassnotch-Prefix-Hash: a1:50,b1:50\r\n";
        caller.send(first.text());
        const Answer head = caller.receive(4s, !hasTrouble());
        record.line(first.id + " (" + first.method + "): " + describe(head));
        std::this_thread::sleep_for(100ms);
        RequestText second;
        second.method = "GET";
        second.path = "/stock/s";
        second.id = "second-" + std::to_string(number);
        second.key = key;
        caller.send(second.text());
        const Answer answer = caller.receive(2s);
        const bool isRight = answer.status == 200 && answer.isWhole && answer.body == "answer to " + second.id + "\n";
        record.line(second.id + ": " + describe(answer) + (isRight ? "" : "; the connection holds [" + answer.rest + "]"));
        wrong += isRight ? 0 : 1;
    }
    record.line("second answers that can't be read: " + std::to_string(wrong) + " of 10");
    record.line(wrong > 0 ? "RULE BROKEN" : "rule held");
    return wrong > 0 ? ruleBroken : ruleHeld;
}
