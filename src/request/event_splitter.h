#pragma once

/** @file Splits a stream of server-sent events into complete events. */

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassnotch::request
{

/**
 * @brief Buffers the bytes of an event until it is complete.
 * @remarks A backend server may break off inside an event. The stream can continue with events of another
 * backend server only after a complete event.
 */
class EventSplitter
{
public:
    /** @returns the events that these bytes complete; valid until the next call. */
    std::string_view add(std::string_view bytes);
    /** @returns the bytes after the last complete event. */
    std::string_view partialEvent() const;
    /** @returns the last id among complete events. */
    std::optional<std::uint64_t> lastEventId() const
    {
        return this->lastId;
    }
    /** @brief Discards the bytes of an incomplete event. */
    void discardPartialEvent();
    /** @returns the size of the incomplete event, in bytes. */
    std::size_t partialEventBytes() const
    {
        return this->buffer.size() - this->returnedBytes;
    }

private:
    void recordEventIds(std::string_view events);

    std::string buffer;
    std::size_t returnedBytes = 0; ///< Bytes at the front of the buffer that add() has returned.
    std::optional<std::uint64_t> lastId;
};

}
