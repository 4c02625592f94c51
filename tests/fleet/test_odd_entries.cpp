/**
 * @file Daemon processes that start, and run, while entries of another writer stand in the store.
 * @remarks Guards against an entry that hides what stands beside or behind it.
 */

#include "fleet/service_fleet.h"

#include <string>
#include <vector>

using namespace fleet;

namespace
{

const json odd = {{"not", "a backend server"}};

/** Names before the mark of an odd entry, which follows the backend server of that name, and where it then stands. */
struct Place {
    std::string name;
    std::string before;
};

const std::vector<Place> places {
    {"middle of a page", "i-10"}, {"last of a page", "i-11"}, {"first of a page", "i-12"}, {"last of the list", "i-17"}};

}

TEST_CASE("an entry of another writer, written while daemons run, hides nothing from them, nor after all were restarted")
{
    for (const std::size_t daemonCount : {watchingDaemons, followingDaemons}) {
        for (const std::string mark : {"&", "+", "#", "%", " "}) {
            for (const Place &place : places) {
                CAPTURE(daemonCount);
                CAPTURE(mark);
                CAPTURE(place.name);
                Fleet fleet(daemonCount);
                REQUIRE(fleet.restartAll());
                fleet.store.put("servers", place.before + mark + "x", odd);
                // A backend server that comes later shows that the change was read.
                fleet.store.remove("servers", Fleet::nameOf(4));
                fleet.putBackend(4);
                CHECK(standin::eventually([&] { return fleet.served() == fleet.asked(); }));
                CHECK(fleet.restartAll());
                CHECK(fleet.served() == fleet.asked());
            }
        }
    }
}

TEST_CASE("an entry of another writer, written before daemons start, hides nothing from them")
{
    for (const std::string mark : {"&", "+", "#", "%", " "}) {
        for (const Place &place : places) {
            CAPTURE(mark);
            CAPTURE(place.name);
            Fleet fleet(watchingDaemons);
            fleet.store.put("servers", place.before + mark + "x", odd);
            fleet.checkStarts();
        }
    }
}

TEST_CASE("large entries of another writer hide nothing, and are read in bounded memory")
{
    constexpr std::size_t entryBytes = 900'000;
    constexpr std::size_t entryCount = 20;
    for (const std::size_t pageBytes : {std::size_t {1'000'000}, std::size_t {100'000'000}}) {
        for (const std::string kind : {"servers", "config", "evacuations", "eelgrassnotch-daemons", "rollouts"}) {
            CAPTURE(pageBytes);
            CAPTURE(kind);
            Fleet fleet(watchingDaemons);
            fleet.store.pageLength = 500;
            fleet.store.pageBytes = pageBytes;
            for (std::size_t index = 0; index < entryCount; ++index) {
                fleet.store.put(kind, "a-" + std::to_string(index), {{"not", std::string(entryBytes, 'x')}});
            }
            fleet.checkStarts();
        }
    }
}

TEST_CASE("entries without a readable name hide nothing")
{
    for (const std::string text : {R"({"metadata":{},"spec":{}})", R"({"metadata":{"name":7}})", "null"}) {
        for (const std::string before : {"a-", "i-0", "i-11", "i-12", "z-"}) {
            CAPTURE(text);
            CAPTURE(before);
            Fleet fleet(watchingDaemons);
            for (std::size_t index = 0; index < 2 * pageLength; ++index) {
                fleet.store.putText("servers", before + "x" + std::to_string(index), text);
            }
            fleet.checkStarts();
        }
    }
}

TEST_CASE("entries that break answers off hide nothing")
{
    const std::string brokenText = R"({"metadata":{"name":"bro)";
    for (const std::string kind : {"servers", "config"}) {
        for (const std::string name : {"a-odd", "i-10x", "i-11x", "i-12x", "i-17x", "z-odd"}) {
            for (const bool isClosed : {true, false}) {
                CAPTURE(kind);
                CAPTURE(name);
                CAPTURE(isClosed);
                Fleet fleet(watchingDaemons);
                if (isClosed) {
                    fleet.store.put(kind, name, odd);
                    fleet.store.breakListsAt(kind, "\"" + name + "\"");
                } else {
                    fleet.store.putText(kind, name, brokenText);
                }
                fleet.checkStarts();
            }
        }
    }
}

TEST_CASE("lists that always break off keep no daemon from its work")
{
    for (const std::string kind : {"evacuations", "eelgrassnotch-daemons", "rollouts"}) {
        for (const std::string place : {"", "\"items\"", "\"more\""}) {
            CAPTURE(kind);
            CAPTURE(place);
            Fleet fleet(watchingDaemons);
            fleet.store.put(kind, "elsewhere", odd);
            fleet.store.breakListsAt(kind, place);
            fleet.checkStarts();
        }
    }
}

TEST_CASE("large entries that are written while daemons run hide no change, also from daemons that follow a relay")
{
    constexpr std::size_t entryBytes = 900'000;
    constexpr std::size_t entryCount = 20;
    for (const std::string kind : {"servers", "config", "evacuations"}) {
        CAPTURE(kind);
        Fleet fleet(followingDaemons);
        fleet.store.pageLength = 500;
        REQUIRE(fleet.restartAll());
        for (std::size_t index = 0; index < entryCount; ++index) {
            fleet.store.put(kind, "large-" + std::to_string(index), {{"not", std::string(entryBytes, 'x')}});
        }
        // A backend server that comes later shows that the changes were read.
        fleet.store.remove("servers", Fleet::nameOf(4));
        fleet.putBackend(4);
        CHECK(standin::eventually([&] { return fleet.served() == fleet.asked(); }));
        fleet.checkStarts();
    }
}

TEST_CASE("an entry that ends a page and is gone before the next call hides nothing")
{
    for (const std::string mark : {"-", "+"}) {
        CAPTURE(mark);
        Fleet fleet(watchingDaemons);
        fleet.store.refusesUnknownCursors = true;
        fleet.store.setListFault([&fleet, &mark](const std::string &kind, const std::string &, unsigned &, std::string &body) {
            const json page = json::parse(body);
            if (page.at("more").get<bool>()) {
                const std::string last = page.at("items").back().at("metadata").at("name");
                if (last.ends_with(mark + "x") || last.ends_with(mark + "y")) {
                    fleet.store.remove(kind, last);
                }
            }
        });
        for (int start = 0; start < 2; ++start) {
            CAPTURE(start);
            for (std::size_t index = 0; index < serviceCount; ++index) {
                fleet.store.put("servers", Fleet::nameOf(index) + mark + "x", odd);
                fleet.store.put("servers", Fleet::nameOf(index) + mark + "y", odd);
            }
            CHECK(fleet.restartAll());
            CHECK(fleet.served() == fleet.asked());
        }
    }
}
