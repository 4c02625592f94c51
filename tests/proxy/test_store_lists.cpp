/** @file Lists of the store that entries of other writers, or the store itself, make hard to read. */

#include "process/store/collection_watcher.h"
#include "proxy/daemon_fixture.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <mutex>
#include <set>

using namespace standin;
using process::store::Collection;
using process::store::CollectionWatcher;
using process::store::ObjectChange;
using process::store::Position;
using process::store::StoredObject;
using process::store::WatcherHooks;
using process::store::WatchPace;

namespace
{

const json odd = {{"not", "a backend server"}};
/** Faults last for this long: more than the pause after which a list is read again. */
constexpr auto faultTime = 2500ms;
/** Calls of one watcher in that time: four for each of three lists, and watches of half a second, some of them cut short. */
constexpr std::size_t mostCallsInFault = 30;

/** Follows the entries of backend servers in a thread of its own. */
class Follower
{
public:
    explicit Follower(const ObjectStore &store, WatchPace pace = {500ms, 10ms})
        : watcher(this->context, connection::http::parseEndpoint(store.address()), std::make_shared<const platform::Dialect>(),
                  Collection::Backends, pace, this->hooks())
    {
        this->watcher.start();
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~Follower()
    {
        this->context.stop();
        this->thread.join();
    }

    bool knows(const std::string &name) const
    {
        const std::lock_guard lock(this->mutex);
        return this->names.contains(name);
    }
    std::size_t known() const
    {
        const std::lock_guard lock(this->mutex);
        return this->names.size();
    }

    std::atomic<std::size_t> lists {0};
    std::atomic<std::size_t> incompleteLists {0};
    std::atomic<std::size_t> confirmations {0};
    std::atomic<std::size_t> calls {0};
    std::atomic<bool> isReachable {true};

private:
    void add(const std::vector<StoredObject> &objects)
    {
        for (const StoredObject &object : objects) {
            this->names.insert(object.name);
        }
    }

    WatcherHooks hooks()
    {
        WatcherHooks hooks;
        hooks.onList = [this](const std::vector<StoredObject> &objects) {
            const std::lock_guard lock(this->mutex);
            this->names.clear();
            this->add(objects);
            ++this->lists;
        };
        hooks.onPart = [this](const std::vector<StoredObject> &objects) {
            const std::lock_guard lock(this->mutex);
            this->add(objects);
        };
        hooks.onIncomplete = [this] { ++this->incompleteLists; };
        hooks.onChange = [this](const ObjectChange &change) {
            const std::lock_guard lock(this->mutex);
            if (change.isRemoved) {
                this->names.erase(change.object.name);
            } else {
                this->names.insert(change.object.name);
            }
        };
        hooks.onEraChange = [] {};
        hooks.onConfirmed = [this](Time, const Position &) { ++this->confirmations; };
        hooks.onReachability = [this](bool reachable, const std::string &) { this->isReachable = reachable; };
        hooks.onCall = [this](unsigned) { ++this->calls; };
        return hooks;
    }

    mutable std::mutex mutex;
    std::set<std::string> names;
    boost::asio::io_context context;
    CollectionWatcher watcher;
    std::thread thread;
};

/** Four entries, one a page. */
void fill(ObjectStore &store)
{
    store.pageLength = 1;
    for (const char *name : {"i-1", "i-2", "i-3", "i-4"}) {
        store.put("servers", name, odd);
    }
}

/** Checks that a list whose third page is spoilt is used as far as it goes, isn't asked for without end, and comes back as a whole. */
void checkSpoiltPage(const ObjectStore::ListFault &fault)
{
    ObjectStore store;
    fill(store);
    store.setListFault(fault);
    Follower follower(store);
    CHECK(eventually([&] { return follower.incompleteLists > 0; }));
    CHECK(follower.knows("i-1"));
    CHECK(follower.knows("i-2"));
    store.put("servers", "i-5", odd);
    store.remove("servers", "i-1");
    CHECK(eventually([&] { return follower.knows("i-5") && !follower.knows("i-1"); }));
    std::this_thread::sleep_for(faultTime);
    CHECK(follower.calls < mostCallsInFault);
    CHECK(follower.lists == 0);
    CHECK(follower.confirmations == 0);
    CHECK(follower.isReachable);
    store.setListFault({});
    CHECK(eventually([&] { return follower.lists > 0 && follower.confirmations > 0; }));
    CHECK(follower.known() == 4);
}

}

TEST_CASE("an entry of another writer hides none of the entries behind it, whatever its name holds")
{
    const RawServer server(answerOk);
    DaemonFixture fixture;
    fixture.store.pageLength = 1;
    for (const std::string marks : {"&", "+", "#", "%", " ", "%2", "/", "?", "=", ";", "\"", "\\", "&x=1&", "\xc3\xa9"}) {
        fixture.store.put("servers", "a" + marks + "b", odd);
        fixture.store.put("servers", "h" + marks, odd);
    }
    fixture.addBackend("i-1", server);
    fixture.startWithoutWaiting();
    CHECK(eventually([&] { return fixture.call("/check/1", "r-1").result_int() == 200; }));
    CHECK(fixture.probeStatus() == 200);
}

TEST_CASE("a page that can't be read does not hide the pages before it")
{
    checkSpoiltPage([](const std::string &, const std::string &afterName, unsigned &, std::string &body) {
        if (afterName == "i-2") {
            body.resize(body.size() / 2);
        }
    });
}

TEST_CASE("a page that the store refuses does not hide the pages before it")
{
    for (const unsigned refusal : {400u, 404u, 429u, 503u}) {
        CAPTURE(refusal);
        checkSpoiltPage([refusal](const std::string &, const std::string &afterName, unsigned &status, std::string &body) {
            if (afterName == "i-2") {
                status = refusal;
                body = "{}";
            }
        });
    }
}

TEST_CASE("a list whose cursor stands still is not asked for without end")
{
    checkSpoiltPage([](const std::string &, const std::string &afterName, unsigned &, std::string &body) {
        if (afterName == "i-2") {
            json page = json::parse(body);
            page["items"][0]["metadata"]["name"] = "i-2";
            page["more"] = true;
            body = page.dump();
        }
    });
}

TEST_CASE("a list goes on after the last name that can be read, and ends where none can")
{
    checkSpoiltPage([](const std::string &, const std::string &afterName, unsigned &, std::string &body) {
        if (afterName == "i-2") {
            json page = json::parse(body);
            page["items"][0]["metadata"]["name"] = 7;
            body = page.dump();
        }
    });
    ObjectStore store;
    fill(store);
    store.setListFault([](const std::string &, const std::string &afterName, unsigned &, std::string &body) {
        if (afterName == "i-1") {
            json page = json::parse(body);
            page["items"][0]["metadata"]["revision"] = "none";
            page["items"].push_back("no object");
            body = page.dump();
        }
    });
    const Follower follower(store);
    CHECK(eventually([&] { return follower.lists > 0; }));
    CHECK(follower.known() == 4);
}

// Guards against a list that ends where the entry that ended a page is gone when the next page is asked for.
TEST_CASE("a list goes on where its cursor fails")
{
    // Entries of backend servers between those of another writer; those that end a page are removed as soon as it was told.
    for (const std::string mark : {"-", "+"}) {
        for (const std::size_t pageLength : {1, 2, 3, 7}) {
            CAPTURE(mark);
            CAPTURE(pageLength);
            ObjectStore store;
            store.pageLength = pageLength;
            store.refusesUnknownCursors = true;
            constexpr std::size_t count = 30;
            for (std::size_t index = 0; index < count; ++index) {
                const std::string name = "i-" + std::to_string(100 + index);
                store.put("servers", name, odd);
                store.put("servers", name + mark + "a", odd);
                store.put("servers", name + mark + "b", odd);
            }
            store.setListFault([&store](const std::string &kind, const std::string &, unsigned &, std::string &body) {
                const json page = json::parse(body);
                if (const std::string last = page.at("items").back().at("metadata").at("name"); last.size() > 5) {
                    store.remove(kind, last);
                }
            });
            const Follower follower(store);
            CHECK(eventually([&] { return follower.lists > 0; }));
            CHECK(follower.incompleteLists == 0);
            for (std::size_t index = 0; index < count; ++index) {
                CHECK(follower.knows("i-" + std::to_string(100 + index)));
            }
        }
    }
}

TEST_CASE("a list goes on after plain names, which any store decodes alike")
{
    ObjectStore store;
    store.pageLength = 3;
    for (const char *name : {"i-1", "i-2", "i-2&", "i-2+", "i-3", "i-4 ", "i-4#", "i-5", "i-6%"}) {
        store.put("servers", name, odd);
    }
    std::mutex mutex;
    std::set<std::string> cursors;
    store.setListFault([&](const std::string &, const std::string &afterName, unsigned &, std::string &) {
        const std::lock_guard lock(mutex);
        cursors.insert(afterName);
    });
    const Follower follower(store);
    CHECK(eventually([&] { return follower.lists > 0; }));
    CHECK(follower.known() == 9);
    const std::lock_guard lock(mutex);
    CHECK(cursors == std::set<std::string> {"", "i-2", "i-3", "i-5"});
}

TEST_CASE("a list of which each page is the same is not asked for without end")
{
    ObjectStore store;
    for (int index = 0; index < 100; ++index) {
        store.put("servers", "i-" + std::to_string(index), odd);
    }
    store.setListFault([](const std::string &, const std::string &, unsigned &, std::string &body) {
        json page = json::parse(body);
        page["more"] = true;
        body = page.dump();
    });
    const Follower follower(store);
    CHECK(eventually([&] { return follower.incompleteLists > 0; }));
    std::this_thread::sleep_for(faultTime);
    CHECK(follower.calls < mostCallsInFault);
    CHECK(follower.lists == 0);
}

TEST_CASE("a list without an end is given up")
{
    for (const std::size_t pageLength : {std::size_t {1}, std::size_t {5000}}) {
        CAPTURE(pageLength);
        ObjectStore store;
        std::atomic<std::size_t> pages {0};
        store.setListFault([&pages, pageLength](const std::string &, const std::string &, unsigned &, std::string &body) {
            json items = json::array();
            const std::size_t page = pages++;
            for (std::size_t index = 0; index < pageLength; ++index) {
                const std::string name = "n-" + std::to_string(page) + "-" + std::to_string(index);
                items.push_back({{"metadata", {{"name", name}, {"revision", 1}}}, {"spec", nullptr}});
            }
            body = json {{"items", items}, {"more", true}, {"at", 200}}.dump();
        });
        const Follower follower(store);
        CHECK(eventually([&] { return follower.incompleteLists > 0; }));
        CHECK(pages * pageLength < 50'000);
        CHECK(pages < 250);
        CHECK(follower.lists == 0);
        CHECK(follower.confirmations == 0);
    }
}

TEST_CASE("a change between two pages of a list is not lost, whichever page it concerns")
{
    ObjectStore store;
    fill(store);
    std::atomic<bool> isChanged {false};
    store.setListFault([&](const std::string &, const std::string &afterName, unsigned &, std::string &) {
        if (afterName == "i-2" && !isChanged.exchange(true)) {
            store.remove("servers", "i-1");
            store.put("servers", "i-0", odd);
        }
    });
    const Follower follower(store);
    CHECK(eventually([&] { return follower.knows("i-0") && !follower.knows("i-1"); }));
    CHECK(follower.lists > 0);
}

TEST_CASE("a collection that can't be read at all does not stop the others")
{
    const RawServer server(answerOk);
    for (const std::string kind : {"evacuations", "eelgrassnotch-daemons"}) {
        CAPTURE(kind);
        DaemonFixture fixture;
        fixture.store.setListFault([&kind](const std::string &listed, const std::string &, unsigned &, std::string &body) {
            if (listed == kind) {
                body = "<html>";
            }
        });
        fixture.addBackend("i-1", server);
        fixture.startWithoutWaiting();
        CHECK(eventually([&] { return fixture.call("/check/1", "r-1").result_int() == 200 && fixture.probeStatus() == 200; }));
    }
}

TEST_CASE("a collection that the store refuses for now does not stop the others")
{
    const RawServer server(answerOk);
    for (const unsigned refusal : {429u, 503u}) {
        for (const std::string kind : {"evacuations", "rollouts"}) {
            CAPTURE(refusal);
            CAPTURE(kind);
            DaemonFixture fixture;
            fixture.store.setListFault(
                [&kind, refusal](const std::string &listed, const std::string &, unsigned &status, std::string &body) {
                    if (listed == kind) {
                        status = refusal;
                        body = "{}";
                    }
                });
            fixture.addBackend("i-1", server);
            fixture.startWithoutWaiting();
            CHECK(eventually([&] { return fixture.call("/check/1", "r-1").result_int() == 200 && fixture.probeStatus() == 200; }));
            fixture.store.remove("servers", "i-1");
            fixture.addBackend("i-2", server);
            CHECK(eventually([&] { return fixture.call("/check/1", "r-2").result_int() == 200; }));
        }
    }
}

TEST_CASE("a search goes on with the next list where it stopped")
{
    ObjectStore store;
    fill(store);
    store.setListFault([](const std::string &, const std::string &afterName, unsigned &, std::string &body) {
        // Most of the places that a search can try are unreadable.
        if (afterName >= "i-2" && afterName < "i-2zzzz") {
            body.resize(body.size() / 2);
        }
    });
    const Follower follower(store);
    CHECK(eventually([&] { return follower.knows("i-3") && follower.knows("i-4"); }));
    CHECK(follower.lists == 0);
}

TEST_CASE("a store that refuses most collections, then all calls, is found again")
{
    const RawServer server(answerOk);
    DaemonFixture fixture;
    fixture.store.setListFault([](const std::string &kind, const std::string &, unsigned &status, std::string &) {
        status = kind == "servers" || kind == "evacuations" ? 503 : status;
    });
    fixture.addBackend("i-1", server);
    fixture.startWithoutWaiting();
    CHECK(eventually([&] { return fixture.call("/open/1", "r-0").body().find("no_backend") != std::string::npos; }));
    fixture.store.refusesAll = true;
    std::this_thread::sleep_for(faultTime);
    const std::size_t before = fixture.store.calls;
    std::this_thread::sleep_for(faultTime);
    // Two watchers that search, of orders and of all others, and lists of daemons.
    CHECK(fixture.store.calls - before < mostCallsInFault);
    fixture.store.setListFault({});
    fixture.store.refusesAll = false;
    CHECK(eventually([&] { return fixture.call("/check/1", "r-1").result_int() == 200 && fixture.probeStatus() == 200; }));
}
