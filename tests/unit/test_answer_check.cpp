/**
 * @file Streamed answers with gaps, duplicates, malformed events or events of another request.
 * A backend server may produce these; the caller must not receive them as part of a complete answer.
 */

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

TEST_CASE("an answer is complete after all events, the finish reason and the end marker")
{
    AnswerCheck check("mine");
    CHECK(check.accept("0", event("mine", false)) == EventAction::Forward);
    CHECK(check.accept("1", event("mine", true)) == EventAction::Forward);
    CHECK_FALSE(check.isWhole());
    CHECK(check.accept("", "[DONE]") == EventAction::Forward);
    CHECK(check.isWhole());
    CHECK(check.cost() == 7);
}

TEST_CASE("duplicates and events of other requests are skipped")
{
    AnswerCheck check("mine");
    CHECK(check.accept("0", event("mine", false)) == EventAction::Forward);
    CHECK(check.accept("1", event("other", false)) == EventAction::Skip);
    CHECK(check.accept("0", event("mine", false)) == EventAction::Skip);
    CHECK(check.accept("1", event("mine", true)) == EventAction::Forward);
    CHECK(check.skipped() == 2);
}

TEST_CASE("gaps, malformed events and an early end marker are invalid")
{
    CHECK(AnswerCheck("mine").accept("1", event("mine", false)) == EventAction::Invalid);
    CHECK(AnswerCheck("mine").accept("0", "not json") == EventAction::Invalid);
    CHECK(AnswerCheck("mine").accept("x", event("mine", false)) == EventAction::Invalid);
    AnswerCheck check("mine");
    CHECK(check.accept("0", event("mine", false)) == EventAction::Forward);
    CHECK(check.accept("", "[DONE]") == EventAction::Invalid);
    CHECK_FALSE(check.isWhole());
}
