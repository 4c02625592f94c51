#pragma once

/** @file Frames on a TCP stream: a 32-bit little-endian length, then one verified FlatBuffer. */

#include "connection/wire/generated/frame_generated.h"

#include <cstdint>
#include <span>
#include <stdexcept>
#include <vector>

namespace eelgrassnotch::connection
{

/** @brief Bytes of the length in front of each frame. */
constexpr std::size_t frameHeaderBytes = 4;

/** @brief A frame that is too long or does not verify. */
class FrameError : public std::runtime_error
{
    using std::runtime_error::runtime_error;
};

/** @returns length and body, ready to send. @throws FrameError above config::maxFrameBytes. */
std::vector<std::uint8_t> encodeFrame(const wire::FrameT &frame);

/**
 * @brief Reads the length in front of a frame.
 * @throws FrameError for zero, or above config::maxFrameBytes.
 */
std::uint32_t decodeLength(std::span<const std::uint8_t, frameHeaderBytes> header);

/**
 * @brief Verifies and reads the body of a frame.
 * @param body A vector, as its storage is aligned for the numbers that are read in place.
 * @throws FrameError when any offset or size in it is out of bounds.
 */
wire::FrameT decodeFrame(const std::vector<std::uint8_t> &body);

}
