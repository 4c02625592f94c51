/** @file A part of prompts that ends the backend servers which begin to answer it, and what looks like one. */

#include "process/clock.h"
#include "process/directory/backend_server.h"
#include "process/dispatch/part_quarantine.h"
#include "process/exchange/load_codec.h"
#include "process/exchange/load_exchange.h"
#include "proxy/daemon_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process;
using namespace std::chrono_literals;
using dispatch::PartQuarantine;
using dispatch::QuarantineChange;

namespace
{

constexpr Time start = 100s;
/** Time in which all daemons have to know; from the shortest bound of the operators. */
constexpr Duration agreementTime = 3s;
constexpr std::uint64_t common = 1;
constexpr std::uint64_t deadly = 0xdead00000001;

/** A prompt of the common part, another one, and one that no other request has. */
request::Prompt promptWith(std::uint64_t part, std::uint64_t own)
{
    return {100, 10, {{common, 50}, {part, 30}, {own, 20}}};
}

/** A prompt with no other shared part. */
request::Prompt promptOfOne(std::uint64_t part)
{
    return {100, 10, {{part, 30}, {1234, 20}}};
}

void ignoreChange(const QuarantineChange &)
{
}

/** Requests with the deadly part end one backend server after the other; others share its common part and are answered. */
void endBackends(PartQuarantine &quarantine, std::uint32_t count, Duration pause, Time &now)
{
    for (std::uint32_t backend = 1; backend <= count; ++backend, now += pause) {
        quarantine.recordWritten(promptWith(20 + backend, 7000 + backend), now - 10ms);
        quarantine.recordLoss(backend, promptWith(deadly, 8000 + backend), now);
        quarantine.recordLoss(backend, promptWith(40 + backend, 9000 + backend), now);
        quarantine.update(now);
    }
}

/** Daemons of three data centres that tell each other what they know; the store has no part in it. */
class Daemons
{
public:
    explicit Daemons(std::uint32_t perDataCentre)
    {
        std::vector<exchange::Peer> peers;
        for (std::uint32_t index = 0; index < 3 * perDataCentre; ++index) {
            peers.push_back({DaemonHandle {index + 1}, DataCentreHandle {1 + index % 3}, std::to_string(index + 1)});
        }
        for (const exchange::Peer &peer : peers) {
            auto daemon = std::make_unique<Daemon>(Daemon {PartQuarantine(ignoreChange, peer.daemon), nullptr});
            daemon->exchange
                = std::make_unique<exchange::LoadExchange>(peer, [this, peer](const exchange::Peer &to, const exchange::Message &message) {
                      this->deliver(to, message, peer.address);
                  });
            daemon->exchange->setPeers(peers);
            this->daemons[peer.daemon] = std::move(daemon);
        }
    }

    PartQuarantine &quarantine(std::uint32_t index)
    {
        return this->daemons.at(DaemonHandle {index + 1})->quarantine;
    }
    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(this->daemons.size());
    }
    /** Forgets all that a daemon knows, as in a restart. */
    void restart(std::uint32_t index)
    {
        this->quarantine(index) = PartQuarantine(ignoreChange, DaemonHandle {index + 1});
    }

    void advance(Time to)
    {
        constexpr Duration interval = 200ms;
        for (; this->now <= to; this->now += interval) {
            for (const auto &[handle, daemon] : this->daemons) {
                daemon->quarantine.update(this->now);
                daemon->exchange->setEvidence(daemon->quarantine.evidence(this->now));
                daemon->exchange->tick({}, this->now);
            }
        }
    }

private:
    struct Daemon {
        PartQuarantine quarantine;
        std::unique_ptr<exchange::LoadExchange> exchange;
    };

    void deliver(const exchange::Peer &to, const exchange::Message &message, const std::string &from)
    {
        constexpr Duration networkDelay = 60ms;
        const auto received = exchange::decode(exchange::encode(message));
        REQUIRE(received);
        Daemon &daemon = *this->daemons.at(to.daemon);
        daemon.quarantine.merge(received->evidence, this->now + networkDelay);
        daemon.exchange->receive(*received, from, this->now);
    }

    std::map<DaemonHandle, std::unique_ptr<Daemon>> daemons;
    Time now = start;
};

}

// Guards against requests of one kind that end backend servers one after the other.
TEST_CASE("the part that ends backend servers is quarantined, and no part that others share")
{
    std::vector<QuarantineChange> changes;
    PartQuarantine quarantine([&changes](const QuarantineChange &change) { changes.push_back(change); });
    Time now = start;
    endBackends(quarantine, 5, 300ms, now);
    const Time fifthLoss = now - 300ms;
    while (now < fifthLoss + agreementTime && !quarantine.quarantinedPart(promptWith(deadly, 1234))) {
        now += 100ms;
        quarantine.update(now);
    }
    CHECK(quarantine.quarantinedPart(promptWith(deadly, 1234)) == deadly);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front().backends >= 3);
    for (std::uint64_t part = 20; part < 60; ++part) {
        CHECK_FALSE(quarantine.quarantinedPart(promptWith(part, 1234)));
    }
    // The last part belongs to a request alone.
    CHECK_FALSE(quarantine.quarantinedPart(promptWith(77, deadly)));
    CHECK(quarantine.remaining(deadly, now) > 1min);
}

TEST_CASE("losses at the same time, such as a power cut, suspect nobody")
{
    PartQuarantine quarantine(ignoreChange);
    std::mt19937 random(1);
    Time now = start;
    for (std::uint32_t backend = 1; backend <= 60; ++backend) {
        for (const std::uint64_t part : {deadly, std::uint64_t {5}}) {
            quarantine.recordLoss(backend, promptWith(part, 1000 + backend), now + std::chrono::milliseconds(random() % 200));
        }
    }
    for (int step = 0; step < 100; ++step, now += 100ms) {
        quarantine.update(now);
        CHECK_FALSE(quarantine.quarantinedPart(promptWith(deadly, 1234)));
    }
}

TEST_CASE("servers that end again and again for another reason suspect no part with which answers are written")
{
    PartQuarantine quarantine(ignoreChange);
    std::mt19937 random(3);
    Time now = start;
    for (std::uint32_t step = 0; step < 1200; ++step, now += 50ms) {
        // Thirty sessions that share parts; one request in twenty loses its backend server.
        const request::Prompt prompt = promptWith(100 + random() % 30, step);
        if (random() % 20 == 0) {
            quarantine.recordLoss(step, prompt, now);
        } else {
            quarantine.recordWritten(prompt, now);
        }
        quarantine.update(now);
        for (std::uint64_t part = 100; part < 130; ++part) {
            CHECK_FALSE(quarantine.quarantinedPart(promptWith(part, 1)));
        }
    }
}

TEST_CASE("an answer that is written with a part ends its suspicion, and a quarantine that was wrong")
{
    std::vector<QuarantineChange> changes;
    PartQuarantine quarantine([&changes](const QuarantineChange &change) { changes.push_back(change); });
    Time now = start;
    endBackends(quarantine, 2, 300ms, now);
    CHECK(quarantine.isSuspect(promptWith(deadly, 1)));
    quarantine.recordWritten(promptWith(deadly, 1), now);
    CHECK_FALSE(quarantine.isSuspect(promptWith(deadly, 1)));
    now += 2s;
    endBackends(quarantine, 4, 300ms, now);
    now += 1s;
    quarantine.update(now);
    REQUIRE(quarantine.quarantinedPart(promptWith(deadly, 1)));
    // A request that was sent before.
    quarantine.recordWritten(promptWith(deadly, 2), now + 1s);
    CHECK_FALSE(quarantine.quarantinedPart(promptWith(deadly, 1)));
    REQUIRE(changes.size() == 2);
    CHECK_FALSE(changes.back().isQuarantined);
}

// Guards against evidence that is complete at no single daemon.
TEST_CASE("daemons that each see a fifth of the losses agree within the bound, without the store, and tell one that restarts")
{
    Daemons daemons(20);
    Time now = start;
    for (std::uint32_t backend = 1; backend <= 5; ++backend, now += 300ms) {
        daemons.advance(now);
        daemons.quarantine(11 * backend).recordLoss(backend, promptWith(deadly, backend), now);
        for (std::uint32_t index = 0; index < daemons.size(); ++index) {
            daemons.quarantine(index).recordWritten(promptWith(30 + index, 1), now);
        }
    }
    const Time fifthLoss = now - 300ms;
    daemons.advance(fifthLoss + agreementTime);
    for (std::uint32_t index = 0; index < daemons.size(); ++index) {
        CAPTURE(index);
        CHECK(daemons.quarantine(index).quarantinedPart(promptWith(deadly, 99)) == deadly);
        CHECK_FALSE(daemons.quarantine(index).quarantinedPart(promptWith(30, 99)));
    }
    daemons.restart(17);
    daemons.advance(fifthLoss + agreementTime + 1s);
    CHECK(daemons.quarantine(17).quarantinedPart(promptWith(deadly, 99)) == deadly);
}

// Guards against suspicion of a part by daemons that have just started and don't know it as sound.
TEST_CASE("a daemon that knows a part as sound clears it at all others before it is quarantined")
{
    Daemons daemons(6);
    Time now = start;
    for (std::uint32_t backend = 1; backend <= 30; ++backend, now += 100ms) {
        daemons.quarantine(0).recordWritten(promptWith(deadly, backend), now);
        daemons.advance(now);
        daemons.quarantine(1 + backend % 12).recordLoss(backend, promptWith(deadly, backend), now);
        for (std::uint32_t index = 0; index < daemons.size(); ++index) {
            CHECK_FALSE(daemons.quarantine(index).quarantinedPart(promptWith(deadly, 99)));
        }
    }
}

// Guards against messages that make an old observation look newer each time they are passed on.
TEST_CASE("a part that was sound before it began to end backend servers is quarantined all the same")
{
    Daemons daemons(6);
    Time now = start;
    daemons.quarantine(0).recordWritten(promptWith(deadly, 1), now);
    now += 1100ms;
    for (std::uint32_t backend = 1; backend <= 5; ++backend, now += 300ms) {
        daemons.advance(now);
        daemons.quarantine(backend).recordLoss(backend, promptWith(deadly, backend), now);
        for (std::uint32_t index = 0; index < daemons.size(); ++index) {
            daemons.quarantine(index).recordWritten(promptWith(30 + index, 1), now);
        }
    }
    daemons.advance(now - 300ms + agreementTime);
    for (std::uint32_t index = 0; index < daemons.size(); ++index) {
        CHECK(daemons.quarantine(index).quarantinedPart(promptWith(deadly, 99)) == deadly);
    }
}

TEST_CASE("a flood of new parts takes bounded memory and room in messages, and hides no deadly part")
{
    PartQuarantine quarantine(ignoreChange);
    std::uint64_t next = 1'000'000;
    Time now = start;
    for (std::uint32_t backend = 1; backend <= 6; ++backend, now += 400ms) {
        quarantine.recordLoss(backend, promptWith(deadly, next), now);
        for (int request = 0; request < 2000; ++request) {
            request::Prompt prompt {100, 10, {{next++, 10}, {next++, 10}, {next++, 10}, {next++, 10}}};
            quarantine.recordLoss(backend, prompt, now);
            prompt.parts.front().id = next++;
            quarantine.recordWritten(prompt, now);
        }
        quarantine.update(now);
        CHECK(quarantine.suspectCount() <= 16384);
        exchange::Message message;
        message.evidence = quarantine.evidence(now);
        CHECK(exchange::encode(message).size() <= 4096);
    }
    quarantine.update(now + 1s);
    CHECK(quarantine.quarantinedPart(promptOfOne(deadly)) == deadly);
}

namespace
{

/** A prompt of many parts: its own ones, some that all of them share, and the deadly one at a place that depends on the request. */
request::Prompt promptOfMany(std::uint64_t firstOwn, std::size_t ownParts, std::uint64_t bad, std::size_t commonParts = 0)
{
    request::Prompt prompt {7000, 50, {}};
    for (std::size_t part = 0; part < commonParts; ++part) {
        prompt.parts.push_back({0x50000000 + part, 16});
    }
    for (std::size_t part = 0; part < ownParts; ++part) {
        prompt.parts.push_back({firstOwn + part, 16});
    }
    prompt.parts.insert(prompt.parts.begin() + static_cast<std::ptrdiff_t>(firstOwn % (prompt.parts.size() + 1)), {bad, 16});
    prompt.parts.push_back({firstOwn + ownParts, 16});
    return prompt;
}

}

// Guards against suspected parts that are dropped by their id, so that the part never collects a second loss (review case 9, many parts).
TEST_CASE("a part that ends backend servers is found among prompts of many parts, whatever its id")
{
    constexpr std::size_t mostParts = 1700; // As many as fit into a request's header.
    for (const std::uint64_t bad : {std::uint64_t {1}, deadly, ~std::uint64_t {0}}) {
        for (const std::size_t parts : {std::size_t {393}, mostParts}) {
            CAPTURE(bad);
            CAPTURE(parts);
            PartQuarantine quarantine(ignoreChange);
            Time now = start;
            for (std::uint32_t backend = 1; backend <= 3; ++backend, now += 4s) {
                const request::Prompt prompt = promptOfMany(std::uint64_t {0x100000} * backend, parts, bad);
                quarantine.recordLoss(backend, prompt, now);
                // Requests that were waiting at the same backend server.
                for (std::uint64_t other = 1; other <= 4; ++other) {
                    quarantine.recordLoss(
                        backend, promptOfMany(std::uint64_t {0x100000} * backend + 0x10000000 * other, parts / 8, 0x7000 + other * backend),
                        now);
                }
                quarantine.update(now);
            }
            quarantine.update(now);
            CHECK(quarantine.quarantinedPart(promptWith(bad, 1)) == bad);
            CHECK_FALSE(quarantine.quarantinedPart(promptOfMany(0x100000, parts, 2)));
        }
    }
}

// Guards against losses at one time that take all the room for a part's losses, so that later ones don't count.
TEST_CASE("a power cut does not hide the part that ends backend servers afterwards")
{
    PartQuarantine quarantine(ignoreChange);
    Time now = start;
    for (std::uint32_t backend = 1; backend <= 40; ++backend) {
        quarantine.recordLoss(backend, promptWith(deadly, backend), now + std::chrono::milliseconds(backend));
    }
    for (std::uint32_t backend = 41; backend <= 42; ++backend) {
        now += 4s;
        quarantine.update(now);
        CHECK_FALSE(quarantine.quarantinedPart(promptWith(deadly, 1)));
        quarantine.recordLoss(backend, promptWith(deadly, backend), now);
    }
    quarantine.update(now + 1s);
    CHECK(quarantine.quarantinedPart(promptOfOne(deadly)) == deadly);
}

// Guards against evidence on parts that a message has no room for, and that is never told.
TEST_CASE("daemons that each see one loss of a prompt of many parts agree on the part")
{
    for (const std::uint64_t bad : {std::uint64_t {1}, ~std::uint64_t {0}}) {
        CAPTURE(bad);
        Daemons daemons(2);
        Time now = start;
        constexpr std::uint32_t losses = 5;
        for (std::uint32_t backend = 1; backend <= losses; ++backend, now += 4s) {
            daemons.advance(now);
            daemons.quarantine(backend % daemons.size())
                .recordLoss(backend, promptOfMany(std::uint64_t {0x100000} * backend, 393, bad), now);
        }
        daemons.advance(now - 4s + agreementTime);
        for (std::uint32_t index = 0; index < daemons.size(); ++index) {
            CAPTURE(index);
            CHECK(daemons.quarantine(index).quarantinedPart(promptWith(bad, 99)) == bad);
        }
    }
}

namespace
{

using Kind = dispatch::QuarantineRuling::Kind;

bool isSent(Kind kind)
{
    return kind == Kind::Sent || kind == Kind::Trial;
}

/** Requests that a daemon sends again and again, until something is decided. */
constexpr Duration callerPause = 500ms;
/** Time in which a doubtful request is decided on: a claim, a trial, and the way of its result to all daemons, twice. */
constexpr Duration trialTime = 4s;

/** Backend servers, one of whose prompt parts ends them. */
class Backends
{
public:
    explicit Backends(std::set<std::uint64_t> badParts)
        : bad(std::move(badParts))
    {
    }

    /** Sends a request as the daemon decides. @returns what was decided. */
    Kind send(PartQuarantine &quarantine, const request::Prompt &prompt, Time now)
    {
        const Kind kind = quarantine.rule(prompt, now).kind;
        if (isSent(kind)) {
            const auto shared = prompt.sharedParts();
            if (std::any_of(shared.begin(), shared.end(),
                            [this](const request::PromptPart &part) { return this->bad.contains(part.id); })) {
                quarantine.recordLoss(++this->lost, prompt, now);
            } else {
                quarantine.recordWritten(prompt, now);
            }
        }
        return kind;
    }

    std::uint32_t lost = 0;

private:
    std::set<std::uint64_t> bad;
};

/** A caller's requests begin with its first part. */
constexpr std::uint64_t firstPart = 0xf1257;

request::Prompt promptOfCaller(std::uint64_t part, std::uint64_t own)
{
    return {100, 10, {{firstPart, 50}, {part, 30}, {own, 20}}};
}

/** Three losses of requests with both parts, while the caller sends nothing else. */
void quarantineBoth(PartQuarantine &quarantine, Backends &backends, std::uint64_t part, Time &now)
{
    for (std::uint64_t own = 1; own <= 3; ++own, now += 3s) {
        CHECK(backends.send(quarantine, promptOfCaller(part, own), now) == Kind::Sent);
        quarantine.update(now);
    }
    quarantine.update(now);
    CHECK(quarantine.quarantinedPart(promptOfCaller(7, 1)) == firstPart);
    CHECK(quarantine.quarantinedPart(promptWith(part, 1)) == part);
}

/** Sends a request each half second until it is sent, or for the time in which a trial is decided. @returns whether it was sent. */
bool sendUntilDecided(PartQuarantine &quarantine, Backends &backends, const request::Prompt &prompt, Time &now)
{
    for (const Time until = now + trialTime; now < until; now += callerPause) {
        quarantine.update(now);
        if (isSent(backends.send(quarantine, prompt, now))) {
            now += callerPause;
            quarantine.update(now);
            return true;
        }
    }
    return false;
}

}

// Guards against a sound part that is refused for ten minutes, as it came only beside the part that ends servers (review case 10).
TEST_CASE("a sound part that came only beside the bad one is served again, and the bad one stays quarantined")
{
    std::vector<QuarantineChange> changes;
    PartQuarantine quarantine([&changes](const QuarantineChange &change) { changes.push_back(change); }, DaemonHandle {1});
    Backends backends({deadly});
    Time now = start;
    quarantineBoth(quarantine, backends, deadly, now);
    const auto claim = quarantine.rule(promptOfCaller(7, 1), now);
    CHECK(claim.kind == Kind::Claim);
    CHECK(claim.retryAfter <= 1s);
    CHECK(quarantine.rule(promptOfCaller(8, 1), now).kind == Kind::Refused);
    CHECK(quarantine.rule(promptOfCaller(deadly, 1), now).retryAfter > 1min);
    CHECK(sendUntilDecided(quarantine, backends, promptOfCaller(7, 2), now));
    CHECK(backends.lost == 3);
    REQUIRE_FALSE(changes.empty());
    CHECK(changes.back() == QuarantineChange {firstPart, false, 0, "an answer was written with it"});
    for (std::uint64_t own = 10; own < 40; ++own, now += callerPause) {
        quarantine.update(now);
        CHECK(backends.send(quarantine, promptOfCaller(7, own), now) == Kind::Sent);
        CHECK(backends.send(quarantine, promptOfCaller(deadly, own), now) == Kind::Refused);
        CHECK(backends.send(quarantine, promptWith(deadly, own), now) == Kind::Refused);
    }
    CHECK(backends.lost == 3);
}

TEST_CASE("a part that ends backend servers alone is never tried")
{
    PartQuarantine quarantine(ignoreChange, DaemonHandle {1});
    Backends backends({deadly});
    Time now = start;
    for (std::uint64_t own = 1; own <= 3; ++own, now += 3s) {
        quarantine.recordWritten(promptWith(7, own), now - 10ms);
        backends.send(quarantine, promptWith(deadly, own), now);
        quarantine.update(now);
    }
    for (const Time until = now + 9min; now < until; now += callerPause) {
        quarantine.update(now);
        CHECK(backends.send(quarantine, promptWith(deadly, 9), now) == Kind::Refused);
    }
    CHECK(backends.lost == 3);
}

// Guards against a quarantine that is lifted by mistake: which of the parts that came together is bad must not be guessed.
TEST_CASE("of two parts that came only together, the bad one is held after one trial, whichever it is")
{
    constexpr std::uint64_t companion = 0x5e55;
    for (const std::uint64_t bad : {firstPart, companion}) {
        CAPTURE(bad);
        PartQuarantine quarantine(ignoreChange, DaemonHandle {1});
        Backends backends({bad});
        Time now = start;
        quarantineBoth(quarantine, backends, companion, now);
        // The first request without the companion is the one that ends a backend server, or clears the first part.
        CHECK(sendUntilDecided(quarantine, backends, promptOfCaller(7, 1), now));
        CHECK(sendUntilDecided(quarantine, backends, promptWith(companion, 1), now) == (bad != companion));
        CHECK(sendUntilDecided(quarantine, backends, promptOfCaller(7, 2), now) == (bad != firstPart));
        CHECK_FALSE(sendUntilDecided(quarantine, backends, promptOfCaller(companion, 3), now));
        CHECK_FALSE(sendUntilDecided(quarantine, backends, bad == firstPart ? promptOfCaller(8, 4) : promptWith(bad, 4), now));
        CHECK(backends.lost <= 4);
    }
}

TEST_CASE("a sound part beside two bad ones is served again, and both are held")
{
    constexpr std::uint64_t otherBad = 0xbad2;
    // At 300 ms all losses come before the first verdict, at 1 s the sound part collects its third loss before a bad one does.
    for (const Duration pause : {Duration(300ms), Duration(1s)}) {
        CAPTURE(pause.count());
        PartQuarantine quarantine(ignoreChange, DaemonHandle {1});
        Backends backends({deadly, otherBad});
        Time now = start;
        for (std::uint64_t own = 1; own <= 3; ++own) {
            for (const std::uint64_t bad : {deadly, otherBad}) {
                backends.send(quarantine, promptOfCaller(bad, own), now);
                now += pause;
                quarantine.update(now);
            }
        }
        CHECK(sendUntilDecided(quarantine, backends, promptOfCaller(7, 1), now));
        for (std::uint64_t own = 10; own < 16; ++own, now += pause) {
            quarantine.update(now);
            CHECK(backends.send(quarantine, promptOfCaller(7, own), now) == Kind::Sent);
            for (const std::uint64_t bad : {deadly, otherBad}) {
                backends.send(quarantine, promptOfCaller(bad, own), now);
                now += pause;
            }
        }
        for (const std::uint64_t bad : {deadly, otherBad}) {
            CHECK_FALSE(sendUntilDecided(quarantine, backends, promptOfCaller(bad, 20), now));
            CHECK_FALSE(sendUntilDecided(quarantine, backends, promptWith(bad, 20), now));
        }
        CHECK(backends.send(quarantine, promptOfCaller(7, 20), now) == Kind::Sent);
        // Three for each of them, and one trial.
        CHECK(backends.lost <= 7);
    }
}

// Guards against a trial that is refused for another reason, so that the sound part waits for the next claim.
TEST_CASE("a trial that ends before it is sent is followed by the next request with the part")
{
    PartQuarantine quarantine(ignoreChange, DaemonHandle {1});
    Backends backends({deadly});
    Time now = start;
    quarantineBoth(quarantine, backends, deadly, now);
    const auto claim = quarantine.rule(promptOfCaller(7, 1), now);
    now += claim.retryAfter;
    const auto trial = quarantine.rule(promptOfCaller(7, 1), now);
    REQUIRE(trial.kind == Kind::Trial);
    CHECK(quarantine.rule(promptOfCaller(7, 2), now).kind == Kind::Refused);
    quarantine.returnTrial(trial.part);
    CHECK(backends.send(quarantine, promptOfCaller(7, 3), now) == Kind::Trial);
    CHECK(backends.send(quarantine, promptOfCaller(7, 4), now) == Kind::Sent);
    CHECK(backends.send(quarantine, promptOfCaller(deadly, 5), now) == Kind::Refused);
}

// Guards against a verdict on hundreds of parts of a system prompt, one of which is bad, that holds the sound ones or loses the bad one.
TEST_CASE("a system prompt of many parts is cleared by one trial")
{
    constexpr std::size_t commonParts = 394;
    for (const std::uint64_t bad : {std::uint64_t {1}, ~std::uint64_t {0}}) {
        CAPTURE(bad);
        PartQuarantine quarantine(ignoreChange, DaemonHandle {1});
        Backends backends({bad});
        Time now = start;
        for (std::uint64_t own = 1; own <= 3; ++own, now += 3s) {
            backends.send(quarantine, promptOfMany(0x100000 * own, 1, bad, commonParts), now);
            quarantine.update(now);
        }
        quarantine.update(now);
        CHECK(backends.send(quarantine, promptOfMany(0x900000, 1, bad, commonParts), now) == Kind::Refused);
        CHECK(sendUntilDecided(quarantine, backends, promptOfMany(0xa00000, 1, 7, commonParts), now));
        CHECK(backends.send(quarantine, promptOfMany(0xb00000, 1, 8, commonParts), now) == Kind::Sent);
        CHECK(backends.send(quarantine, promptWith(bad, 1), now) == Kind::Refused);
        CHECK(backends.lost == 3);
    }
}

// Guards against trials at many daemons at once, each of which ends a backend server where the tried part is the bad one.
TEST_CASE("daemons try one doubtful request at a time, and few backend servers are lost, without the store")
{
    constexpr std::uint64_t companion = 0x5e55;
    for (const std::uint64_t bad : {firstPart, companion}) {
        for (const std::uint32_t perDataCentre : {2U, 20U}) {
            CAPTURE(bad);
            CAPTURE(perDataCentre);
            Daemons daemons(perDataCentre);
            Backends backends({bad});
            Time now = start;
            std::uint64_t own = 0;
            for (int loss = 0; loss < 3; ++loss, now += 3s) {
                daemons.advance(now);
                backends.send(daemons.quarantine(static_cast<std::uint32_t>(loss)), promptOfCaller(companion, ++own), now);
            }
            daemons.advance(now);
            // From now on each daemon gets such requests all the time.
            std::size_t served = 0;
            std::size_t sent = 0;
            const Time decided = now + 2 * trialTime;
            for (const Time until = decided + 10s; now < until; now += callerPause) {
                daemons.advance(now);
                for (std::uint32_t index = 0; index < daemons.size(); ++index) {
                    const std::uint32_t lost = backends.lost;
                    const request::Prompt sound = bad == companion ? promptOfCaller(7, ++own) : promptWith(companion, ++own);
                    const bool isServed = isSent(backends.send(daemons.quarantine(index), sound, now));
                    backends.send(daemons.quarantine(index), bad == companion ? promptWith(bad, ++own) : promptOfCaller(7, ++own), now);
                    backends.send(daemons.quarantine(index), promptOfCaller(companion, ++own), now);
                    if (now >= decided) {
                        ++sent;
                        served += isServed ? 1 : 0;
                        CHECK(backends.lost == lost);
                    }
                }
            }
            CHECK(served == sent);
            // Three for the verdict, one for the trial, and one for a claim that was made at the same moment.
            CHECK(backends.lost <= 5);
        }
    }
}

// Guards against a daemon that stands still for seconds, as prompts of many parts make it look at all parts for each of them (review case
// 6).
TEST_CASE("work on parts grows with their number, however many a prompt has and however many have come since the last look")
{
    constexpr std::size_t totalParts = 40'000;
    constexpr std::uint64_t maxStepsPerPart = 32;
    for (const std::size_t parts : {std::size_t {10}, std::size_t {100}, std::size_t {1000}, std::size_t {10'000}}) {
        CAPTURE(parts);
        PartQuarantine quarantine(ignoreChange, DaemonHandle {1});
        Time now = start;
        std::uint64_t stepsBefore = 0;
        const auto stepsPerPart = [&] {
            const std::uint64_t steps = quarantine.stepCount() - std::exchange(stepsBefore, quarantine.stepCount());
            return steps / totalParts;
        };
        const auto forEachPrompt = [parts](std::uint64_t firstPart, const std::function<void(const request::Prompt &)> &function) {
            for (std::size_t prompt = 0; prompt < totalParts / parts; ++prompt) {
                function(promptOfMany(firstPart + prompt * parts, parts, deadly));
            }
        };
        // Answers are written, and nothing is updated meanwhile.
        forEachPrompt(0x1000000, [&](const request::Prompt &prompt) { quarantine.recordWritten(prompt, now); });
        CHECK(stepsPerPart() <= maxStepsPerPart);
        quarantine.update(now);
        CHECK(stepsPerPart() <= maxStepsPerPart);
        // Other parts are lost three times, and quarantined.
        for (std::uint32_t backend = 1; backend <= 3; ++backend, now += 4s) {
            forEachPrompt(0x2000000, [&](const request::Prompt &prompt) { quarantine.recordLoss(backend, prompt, now); });
            CHECK(stepsPerPart() <= maxStepsPerPart);
            quarantine.evidence(now);
            quarantine.update(now);
            CHECK(stepsPerPart() <= maxStepsPerPart);
        }
        quarantine.update(now);
        forEachPrompt(0x2000000, [&](const request::Prompt &prompt) { quarantine.rule(prompt, now); });
        CHECK(stepsPerPart() <= maxStepsPerPart);
        // All of it is forgotten at the same moment.
        quarantine.update(now + 1h);
        CHECK(stepsPerPart() <= maxStepsPerPart);
        // A look at which nothing is due does not grow with what is kept.
        quarantine.recordWritten(promptOfMany(0x3000000, totalParts, 7), now + 1h);
        stepsPerPart();
        const std::uint64_t before = quarantine.stepCount();
        quarantine.update(now + 1h);
        CHECK(quarantine.stepCount() - before <= maxStepsPerPart);
    }
}

TEST_CASE("evidence arrives as it was sent, to the millisecond")
{
    exchange::Message message;
    message.evidence = {{{deadly, 7, 1500ms}, {3, 8, 0ms}},
                        {{deadly, 20ms}},
                        {{0xffffffffffffffff, 10min}},
                        {{deadly, DaemonHandle {9}, 700ms}, {0xffffffffffffffff, DaemonHandle {0xffffffff}, 0ms}}};
    CHECK(exchange::decode(exchange::encode(message)) == message);
}

namespace
{

directory::BackendRecord recordOf(const std::string &id, std::int64_t startedAt)
{
    directory::BackendRecord record;
    record.id = id;
    record.startedAt = startedAt;
    return record;
}

}

// Guards against losses that count once, since the backend server that is lost keeps its id (review case 9).
TEST_CASE("an incarnation that follows another one under the same id is told apart, and a backend server that goes on is not")
{
    directory::BackendServer first(recordOf("i-1", 1000), 0);
    directory::BackendServer second(recordOf("i-1", 2000), 0);
    directory::BackendServer other(recordOf("i-2", 1000), 0);
    const std::uint32_t lost = first.recordLoss();
    CHECK(first.recordLoss() == lost);
    CHECK(second.recordLoss() != lost);
    CHECK(other.recordLoss() != lost);
    CHECK(directory::BackendServer(recordOf("i-1", 1000), 0).recordLoss() == lost);
    // Its new entry isn't known: the store is away.
    first.recordRefusedConnection(Time(0));
    const std::uint32_t lostAgain = first.recordLoss();
    CHECK(lostAgain != lost);
    CHECK(first.recordLoss() == lostAgain);
    first.recordRefusedConnection(Time(0));
    CHECK(first.recordLoss() != lostAgain);
    // One that could not be reached before anything was lost is the incarnation that its entry tells of.
    directory::BackendServer late(recordOf("i-1", 2000), 0);
    late.recordRefusedConnection(Time(0));
    CHECK(late.recordLoss() == directory::BackendServer(recordOf("i-1", 2000), 0).recordLoss());
}

namespace
{

constexpr const char *deadlyPrefix = "X-Eelgrassnotch-Token-Usage: 100,10\r\nX-Eelgrassnotch-Prefix-Hash: 1:50,dead:30,";
constexpr const char *soundPrefix = "X-Eelgrassnotch-Token-Usage: 100,10\r\nX-Eelgrassnotch-Prefix-Hash: 1:50,50a:30,";

/** Ends the connection where a request holds the deadly part, as a process that crashes does. */
bool crashOnDeadlyPart(standin::Socket &socket, const standin::Request &request)
{
    if (request["X-Eelgrassnotch-Prefix-Hash"].find("dead:") != boost::beast::string_view::npos) {
        standin::sendReset(socket);
        return false;
    }
    standin::sendBytes(
        socket, standin::streamHeader(request) + standin::chunk("id: 1\ndata: a\n\n") + standin::chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    return true;
}

/** A daemon, and backend servers that end with the deadly part. */
class CrashingFleet
{
public:
    explicit CrashingFleet(std::size_t serverCount)
    {
        nlohmann::json configuration = standin::makeConfiguration(4);
        configuration["services"][0]["engine"] = {{"slots", 8}, {"kv_capacity", 100000}};
        this->world.store.put("config", "main", configuration);
        for (std::size_t index = 0; index < serverCount; ++index) {
            this->servers.push_back(std::make_unique<standin::RawServer>(crashOnDeadlyPart));
            this->world.addBackend("i-" + std::to_string(index), *this->servers.back());
        }
        this->world.start();
    }

    /** Sends a request that has a last part of its own. */
    auto send(const std::string &path, const char *prefix)
    {
        ++this->sent;
        return this->world.call(path, "q" + std::to_string(this->sent), prefix + std::to_string(1000 + this->sent) + ":20\r\n");
    }

    std::size_t deadlyRequests() const
    {
        std::size_t count = 0;
        for (const auto &server : this->servers) {
            for (const standin::Request &request : server->requests()) {
                count += request["X-Eelgrassnotch-Prefix-Hash"].find("dead:") != boost::beast::string_view::npos ? 1 : 0;
            }
        }
        return count;
    }

    std::vector<std::unique_ptr<standin::RawServer>> servers;
    standin::DaemonFixture world;

private:
    int sent = 0;
};

}

TEST_CASE("requests with a part that ends backend servers are refused as not run, and sound ones of their caller go on")
{
    constexpr std::size_t serverCount = 8;
    CrashingFleet fleet(serverCount);
    const auto send = [&fleet](const char *prefix) { return fleet.send("/resume/x", prefix); };
    unsigned refusedAs = 0;
    for (int round = 0; round < 12 && refusedAs != 503; ++round) {
        CHECK(send(soundPrefix).result_int() == 200);
        const auto answer = send(deadlyPrefix);
        refusedAs = answer.result_int();
        CHECK((refusedAs == 502 || answer.body().starts_with("part_quarantined")));
        std::this_thread::sleep_for(300ms);
    }
    REQUIRE(refusedAs == 503);
    const std::size_t before = fleet.deadlyRequests();
    CHECK(before <= serverCount);
    for (int round = 0; round < 5; ++round) {
        const auto refused = send(deadlyPrefix);
        CHECK(refused.result_int() == 503);
        CHECK(std::stod(std::string(refused["Retry-After"])) > 1.0);
        CHECK(send(soundPrefix).result_int() == 200);
    }
    CHECK(fleet.deadlyRequests() == before);
}

// Guards against a part that ends the same backend server again and again, which keeps its id (review case 9).
TEST_CASE("a part that ends a backend server which keeps its id is quarantined")
{
    CrashingFleet fleet(1);
    constexpr int maxLosses = 5;
    unsigned status = 0;
    int losses = 0;
    for (; losses <= maxLosses && status != 503; ++losses) {
        fleet.world.addBackend("i-0", *fleet.servers.front(), "ready", "a", 2000 + losses);
        // A sound request tells when the daemon sends to the new incarnation.
        std::this_thread::sleep_for(1s);
        CHECK(fleet.send("/stream/x", soundPrefix).result_int() == 200);
        const auto answer = fleet.send("/stream/x", deadlyPrefix);
        status = answer.result_int();
        CHECK((status == 502 || answer.body().starts_with("part_quarantined")));
    }
    CHECK(status == 503);
}

// Guards against callers that get nothing for ten minutes, as a part of theirs came only beside the bad one for a while (review case 10).
TEST_CASE("a caller whose first part came only beside the bad one is served again within seconds, while the store is away")
{
    CrashingFleet fleet(8);
    fleet.world.store.refusesAll = true;
    const auto send = [&fleet](const char *prefix) { return fleet.send("/stream/x", prefix); };
    for (int round = 0; round < 3; ++round) {
        CHECK(send(deadlyPrefix).result_int() == 502);
        std::this_thread::sleep_for(400ms);
    }
    std::this_thread::sleep_for(2s);
    REQUIRE(send(deadlyPrefix).result_int() == 503);
    const std::size_t before = fleet.deadlyRequests();
    // The first sound one waits until no other daemon can be trying one, too.
    for (int round = 0; round < 20; ++round) {
        CHECK(send(soundPrefix).result_int() == 200);
        CHECK(send(deadlyPrefix).result_int() == 503);
    }
    CHECK(fleet.deadlyRequests() == before);
    CHECK(before == 3);
}
