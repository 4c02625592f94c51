#include "request/answer_check.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>

namespace eelgrassnotch::request
{

namespace
{

constexpr std::string_view doneMarker = "[DONE]";

std::optional<std::uint64_t> parseSequence(const std::string &text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isComplete = error == std::errc() && end == text.data() + text.size() && !text.empty();
    return isComplete ? std::optional(value) : std::nullopt;
}

bool hasFinishReason(const nlohmann::json &event)
{
    const auto choices = event.find("choices");
    if (choices == event.end() || !choices->is_array() || choices->empty() || !choices->front().is_object()) {
        return false;
    }
    const auto reason = choices->front().find("finish_reason");
    return reason != choices->front().end() && reason->is_string();
}

std::uint32_t totalTokens(const nlohmann::json &event)
{
    const auto usage = event.find("usage");
    if (usage == event.end() || !usage->is_object()) {
        return 0;
    }
    const auto total = usage->find("total_tokens");
    return total != usage->end() && total->is_number_unsigned() ? total->get<std::uint32_t>() : 0;
}

}

AnswerCheck::AnswerCheck(std::string requestId)
    : requestId(std::move(requestId))
{
}

EventAction AnswerCheck::accept(const std::string &eventId, const std::string &data)
{
    if (this->done) {
        return this->skip();
    }
    if (data == doneMarker) {
        this->done = this->hasFinished;
        return this->hasFinished ? EventAction::Forward : EventAction::Invalid;
    }
    const nlohmann::json event = nlohmann::json::parse(data, nullptr, false);
    const std::optional<std::uint64_t> sequence = parseSequence(eventId);
    if (!event.is_object() || !sequence) {
        return EventAction::Invalid;
    }
    const auto id = event.find("id");
    const bool matchesRequest = id != event.end() && id->is_string() && id->get<std::string>() == this->requestId;
    if (!matchesRequest || *sequence < this->nextSequence) {
        return this->skip();
    }
    if (*sequence > this->nextSequence || this->hasFinished) {
        return EventAction::Invalid;
    }
    ++this->nextSequence;
    ++this->generatedTokens;
    this->hasFinished = hasFinishReason(event);
    this->tokens = std::max(this->tokens, totalTokens(event));
    return EventAction::Forward;
}

EventAction AnswerCheck::skip()
{
    ++this->skippedEvents;
    return EventAction::Skip;
}

}
