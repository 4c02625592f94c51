/** @file The platform's bodies and entries, also when other writers spoil them. */

#include "platform/dialect.h"
#include "platform/settings.h"

#include <doctest/doctest.h>

#include <random>

using namespace eelgrassnotch;
using nlohmann::json;
using process::store::Collection;
using process::store::StoredObject;

namespace
{

const json goodEntry = {{"service", "svc"}, {"address", "10.0.0.9:8080"}, {"zone", "a"}, {"version", "v1"},      {"slots", 128},
                        {"state", "ready"}, {"cold_left_ms", 1500},       {"seq", 4},    {"born", 1769000000000}};

json withMember(const char *key, const json &value)
{
    json entry = goodEntry;
    entry[key] = value;
    return entry;
}

}

TEST_CASE("an entry is decoded once, into named fields")
{
    const platform::Dialect dialect;
    const auto record = dialect.readBackend({"i-1", 5, goodEntry});
    REQUIRE(record);
    CHECK(record->id == "i-1");
    CHECK(record->service == "svc");
    CHECK(record->slots == 128);
    CHECK(record->coldLeft == std::chrono::milliseconds(1500));
    CHECK(record->startedAt == 1769000000000);
    CHECK_FALSE(record->isDraining);
    CHECK(dialect.readBackend({"i-1", 5, withMember("state", "draining")})->isDraining);
}

TEST_CASE("an entry with missing or wrong fields names no backend server")
{
    const platform::Dialect dialect;
    for (const char *key : {"service", "address", "zone", "slots", "state", "cold_left_ms"}) {
        json entry = goodEntry;
        entry.erase(key);
        CHECK_FALSE(dialect.readBackend({"i-1", 5, entry}));
        CHECK_FALSE(dialect.readBackend({"i-1", 5, withMember(key, json::array())}));
    }
    CHECK_FALSE(dialect.readBackend({"i-1", 5, withMember("state", "happy")}));
    CHECK_FALSE(dialect.readBackend({"i-1", 5, withMember("address", "nowhere")}));
    CHECK_FALSE(dialect.readBackend({"i-1", 5, json("text")}));
    CHECK_FALSE(dialect.readBackend({"i-1", 5, json()}));
}

TEST_CASE("spoiled bodies of the store are refused, and no spoiled entry is used as another one")
{
    const platform::Dialect dialect;
    const std::string page
        = json {{"items", {{{"metadata", {{"name", "i-1"}, {"revision", 7}}}, {"spec", goodEntry}}}}, {"more", false}, {"at", 9}}.dump();
    CHECK(dialect.readPage(page).objects.size() == 1);
    std::mt19937 random(1);
    constexpr int rounds = 20000;
    for (int round = 0; round < rounds; ++round) {
        std::string spoiled = page;
        const std::size_t changes = 1 + random() % 5;
        for (std::size_t change = 0; change < changes; ++change) {
            spoiled[random() % spoiled.size()] = static_cast<char>(random());
        }
        try {
            for (const StoredObject &object : dialect.readPage(spoiled).objects) {
                if (const auto record = dialect.readBackend(object)) {
                    CHECK_FALSE(record->address.empty());
                }
            }
        } catch (const std::exception &) {
            continue; // Refused as a whole; the watcher asks again.
        }
    }
}

TEST_CASE("calls name the collection, and say whether an old answer will do")
{
    const platform::Dialect dialect;
    CHECK(dialect.listTarget(Collection::Backends, "", false) == "/-/objects/servers");
    CHECK(dialect.listTarget(Collection::Backends, "i-1", false) == "/-/objects/servers?after_rev=i-1");
    CHECK(dialect.listTarget(Collection::Daemons, "", true) == "/-/objects/eelgrassnotch-daemons?serializable=1");
    CHECK(dialect.watchTarget(Collection::Configuration, 12, std::chrono::milliseconds(1800)) == "/-/objects/config?watch=12&wait_ms=1800");
}

TEST_CASE("a settings file that can't be read is an error that names it")
{
    CHECK_THROWS_WITH_AS(platform::readSettings("/nowhere/settings.json"), "settings file /nowhere/settings.json can't be opened",
                         std::runtime_error);
}

TEST_CASE("only the daemon names a source to copy prompt parts from")
{
    const platform::Dialect dialect;
    connection::http::Request request(boost::beast::http::verb::post, "/x", 11);
    request.set("Kv-Fetch", "10.0.0.66:80");
    process::BackendRequestFields call;
    call.expectedInstance = "i-1";
    CHECK(dialect.toBackendRequest(request, call).count("Kv-Fetch") == 0);
    call.prefixSourceAddress = "10.0.0.9:8080";
    CHECK(dialect.toBackendRequest(request, call)["Kv-Fetch"] == "10.0.0.9:8080");
}
