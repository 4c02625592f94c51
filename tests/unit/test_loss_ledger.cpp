/** @file What logs tell of requests that were late, refused or failed. */

#include "ctl/loss_ledger.h"
#include "process/event_log.h"

#include <doctest/doctest.h>

using namespace eelgrassnotch;
using namespace eelgrassnotch::ctl;

namespace
{

std::string requestLine(const process::LogFields &fields)
{
    process::LogFields all {{"daemon", "d-1"}, {"route", "chat"}, {"workspace", "w1"}, {"target_ms", "400"}};
    all.insert(all.end(), fields.begin(), fields.end());
    return "time=2026-12-04T13:24:00.123 level=I " + process::formatEvent("request", all);
}

std::string fateOf(const process::LogFields &fields)
{
    LossLedger ledger;
    ledger.add(requestLine(fields));
    REQUIRE(ledger.size() == 1);
    return ledger.byRoute().at("chat").begin()->first;
}

}

TEST_CASE("a line of the log is read as it was written")
{
    const process::LogFields fields {{"plain", "x"}, {"empty", ""}, {"quoted", "a \"b\" = c\\d"}, {"last", "1"}};
    const auto read = process::parseEvent("12.5 d-1 time=t level=I " + process::formatEvent("request", fields));
    CHECK(read.at("event") == "request");
    CHECK(read.at("time") == "t");
    for (const auto &[key, value] : fields) {
        CHECK(read.at(key) == value);
    }
    CHECK(process::parseEvent("no fields at all").empty());
    CHECK(process::parseEvent("broken=\"off").at("broken") == "off");
}

TEST_CASE("requests are told apart by what became of them")
{
    CHECK(fateOf({{"outcome", "served"}, {"status", "200"}, {"first_ms", "400"}}) == "in time");
    CHECK(fateOf({{"outcome", "served"}, {"status", "200"}, {"first_ms", "0"}, {"total_ms", "300"}}) == "in time");
    CHECK(fateOf({{"outcome", "served"}, {"status", "200"}, {"first_ms", "401"}, {"predicted_ms", "90"}, {"sends", "1"}})
          == "late: unseen");
    CHECK(fateOf({{"outcome", "served"}, {"status", "200"}, {"first_ms", "900"}, {"predicted_ms", "500"}, {"sends", "1"}})
          == "late: expected");
    CHECK(fateOf({{"outcome", "served"}, {"status", "200"}, {"first_ms", "900"}, {"predicted_ms", "90"}, {"sends", "2"}})
          == "late: sent again");
    CHECK(fateOf({{"outcome", "refused: overloaded: queue_ms 3"}, {"status", "503"}}) == "refused: overloaded");
    CHECK(fateOf({{"outcome", "broken_off: partial message"}, {"status", "0"}}) == "failed");
    CHECK(fateOf({{"outcome", "backend_status"}, {"status", "500"}}) == "failed");
    CHECK(fateOf({{"outcome", "caller_left"}, {"status", "0"}}) == "left");
}

TEST_CASE("fates are summed up by data centre, size and second")
{
    LossLedger ledger;
    ledger.add("time=2026-12-04T13:23:59.000 level=I " + process::formatEvent("started", {{"daemon", "d-1"}, {"data_centre", "a"}}));
    ledger.add("time=2026-12-04T13:23:59.000 level=I " + process::formatEvent("retry", {{"daemon", "d-1"}}));
    for (int tokens = 1; tokens <= 20; ++tokens) {
        const std::string first = tokens > 18 ? "500" : "100";
        ledger.add(requestLine(
            {{"outcome", "served"}, {"status", "200"}, {"first_ms", first}, {"sends", "1"}, {"tokens", std::to_string(tokens)}}));
    }
    CHECK(ledger.size() == 20);
    CHECK(ledger.byDataCentre().at("a").at("in time") == 18);
    CHECK(ledger.bySecond().at("2026-12-04T13:24:00").at("late: unseen") == 2);
    CHECK(ledger.bySize().at("chat largest tenth") == std::map<std::string, std::size_t> {{"late: unseen", 2}});
    CHECK(ledger.bySize().at("chat fifth below") == std::map<std::string, std::size_t> {{"in time", 4}});
    CHECK(ledger.bySize().at("chat rest") == std::map<std::string, std::size_t> {{"in time", 14}});
    CHECK(formatCsv("second", ledger.bySecond()) == "second,in time,late: unseen\n2026-12-04T13:24:00,18,2\n");
    CHECK(toJson(ledger)["requests"] == 20);
}
