#include "request/answer_check.h"

#include <doctest/doctest.h>

using namespace eelgrassnotch::request;

namespace
{

std::string event(const std::string &id, bool last)
{
    const std::string reason = last ? "\"stop\"" : "null";
    const std::string usage = last ? R"(,"usage":{"total_tokens":7})" : "";
    return R"({"id":")" + id + R"(","choices":[{"text":"x","finish_reason":)" + reason + "}]" + usage + "}";
}

}

TEST_CASE("an answer is whole after all its events, the finish reason and the end mark")
{
    AnswerCheck check("mine");
    CHECK(check.accept("0", event("mine", false)) == EventVerdict::Forward);
    CHECK(check.accept("1", event("mine", true)) == EventVerdict::Forward);
    CHECK_FALSE(check.isWhole());
    CHECK(check.accept("", "[DONE]") == EventVerdict::Forward);
    CHECK(check.isWhole());
    CHECK(check.cost() == 7);
}

TEST_CASE("events of others and duplicates are skipped")
{
    AnswerCheck check("mine");
    CHECK(check.accept("0", event("mine", false)) == EventVerdict::Forward);
    CHECK(check.accept("1", event("other", false)) == EventVerdict::Skip);
    CHECK(check.accept("0", event("mine", false)) == EventVerdict::Skip);
    CHECK(check.accept("1", event("mine", true)) == EventVerdict::Forward);
    CHECK(check.skipped() == 2);
}

TEST_CASE("gaps, garbage and an early end mark are invalid")
{
    CHECK(AnswerCheck("mine").accept("1", event("mine", false)) == EventVerdict::Invalid);
    CHECK(AnswerCheck("mine").accept("0", "not json") == EventVerdict::Invalid);
    CHECK(AnswerCheck("mine").accept("x", event("mine", false)) == EventVerdict::Invalid);
    AnswerCheck check("mine");
    CHECK(check.accept("0", event("mine", false)) == EventVerdict::Forward);
    CHECK(check.accept("", "[DONE]") == EventVerdict::Invalid);
    CHECK_FALSE(check.isWhole());
}
