#pragma once

/** @file Cuts a stream of server-sent events into whole events. */

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassnotch::request
{

/**
 * @brief Holds back the bytes of an event until it is whole.
 * @remarks A backend server may break off inside an event; only whole events may be followed by those of another one.
 */
class EventSplitter
{
public:
    /** @returns the whole events that are complete with these bytes; valid until the next call. */
    std::string_view add(std::string_view bytes);
    /** @returns bytes after the last whole event. */
    std::string_view partialEvent() const;
    /** @returns the id of the last whole event. */
    std::optional<std::uint64_t> lastEventId() const
    {
        return this->lastId;
    }
    /** @brief Drops the bytes of an event that was broken off. */
    void discardPartialEvent();
    /** @returns bytes held back. */
    std::size_t partialEventBytes() const
    {
        return this->buffer.size() - this->returnedBytes;
    }

private:
    void recordEventIds(std::string_view events);

    std::string buffer;
    std::size_t returnedBytes = 0; ///< Bytes at the front that add() has returned.
    std::optional<std::uint64_t> lastId;
};

}
