#pragma once

/** @file Encodes and decodes messages about streams, each of which is one datagram. */

#include "process/streams/stream_notes.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace eelgrassnotch::process::streams
{

/** @brief Answer to a question about a stream. */
struct StreamAnswer {
    StreamKey stream = 0;
    std::optional<VersionKey> version; ///< Nothing where the sender has no note.

    bool operator==(const StreamAnswer &) const = default;
};

/** @brief What one daemon tells and asks another. */
struct StreamMessage {
    std::vector<StreamNote> notes;
    std::vector<StreamKey> questions;
    std::vector<StreamAnswer> answers;

    bool operator==(const StreamMessage &) const = default;
};

std::vector<std::uint8_t> encode(const StreamMessage &message);
/** @returns nothing if the bytes are not a valid message. @param bytes Aligned to 64 bits, since numbers are read in place. */
std::optional<StreamMessage> decode(std::span<const std::uint8_t> bytes);

}
