/** @file Availability of backend servers as their entries appear, change and vanish. */

#include "process/directory/backend_directory.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process::directory;
using namespace std::chrono_literals;

namespace
{

constexpr Time start = 100s;

BackendRecord makeRecord(const std::string &id)
{
    BackendRecord record;
    record.id = id;
    record.service = "model";
    record.address = "10.0.0.1:80";
    record.dataCentre = "a";
    record.slots = 8;
    record.startedAt = 1000;
    return record;
}

struct Fixture {
    std::vector<BackendChange> changes;
    BackendDirectory directory {[](const std::string &) { return std::uint64_t {0}; },
                                [this](const BackendChange &change) { this->changes.push_back(change); }};

    Availability availability(std::size_t index = 0) const
    {
        return this->directory.ofService("model").at(index)->availability;
    }
};

}

TEST_CASE_FIXTURE(Fixture, "a backend server is removed at once when its entry vanishes without a store outage")
{
    this->directory.apply(makeRecord("i-1"), start);
    CHECK(this->availability() == Availability::Ready);
    this->directory.remove("i-1", start + 10s);
    CHECK(this->directory.ofService("model").empty());
    CHECK(this->changes.back() == BackendChange {"i-1", Availability::Gone, "entry removed"});
}

TEST_CASE_FIXTURE(Fixture, "backend servers whose entries expire during a store outage stay usable until two seconds after it")
{
    this->directory.apply(makeRecord("i-1"), start);
    this->directory.apply(makeRecord("i-2"), start);
    this->directory.onStoreUnavailable();
    this->directory.onStoreAvailable(start + 10s);
    this->directory.replaceAll({}, start + 10s);
    CHECK(this->availability(0) == Availability::Unconfirmed);
    this->directory.apply(makeRecord("i-2"), start + 11s);
    this->directory.expireUnconfirmed(start + 11900ms);
    CHECK(this->directory.ofService("model").size() == 2);
    this->directory.expireUnconfirmed(start + 12s);
    REQUIRE(this->directory.ofService("model").size() == 1);
    CHECK(this->directory.ofService("model").front()->record.id == "i-2");
    CHECK(this->availability() == Availability::Ready);
}

TEST_CASE_FIXTURE(Fixture, "a leaving backend server never becomes ready again in the same incarnation")
{
    BackendRecord record = makeRecord("i-1");
    this->directory.apply(record, start);
    record.isDraining = true;
    this->directory.apply(record, start + 1s);
    CHECK(this->availability() == Availability::Draining);
    record.isDraining = false;
    this->directory.apply(record, start + 2s);
    CHECK(this->availability() == Availability::Draining);
    record.startedAt = 2000;
    this->directory.apply(record, start + 3s);
    CHECK(this->availability() == Availability::Ready);
}

TEST_CASE_FIXTURE(Fixture, "a restart under the same id resets load and cold state, and a late entry of the earlier incarnation is ignored")
{
    this->directory.apply(makeRecord("i-1"), start);
    const BackendServerPtr before = this->directory.ofService("model").front();
    BackendRecord restarted = makeRecord("i-1");
    restarted.startedAt = 2000;
    restarted.coldLeft = 3s;
    this->directory.apply(restarted, start + 1s);
    const BackendServerPtr after = this->directory.ofService("model").front();
    CHECK(before != after);
    CHECK(before->availability == Availability::Gone);
    CHECK(after->isCold(start + 4s));
    this->directory.apply(makeRecord("i-1"), start + 2s);
    CHECK(this->directory.ofService("model").front() == after);
}

TEST_CASE_FIXTURE(Fixture, "an entry that can't be read removes its backend server and no other")
{
    this->directory.apply(makeRecord("i-1"), start);
    this->directory.apply(makeRecord("i-2"), start);
    this->directory.onUnreadableEntry("i-1", start);
    REQUIRE(this->directory.ofService("model").size() == 1);
    CHECK(this->directory.ofService("model").front()->record.id == "i-2");
}

TEST_CASE_FIXTURE(Fixture, "a backend server is removed when another instance answers at its address")
{
    this->directory.apply(makeRecord("i-1"), start);
    this->directory.onWrongInstance(this->directory.ofService("model").front(), 1s);
    CHECK(this->directory.ofService("model").empty());
}

TEST_CASE_FIXTURE(Fixture,
                  "a store that comes back from an older copy brings back backend servers that are gone, or loses those that it lacks")
{
    for (const char *id : {"i-1", "i-2", "i-3"}) {
        this->directory.apply(makeRecord(id), start);
    }
    BackendRecord draining = makeRecord("i-2");
    draining.isDraining = true;
    this->directory.apply(draining, start + 5s);
    this->directory.remove("i-1", start + 5s);
    this->directory.apply(makeRecord("i-4"), start + 6s);
    // The copy is from before all of this.
    this->directory.onStoreRestored(start + 10s);
    this->directory.replaceAll({makeRecord("i-1"), makeRecord("i-2"), makeRecord("i-3")}, start + 10s);
    REQUIRE(this->directory.ofService("model").size() == 3);
    CHECK(this->availability(0) == Availability::Draining);
    CHECK(this->availability(1) == Availability::Ready);
    CHECK(this->availability(2) == Availability::Unconfirmed);
    // What is written again counts.
    this->directory.apply(makeRecord("i-4"), start + 11s);
    this->directory.apply(makeRecord("i-1"), start + 11s);
    this->directory.expireUnconfirmed(start + 13s);
    CHECK(this->directory.ofService("model").size() == 4);
}

TEST_CASE_FIXTURE(Fixture, "backend servers of a returning data centre are cold")
{
    this->directory.apply(makeRecord("i-1"), start);
    this->directory.setTakenOut({"a"}, 3s, start);
    CHECK(this->directory.isTakenOut("a"));
    this->directory.setTakenOut({}, 3s, start + 5s);
    CHECK_FALSE(this->directory.isTakenOut("a"));
    CHECK(this->directory.ofService("model").front()->isCold(start + 7s));
    CHECK_FALSE(this->directory.ofService("model").front()->isCold(start + 9s));
}

// Guards against an index that is made anew for each entry of a list (as in review case 6), and against one that is kept wrongly in its
// place.
TEST_CASE_FIXTURE(Fixture, "backend servers are found by service and by incarnation as entries come, move, restart and vanish")
{
    std::map<std::string, BackendRecord> known;
    for (std::uint32_t step = 0; step < 3000; ++step) {
        BackendRecord record = makeRecord("i-" + std::to_string(hashName(std::to_string(step)) % 100));
        const auto found = known.find(record.id);
        record.startedAt = found == known.end() ? 1000 : found->second.startedAt + (step % 3 == 0 ? 1 : 0);
        record.service = step % 7 == 0 ? "other" : "model";
        if (step % 5 == 0) {
            this->directory.remove(record.id, start);
            known.erase(record.id);
            continue;
        }
        this->directory.apply(record, start);
        known[record.id] = record;
    }
    for (const std::string service : {"model", "other"}) {
        std::vector<std::string> expected;
        for (const auto &[id, record] : known) {
            if (record.service == service) {
                expected.push_back(id);
            }
        }
        std::vector<std::string> indexed;
        for (const BackendServerPtr &backend : this->directory.ofService(service)) {
            indexed.push_back(backend->record.id);
            CHECK(this->directory.findIncarnation(backend->incarnation) == backend);
        }
        CHECK_FALSE(expected.empty());
        CHECK(indexed == expected);
    }
}

TEST_CASE("a failing backend server gets single trial requests, and is cold when it works again")
{
    BackendServer backend(makeRecord("i-1"), 0);
    CHECK(backend.isRequestAllowed(start));
    backend.recordFailure(start, start);
    CHECK(backend.isRequestAllowed(start));
    backend.recordFailure(start, start);
    CHECK_FALSE(backend.isRequestAllowed(start + 100ms));
    CHECK(backend.isRequestAllowed(start + 600ms));
    backend.recordAttempt(start + 600ms);
    CHECK_FALSE(backend.isRequestAllowed(start + 610ms));
    backend.recordSuccess(start + 700ms, 3s);
    CHECK(backend.isRequestAllowed(start + 710ms));
    CHECK(backend.isCold(start + 3s));
}

TEST_CASE("a backend server whose connections were reset at the same moment gets no more requests")
{
    BackendServer backend(makeRecord("i-1"), 0);
    for (int connection = 0; connection < 20; ++connection) {
        backend.recordFailure(start + connection * 1ms, start + 100ms + connection * 2ms);
    }
    CHECK(backend.isRequestAllowed(start + 200ms));
    // The next attempt tells whether it still works.
    backend.recordFailure(start + 200ms, start + 210ms);
    CHECK_FALSE(backend.isRequestAllowed(start + 220ms));
}

TEST_CASE("an unresponsive backend server gets no more requests, and one that answers other requests is not unresponsive")
{
    BackendServer backend(makeRecord("i-1"), 0);
    backend.recordAttempt(start);
    CHECK(backend.isRequestAllowed(start + 1s));
    CHECK_FALSE(backend.isRequestAllowed(start + 2s));
    backend.recordAttempt(start + 1s);
    backend.recordWaitEnd(start + 1s, true, start + 1500ms);
    CHECK(backend.isRequestAllowed(start + 2s));
}

// Guards against requests that meet the same refused connection again and again.
TEST_CASE("a backend server that refused a connection gets probe requests only, until one is answered")
{
    BackendServer backend(makeRecord("i-1"), 0);
    CHECK(backend.isRequestAllowed(start));
    CHECK_FALSE(backend.hasAnswered());
    backend.recordAttempt(start);
    backend.recordFailure(start, start);
    backend.recordRefusedConnection(start);
    backend.recordWaitEnd(start, false, start);
    CHECK_FALSE(backend.isRequestAllowed(start + 100ms));
    CHECK(backend.isRequestAllowed(start + 500ms));
    backend.recordAttempt(start + 500ms);
    CHECK_FALSE(backend.isRequestAllowed(start + 600ms));
    backend.recordWaitEnd(start + 500ms, true, start + 600ms);
    backend.recordSuccess(start + 600ms, 3s);
    CHECK(backend.isRequestAllowed(start + 600ms));
    CHECK(backend.hasAnswered());
    // It has started again.
    CHECK(backend.isCold(start + 3s));
}
