#pragma once

/** @file Load messages as bytes of one datagram. */

#include "process/exchange/load_exchange.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace eelgrassnotch::process::exchange
{

std::vector<std::uint8_t> encode(const Message &message);
/** @returns nothing when the bytes are no message. @param bytes Aligned for 32-bit numbers, which are read in place. */
std::optional<Message> decode(std::span<const std::uint8_t> bytes);

}
