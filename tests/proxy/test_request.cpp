/** @file Matching of routes and API keys, and splitting a stream into events at any byte boundary. */

#include "request/event_splitter.h"
#include "version/route_table.h"

#include <doctest/doctest.h>

using namespace eelgrassnotch;
using namespace eelgrassnotch::version;

namespace
{

Route makeRoute(const std::string &name, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = "h.example";
    route.pathPrefix = prefix;
    route.split = {{"a", 90}, {"b", 10}};
    return route;
}

RouteTable makeTable()
{
    RouteTableParts parts;
    parts.version = 7;
    parts.routes = {makeRoute("short", "/x/"), makeRoute("long", "/x/y/"), makeRoute("other", "/z/")};
    parts.workspaces = {{"w1", {"k1", "k2"}, {}}, {"w2", {"k3"}, {}}};
    return RouteTable(parts);
}

}

TEST_CASE("the route with the longest matching prefix is chosen")
{
    const RouteTable table = makeTable();
    CHECK(table.match("h.example", "/x/y/z")->name == "long");
    CHECK(table.match("h.example", "/x/yy")->name == "short");
    CHECK(table.match("h.example", "/y/") == nullptr);
    CHECK(table.match("i.example", "/x/") == nullptr);
}

TEST_CASE("API keys identify their workspace")
{
    const RouteTable table = makeTable();
    CHECK(table.workspaceOf("k2")->name == "w1");
    CHECK(table.workspaceOf("k3")->name == "w2");
    CHECK(table.workspaceOf("") == nullptr);
}

TEST_CASE("a traffic split follows its weights and is deterministic for a request")
{
    const Route route = makeRoute("r", "/");
    int toFirst = 0;
    for (std::uint64_t draw = 0; draw < 1000; ++draw) {
        toFirst += route.serviceFor(draw) == "a" ? 1 : 0;
        CHECK(route.serviceFor(draw) == route.serviceFor(draw));
    }
    CHECK(toFirst == 900);
}

TEST_CASE("only complete events are forwarded, however their bytes arrive")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c";
    for (std::size_t step = 1; step <= stream.size(); ++step) {
        request::EventSplitter splitter;
        std::string passed;
        for (std::size_t at = 0; at < stream.size(); at += step) {
            passed += splitter.add(std::string_view(stream).substr(at, step));
        }
        CHECK(passed == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        CHECK(splitter.partialEvent() == "id: 3\ndata: c");
        CHECK(splitter.lastEventId() == 2);
    }
}

TEST_CASE("an incomplete event is not joined to the events of the next attempt")
{
    request::EventSplitter splitter;
    CHECK(splitter.add("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    splitter.discardPartialEvent();
    CHECK(splitter.add("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastEventId() == 2);
}
