/** @file The platform's bodies and entries, also when other writers spoil them. */

#include "platform/dialect.h"
#include "platform/settings.h"
#include "process/event_log.h"
#include "proxy/store_answers.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace eelgrassnotch;
using nlohmann::json;
using process::store::Collection;
using process::store::StoredObject;
using standin::readChanges;
using standin::readPage;

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
    for (const char *key : {"service", "address", "zone", "version", "slots", "state", "cold_left_ms", "seq"}) {
        json entry = goodEntry;
        entry.erase(key);
        CHECK_FALSE(dialect.readBackend({"i-1", 5, entry}));
        for (const json &value : {json(), json(true), json(-1), json(""), json::array(), json::object()}) {
            CAPTURE(key);
            CAPTURE(value);
            CHECK_FALSE(dialect.readBackend({"i-1", 5, withMember(key, value)}));
        }
    }
    for (const char *key : {"slots", "seq", "born"}) {
        CHECK_FALSE(dialect.readBackend({"i-1", 5, withMember(key, 3.5)}));
        CHECK(dialect.readBackend({"i-1", 5, withMember(key, 3.0)}));
    }
    for (const json &value : {json(), json(true), json(-1), json("1769000000000"), json::array()}) {
        CHECK_FALSE(dialect.readBackend({"i-1", 5, withMember("born", value)}));
    }
    CHECK_FALSE(dialect.readBackend({"i-1", 5, withMember("slots", 0)}));
    CHECK_FALSE(dialect.readBackend({"i-1", 5, withMember("address", "10.0.0.9:0")}));
    CHECK_FALSE(dialect.readBackend({"i-1", 5, withMember("stage", 7)}));
    CHECK_FALSE(dialect.readBackend({"i-1", 5, withMember("models", "m")}));
    CHECK_FALSE(dialect.readBackend({"i-1", 5, withMember("models", {{{"name", "m"}, {"version", "1"}, {"adapters", json::array()}}})}));
    CHECK(dialect.readBackend({"i-1", 5, withMember("models", {{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}})}));
    json withoutStart = goodEntry;
    withoutStart.erase("born");
    CHECK(dialect.readBackend({"i-1", 5, withoutStart}));
    CHECK_FALSE(dialect.readBackend({"i-1", 5, withMember("state", "happy")}));
    CHECK_FALSE(dialect.readBackend({"i-1", 5, withMember("address", "nowhere")}));
    CHECK_FALSE(dialect.readBackend({"i-1", 5, json("text")}));
    CHECK_FALSE(dialect.readBackend({"i-1", 5, json()}));
}

TEST_CASE("entries of daemons and orders with missing or wrong fields name none")
{
    const platform::Dialect dialect;
    const json daemon = {{"address", "10.0.0.1"}, {"zone", "a"}, {"cores", 0.25}};
    const json order = {{"service", "svc"}, {"target", "v2"}, {"duration_s", 20}};
    CHECK(dialect.readDaemon({"d-1", 5, daemon}));
    CHECK(dialect.readRollout({"svc", 5, order}));
    const auto checkRefused = [](const json &good, const auto &isRead) {
        for (const auto &[key, value] : good.items()) {
            json entry = good;
            entry.erase(key);
            CHECK_FALSE(isRead(entry));
            for (const json &odd : {json(), json(true), json(-1), json(""), json::array()}) {
                entry[key] = odd;
                CAPTURE(entry);
                CHECK_FALSE(isRead(entry));
            }
        }
    };
    checkRefused(daemon, [&](const json &entry) { return dialect.readDaemon({"d-1", 5, entry}).has_value(); });
    checkRefused(order, [&](const json &entry) { return dialect.readRollout({"svc", 5, entry}).has_value(); });
    checkRefused({{"state", "active"}, {"target", "v2"}}, [&](const json &status) {
        return dialect.readRollout({"svc", 5, order, status}).has_value();
    });
}

TEST_CASE("a configuration with a field of another type is none, and no list of keys that can't be read lets all callers in")
{
    const platform::Dialect dialect;
    const json route
        = {{"name", "r"},      {"host", "h"},       {"path_prefix", "/"}, {"route_kind", "idempotent"}, {"timeout_ms", 8000},
           {"service", "svc"}, {"max_attempts", 2}, {"public", false},    {"resumable", false},         {"latency_goal_ms", 400}};
    const json service
        = {{"name", "svc"}, {"max_conns", 9}, {"cold_s", 3.0}, {"cold_per_s", 22.0}, {"engine", {{"slots", 8}, {"kv_capacity", 9}}}};
    const json limits
        = {{"max_header_bytes", 9}, {"max_body_bytes", 9}, {"header_timeout_ms", 9}, {"idle_timeout_ms", 9}, {"tokens_per_s", 9}};
    const json good = {{"version", 3}, {"routes", {route}}, {"services", {service}}, {"limits", limits}, {"tenants", json::array()}};
    CHECK(dialect.readConfiguration({"main", 5, good}).routes.size() == 1);
    std::vector<json::json_pointer> places;
    const json flat = good.flatten();
    for (const auto &[place, value] : flat.items()) {
        places.emplace_back(place);
    }
    for (const char *place : {"/routes", "/services", "/limits", "/tenants", "/routes/0", "/services/0", "/services/0/engine"}) {
        for (const json &odd : {json(5), json("x"), json(true)}) {
            json spoilt = good;
            spoilt[json::json_pointer(place)] = odd;
            CAPTURE(place);
            CHECK_THROWS_AS(dialect.readConfiguration({"main", 5, spoilt}), std::exception);
        }
    }
    for (const char *place : {"/routes", "/services", "/limits", "/tenants"}) {
        json spoilt = good;
        spoilt[json::json_pointer(place)] = nullptr;
        CHECK_THROWS_AS(dialect.readConfiguration({"main", 5, spoilt}), std::exception);
    }
    for (const json::json_pointer &place : places) {
        for (const json &odd : {json(), json(-1), json::object()}) {
            json spoilt = good;
            spoilt[place] = odd;
            CAPTURE(place.to_string());
            CAPTURE(odd);
            CHECK_THROWS_AS(dialect.readConfiguration({"main", 5, spoilt}), std::exception);
        }
    }
    for (const char *key : {"version", "max_attempts", "max_conns", "max_body_bytes"}) {
        for (const json::json_pointer &place : places) {
            if (place.back() == key) {
                json spoilt = good;
                spoilt[place] = 2.5;
                CHECK_THROWS_AS(dialect.readConfiguration({"main", 5, spoilt}), std::exception);
            }
        }
    }
}

TEST_CASE("a change that does not say whether its object was removed is not taken for one that says so")
{
    const std::string object = json {{"metadata", {{"name", "i-1"}, {"revision", 7}}}, {"spec", goodEntry}}.dump();
    for (const std::string removed : {R"(,"removed":null)", R"(,"removed":"true")", R"(,"removed":1)", ""}) {
        CAPTURE(removed);
        std::string text = R"({"events":[{"object":)";
        text.append(object).append(removed).append(R"(}],"at":9})");
        CHECK_FALSE(readChanges(text).isWhole());
    }
    for (const std::string at : {"null", "-1", "9.5", "\"9\"", "true"}) {
        CAPTURE(at);
        CHECK_FALSE(readChanges(R"({"events":[],"at":)" + at + "}").isWhole());
        CHECK_FALSE(readPage(R"({"items":[],"more":false,"at":)" + at + "}").isWhole());
    }
    for (const std::string more : {"null", "0", "\"false\""}) {
        CHECK_FALSE(readPage(R"({"items":[],"at":9,"more":)" + more + "}").isWhole());
    }
}

TEST_CASE("spoiled bodies of the store are refused, and no spoiled entry is used as another one")
{
    const platform::Dialect dialect;
    const std::string page
        = json {{"items", {{{"metadata", {{"name", "i-1"}, {"revision", 7}}}, {"spec", goodEntry}}}}, {"more", false}, {"at", 9}}.dump();
    CHECK(readPage(page).objects.size() == 1);
    std::mt19937 random(1);
    constexpr int rounds = 20000;
    for (int round = 0; round < rounds; ++round) {
        std::string spoiled = page;
        const std::size_t changes = 1 + random() % 5;
        for (std::size_t change = 0; change < changes; ++change) {
            spoiled[random() % spoiled.size()] = static_cast<char>(random());
        }
        for (const StoredObject &object : readPage(spoiled).objects) {
            if (const auto record = dialect.readBackend(object)) {
                CHECK_FALSE(record->address.empty());
            }
        }
    }
}

namespace
{

/** Texts of one entry that another writer left among those of backend servers. */
std::vector<std::string> oddEntries()
{
    const auto withSpec = [](const std::string &spec) { return R"({"metadata":{"name":"odd","revision":8},"spec":)" + spec + "}"; };
    const auto withMemberText = [&withSpec](const std::string &key, const std::string &value) {
        json entry = goodEntry;
        entry.erase(key);
        const std::string text = entry.dump();
        return withSpec(text.substr(0, text.size() - 1) + ",\"" + key + "\":" + value + "}");
    };
    constexpr std::size_t depth = 200000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    std::string deepObjects;
    for (std::size_t level = 0; level < depth; ++level) {
        deepObjects += "{\"a\":";
    }
    deepObjects += "1" + std::string(depth, '}');
    return {withSpec(deep),
            withSpec(deepObjects),
            withMemberText("extra", deep),
            withMemberText("slots", "1e999"),
            withMemberText("slots", "-1e999"),
            withMemberText("slots", "1e300"),
            withMemberText("cold_left_ms", "1e300"),
            withMemberText("born", "1e300"),
            withMemberText("born", "99999999999999999999999999"),
            withMemberText("slots", "-1"),
            withMemberText("address", "\"10.0.0.1:70000\""),
            withMemberText("address", "\"10.0.0.1:-1\""),
            withMemberText("address", "\"10.0.0.1:99999999999999999999\""),
            withMemberText("service", "\"\xff\xfe\""),
            withSpec("\"\\ud800\""),
            R"({"spec":{}})",
            R"({"metadata":{"revision":1},"spec":{}})",
            R"({"metadata":{"name":7},"spec":{}})",
            R"({"metadata":)" + deep + R"(,"spec":{}})",
            R"({"metadata":{"name":"odd","revision":1e999},"spec":{}})",
            "[]",
            "null",
            "1e999"};
}

}

// Guards against a list that is not followed any more, or a process that ends, because of one entry of another writer.
TEST_CASE("one odd entry in a list or among changes names no backend server, and the others hold")
{
    const platform::Dialect dialect;
    const std::string good = json {{"metadata", {{"name", "i-1"}, {"revision", 7}}}, {"spec", goodEntry}}.dump();
    const std::string goodChange = R"({"object":)" + good + R"(,"removed":false}],"at":9})";
    for (const std::string &odd : oddEntries()) {
        CAPTURE(odd.substr(0, 200));
        std::string pageText = R"({"items":[)";
        pageText.append(good).append(",").append(odd).append(",").append(good).append(R"(],"more":false,"at":9})");
        std::string changesText = R"({"events":[{"object":)";
        changesText.append(odd).append(R"(,"removed":false},)").append(goodChange);
        const auto page = readPage(pageText);
        const auto changes = readChanges(changesText);
        std::size_t usable = 0;
        for (const StoredObject &object : page.objects) {
            const StoredObject copy = object;
            usable += dialect.readBackend(copy) ? 1 : 0;
            CHECK((object.name == "i-1" || !dialect.readBackend(copy)));
        }
        CHECK(usable == 2);
        CHECK(page.revision == 9);
        REQUIRE_FALSE(changes.changes.empty());
        CHECK(changes.changes.back().object.name == "i-1");
        CHECK(dialect.readBackend(changes.changes.back().object));
    }
}

TEST_CASE("an entry that was readable and is odd now is still named, so that it is not used any more")
{
    const platform::Dialect dialect;
    const auto changes
        = readChanges(R"({"events":[{"object":{"metadata":{"name":"i-1","revision":8},"spec":{"slots":1e999}},"removed":false}],"at":9})");
    REQUIRE(changes.changes.size() == 1);
    CHECK(changes.changes.front().object.name == "i-1");
    CHECK_FALSE(dialect.readBackend(changes.changes.front().object));
    CHECK_FALSE(dialect.readDaemon(changes.changes.front().object));
    CHECK_THROWS_AS(dialect.readConfiguration({"main", 8, json()}), std::exception);
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

TEST_CASE("a name that no header can hold names no backend server and no workspace")
{
    const platform::Dialect dialect;
    for (const std::string name : {"", " i", "i ", "i\r\nKv-From: x", "i\n", "\xc3\xa9", "\x7f"}) {
        CAPTURE(name);
        CHECK_FALSE(dialect.readBackend({name, 5, goodEntry}));
        const json configuration = {
            {"version", 3}, {"routes", json::array()}, {"services", json::array()}, {"tenants", {{{"name", name}, {"api_keys", {"k"}}}}}};
        CHECK(dialect.readConfiguration({"main", 5, configuration}).workspaces.empty());
    }
    CHECK_FALSE(dialect.readBackend({"i-1", 5, withMember("address", "fe80::1%a\r\nKv-From: x:80")}));
    CHECK(dialect.readBackend({"i-1", 5, goodEntry}));
}

TEST_CASE("a log line stays one line of bounded length, whatever a name holds")
{
    const std::string line = process::formatEvent("backend_entry_unreadable", {{"backend", "a\r\nlevel=error event=forged\x1b[2J"}});
    CHECK(line.find_first_of("\r\n\x1b") == std::string::npos);
    CHECK(line.find("backend=\"a  level=error") != std::string::npos);
    const std::string longName(100'000, 'x');
    CHECK(process::formatEvent("backend_entry_unreadable", {{"backend", longName}}).size() < 1000);
    const platform::Dialect target;
    CHECK(target.statusTarget(Collection::Rollouts, "a/b?c") == "/-/objects/rollouts/a%2Fb%3Fc/status");
    CHECK(target.listTarget(Collection::Daemons, "a&b+c#d%e f", true)
          == "/-/objects/eelgrassnotch-daemons?after_rev=a%26b%2Bc%23d%25e%20f&serializable=1");
}

// Guards against a log that grows with each entry of another writer, each time it is read.
TEST_CASE("events that others can cause without bound are logged in bounded volume, and the rest is counted")
{
    const std::string file = (std::filesystem::temp_directory_path() / ("eelgrassnotch-log-" + std::to_string(::getpid()))).string();
    process::startLog("d-1", file);
    for (int index = 0; index < 5000; ++index) {
        process::logBounded("bounded_event", {{"backend", "i-" + std::to_string(index)}});
    }
    process::logBounded("other_event", {{"bytes", "7"}});
    process::stopLog();
    process::startLog("", "");
    std::ifstream log(file);
    std::map<std::string, std::size_t> counts;
    std::map<std::string, std::string> skipped; // Also of events of the tests before.
    for (std::string line; std::getline(log, line);) {
        const auto fields = process::parseEvent(line);
        ++counts[fields.at("event")];
        if (fields.at("event") == "lines_skipped") {
            skipped[fields.at("of")] = fields.at("lines");
        }
    }
    std::filesystem::remove(file);
    CHECK(counts["bounded_event"] == 20);
    CHECK(counts["other_event"] == 1);
    CHECK(skipped["bounded_event"] == "4980");
    CHECK_FALSE(skipped.contains("other_event"));
}
