/** @file How the cursor behind unreadable entries is found. */

#include "process/store/cursor_search.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

using eelgrassnotch::process::store::CursorSearch;

namespace
{

/** A list of which some entries can't be read. */
class SpoiltList
{
public:
    SpoiltList(std::set<std::string> readableNames, std::set<std::string> unreadableNames)
        : readable(std::move(readableNames))
        , unreadable(std::move(unreadableNames))
    {
    }

    /** @returns whether a page of one entry can be read. */
    bool isReadableAfter(const std::string &cursor) const
    {
        const auto sound = this->readable.upper_bound(cursor);
        const auto spoilt = this->unreadable.upper_bound(cursor);
        return spoilt == this->unreadable.end() || (sound != this->readable.end() && *sound < *spoilt);
    }

    std::set<std::string> readable;
    std::set<std::string> unreadable;
};

/** @returns the number of calls until the search is over. */
std::size_t carryOut(CursorSearch &search, const SpoiltList &list)
{
    std::size_t calls = 0;
    for (; const auto cursor = search.next(); ++calls) {
        search.note(list.isReadableAfter(*cursor), "");
    }
    return calls;
}

}

TEST_CASE("the search for a cursor behind unreadable entries hides no readable ones")
{
    std::mt19937 random(1);
    const std::string characters = "-019amz&+#% ~";
    constexpr std::size_t rounds = 2000;
    constexpr std::size_t mostCalls = 80;
    for (std::size_t round = 0; round < rounds; ++round) {
        std::set<std::string> names;
        while (names.size() < 40) {
            std::string name = "i-";
            for (std::size_t length = 1 + random() % 4; length > 0; --length) {
                name += characters[random() % characters.size()];
            }
            names.insert(name);
        }
        const std::vector<std::string> sorted(names.begin(), names.end());
        const std::size_t first = random() % 30;
        const std::size_t end = first + 1 + random() % 8;
        const std::set<std::string> unreadable(sorted.begin() + static_cast<std::ptrdiff_t>(first),
                                               sorted.begin() + static_cast<std::ptrdiff_t>(end));
        std::set<std::string> readable;
        std::set_difference(names.begin(), names.end(), unreadable.begin(), unreadable.end(), std::inserter(readable, readable.end()));
        const SpoiltList list(readable, unreadable);
        CursorSearch search(first == 0 ? "" : sorted[first - 1]);
        CHECK(carryOut(search, list) < mostCalls);
        REQUIRE(search.found());
        CAPTURE(*search.found());
        CAPTURE(*unreadable.rbegin());
        CHECK(*search.found() >= *unreadable.rbegin());
        CHECK(*search.found() < sorted[end]);
    }
}

TEST_CASE("a search gives up where not even the end of the list can be read")
{
    const SpoiltList list({"a"}, {"b", "~~"});
    CursorSearch search("a");
    CHECK(carryOut(search, list) == 1);
    CHECK_FALSE(search.found());
}

TEST_CASE("what a search has read of a broken page moves it on")
{
    CursorSearch search("i-1");
    bool hasRead = false;
    while (const auto cursor = search.next()) {
        CHECK_FALSE((hasRead && *cursor < "i-5"));
        hasRead = hasRead || *cursor < "i-5";
        search.note(*cursor >= "i-6", *cursor < "i-5" ? "i-5" : "");
    }
    CHECK(hasRead);
    REQUIRE(search.found());
    CHECK(*search.found() >= "i-6");
    CHECK(*search.found() < "i-60");
}
