#pragma once

/** @file Encodes and decodes load messages, each of which is one datagram. */

#include "process/exchange/load_exchange.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace eelgrassnotch::process::exchange
{

std::vector<std::uint8_t> encode(const Message &message);
/** @returns nothing if the bytes are not a valid message. @param bytes Aligned to 32 bits, since numbers are read in place. */
std::optional<Message> decode(std::span<const std::uint8_t> bytes);

}
