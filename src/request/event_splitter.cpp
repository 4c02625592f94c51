#include "request/event_splitter.h"

#include <charconv>

namespace eelgrassnotch::request
{

namespace
{

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view idField = "id:";

std::optional<std::uint64_t> parseId(std::string_view text)
{
    while (!text.empty() && text.front() == ' ') {
        text.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id);
    return error == std::errc {} && end != text.data() ? std::optional(id) : std::nullopt;
}

}

std::string_view EventSplitter::add(std::string_view bytes)
{
    this->buffer.erase(0, this->returnedBytes);
    this->returnedBytes = 0;
    // The buffered bytes contain no end of an event, but their last byte may begin one.
    const std::size_t searchFrom = this->buffer.empty() ? 0 : this->buffer.size() - 1;
    this->buffer += bytes;
    const std::size_t end = std::string_view(this->buffer).substr(searchFrom).rfind(eventEnd);
    if (end == std::string_view::npos) {
        return {};
    }
    this->returnedBytes = searchFrom + end + eventEnd.size();
    const std::string_view completeEvents = std::string_view(this->buffer).substr(0, this->returnedBytes);
    this->recordEventIds(completeEvents);
    return completeEvents;
}

std::string_view EventSplitter::partialEvent() const
{
    return std::string_view(this->buffer).substr(this->returnedBytes);
}

void EventSplitter::discardPartialEvent()
{
    this->buffer.clear();
    this->returnedBytes = 0;
}

void EventSplitter::recordEventIds(std::string_view events)
{
    std::size_t start = 0;
    while (start < events.size()) {
        const std::size_t end = std::min(events.find('\n', start), events.size());
        const std::string_view line = events.substr(start, end - start);
        if (line.starts_with(idField)) {
            if (const auto id = parseId(line.substr(idField.size()))) {
                this->lastId = id;
            }
        }
        start = end + 1;
    }
}

}
