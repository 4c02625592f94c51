/** @file How the answers of the store are read while they arrive, whatever entries of other writers hold. */

#include "platform/dialect.h"
#include "platform/entry_splitter.h"
#include "proxy/store_answers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <string_view>
#include <vector>

using namespace eelgrassnotch;
using platform::EntrySplitter;
using process::store::Collection;
using process::store::ObjectPage;
using standin::readPage;

namespace
{

constexpr std::size_t large = 900'000;

/** A backend server as the store tells it. */
std::string entryOf(const std::string &name)
{
    return R"({"metadata":{"name":")" + name
        + R"(","revision":7},"spec":{"service":"svc","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":128,"state":"ready",)"
          R"("cold_left_ms":0,"seq":4},"status":null})";
}

std::string pageOf(const std::vector<std::string> &entries)
{
    std::string body = R"({"at":9,"items":[)";
    for (const std::string &entry : entries) {
        body += (body.back() == '[' ? "" : ",") + entry;
    }
    return body + R"(],"more":true})";
}

std::vector<std::string> namesOf(const ObjectPage &page)
{
    std::vector<std::string> names;
    for (const auto &object : page.objects) {
        names.push_back(object.name);
    }
    return names;
}

/** Entries that name themselves "odd", whatever else they hold. */
std::vector<std::string> oddEntries()
{
    const std::string filler(large, 'x');
    return {
        R"({"metadata":{"name":"odd","revision":7},"spec":{"a":")" + filler + R"("}})",
        R"({"spec":{"a":")" + filler + R"("},"metadata":{"name":"odd","revision":7}})",
        R"({"spec":")" + filler + R"(","status":[")" + filler + R"("],"metadata":{"revision":7,"name":"odd"}})",
        R"({"metadata":{"notes":")" + filler + R"(","name":"odd","owners":[{"name":"x","revision":1}],"revision":7}})",
        R"({"unknown":{"metadata":{"name":"inner"}},"metadata":{"name":"odd","revision":7},"more":[1,{"spec":2}]})",
        R"({"metadata":{"name":"odd","revision":7},"spec":"]},{\"metadata\":{\"name\":\"inner\"}}"})",
        " { \"metadata\" : { \"name\" : \"odd\" , \"revision\" : 7 } , \"spec\" : " + std::string(large, '[') + std::string(large, ']')
            + " } ",
        R"({"metadata":{"name":"odd","revision":7},"spec":1e999})",
    };
}

}

TEST_CASE("an entry of another writer is named and hides nothing, however large it is and wherever it stands")
{
    const std::vector<std::string> odd = oddEntries();
    for (const std::string &entry : odd) {
        CAPTURE(entry.substr(0, 60));
        for (std::size_t place = 0; place < 3; ++place) {
            std::vector<std::string> entries {entryOf("i-1"), entryOf("i-2")};
            entries.insert(entries.begin() + static_cast<std::ptrdiff_t>(place), entry);
            std::vector<std::string> expected {"i-1", "i-2"};
            expected.insert(expected.begin() + static_cast<std::ptrdiff_t>(place), "odd");
            const ObjectPage page = readPage(pageOf(entries), 16'384);
            CHECK(page.isWhole());
            CHECK(namesOf(page) == expected);
            CHECK(page.revision == 9);
            CHECK(page.hasMore);
            std::size_t usable = 0;
            for (const auto &object : page.objects) {
                usable += platform::Dialect().readBackend(object) ? 1 : 0;
            }
            CHECK(usable == 2);
        }
    }
}

TEST_CASE("an answer tells the same in one part and in many, also a spoilt one")
{
    std::mt19937 random(1);
    const std::string sound
        = pageOf({entryOf("i-1"), R"({"metadata":{},"spec":{"a":[1,"]"]}})", entryOf("i\\u002d2"), "7", entryOf("i-3")});
    constexpr int rounds = 3000;
    for (int round = 0; round < rounds; ++round) {
        std::string body = sound;
        for (std::size_t change = random() % 3; change > 0; --change) {
            body[random() % body.size()] = static_cast<char>(random());
        }
        const ObjectPage page = readPage(body, body.size());
        CHECK(readPage(body, 1) == page);
        CHECK(readPage(body, 1 + random() % 50) == page);
    }
}

TEST_CASE("an answer that breaks off tells the entries before the break, and that it isn't whole")
{
    const std::string body = pageOf({entryOf("i-1"), entryOf("i-2"), entryOf("i-3")});
    for (std::size_t length = 0; length < body.size(); ++length) {
        const ObjectPage page = readPage(std::string_view(body).substr(0, length), length + 1);
        CHECK_FALSE(page.isWhole());
        const std::string rest = body.substr(length);
        const bool isBeforeThird = rest.find("\"i-3\"") != std::string::npos;
        CHECK(page.objects.size() <= (isBeforeThird ? 2u : 3u));
        CHECK(page.lastName == (page.objects.empty() ? "" : page.objects.back().name));
    }
    CHECK(readPage(body, body.size()).objects.size() == 3);
}

TEST_CASE("what a change says of its object is read in each collection")
{
    for (std::size_t index = 0; index < static_cast<std::size_t>(Collection::count); ++index) {
        const auto reader = platform::Dialect().changesReader(static_cast<Collection>(index));
        reader->take(R"({"events":[{"object":)" + entryOf("i-1") + R"(,"removed":false},)");
        reader->take(R"({"removed":true,"object":)" + entryOf("i-2") + R"(}],"at":9})");
        const auto changes = reader->finish();
        CHECK(changes.isWhole());
        REQUIRE(changes.changes.size() == 2);
        CHECK(changes.changes[0].object.name == "i-1");
        CHECK_FALSE(changes.changes[0].isRemoved);
        CHECK(changes.changes[1].object.name == "i-2");
        CHECK(changes.changes[1].isRemoved);
    }
}

TEST_CASE("no entry makes a reader keep more than its limits")
{
    constexpr std::size_t maxValueBytes = 1000;
    static constexpr std::size_t mostBytes = 200'000;
    std::vector<std::string> entries = oddEntries();
    std::string many = "{";
    for (int index = 0; index < 100'000; ++index) {
        many += R"("spec":"xxxxxxxxxxxxxxxxxxxx",)";
    }
    entries.push_back(many + R"("status":1})");
    entries.push_back("{\"" + std::string(large, 'x') + "\":1}");
    entries.push_back(R"({"metadata":{"name":")" + std::string(large, 'x') + R"("}})");
    entries.push_back("\"" + std::string(large, 'x') + "\"");
    entries.push_back("{" + std::string(large, ' ') + "}");
    for (const std::string &entry : entries) {
        CAPTURE(entry.substr(0, 60));
        std::size_t told = 0;
        EntrySplitter splitter("items", maxValueBytes, [&told](std::string_view text) {
            ++told;
            CHECK(text.size() < mostBytes);
        });
        splitter.take(pageOf({entry, entryOf("i-1")}));
        CHECK(told == 2);
        CHECK(splitter.isWhole());
        CHECK(splitter.answer().size() < mostBytes);
    }
}
