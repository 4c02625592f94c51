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
    CHECK(check.accept("0", event("mine", false)) == EventAction::Forward);
    CHECK(check.accept("1", event("mine", true)) == EventAction::Forward);
    CHECK_FALSE(check.isWhole());
    CHECK(check.accept("", "[DONE]") == EventAction::Forward);
    CHECK(check.isWhole());
    CHECK(check.cost() == 7);
}

TEST_CASE("events of others and duplicates are skipped")
{
    AnswerCheck check("mine");
    CHECK(check.accept("0", event("mine", false)) == EventAction::Forward);
    CHECK(check.accept("1", event("other", false)) == EventAction::Skip);
    CHECK(check.accept("0", event("mine", false)) == EventAction::Skip);
    CHECK(check.accept("1", event("mine", true)) == EventAction::Forward);
    CHECK(check.skipped() == 2);
}

TEST_CASE("gaps, garbage and an early end mark are invalid")
{
    CHECK(AnswerCheck("mine").accept("1", event("mine", false)) == EventAction::Invalid);
    CHECK(AnswerCheck("mine").accept("0", "not json") == EventAction::Invalid);
    CHECK(AnswerCheck("mine").accept("x", event("mine", false)) == EventAction::Invalid);
    AnswerCheck check("mine");
    CHECK(check.accept("0", event("mine", false)) == EventAction::Forward);
    CHECK(check.accept("", "[DONE]") == EventAction::Invalid);
    CHECK_FALSE(check.isWhole());
}
