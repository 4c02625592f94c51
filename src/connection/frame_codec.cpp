#include "connection/frame_codec.h"

#include "eelgrassnotch/config.h"

#include <cstring>

namespace eelgrassnotch::connection
{

namespace
{

constexpr int bitsPerByte = 8;
constexpr flatbuffers::uoffset_t maxTableDepth = 16;
constexpr flatbuffers::uoffset_t maxTables = 100'000;

}

std::vector<std::uint8_t> encodeFrame(const wire::FrameT &frame)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Frame::Pack(builder, &frame));
    const std::uint32_t size = builder.GetSize();
    if (size > config::maxFrameBytes) {
        throw FrameError("frame of " + std::to_string(size) + " bytes is too long");
    }
    std::vector<std::uint8_t> bytes(frameHeaderBytes + size);
    for (std::size_t index = 0; index < frameHeaderBytes; ++index) {
        bytes[index] = static_cast<std::uint8_t>(size >> (index * bitsPerByte));
    }
    std::memcpy(bytes.data() + frameHeaderBytes, builder.GetBufferPointer(), size);
    return bytes;
}

std::uint32_t decodeLength(std::span<const std::uint8_t, frameHeaderBytes> header)
{
    std::uint32_t length = 0;
    for (std::size_t index = 0; index < frameHeaderBytes; ++index) {
        length |= static_cast<std::uint32_t>(header[index]) << (index * bitsPerByte);
    }
    if (length == 0 || length > config::maxFrameBytes) {
        throw FrameError("frame length " + std::to_string(length) + " is not within 1 and " + std::to_string(config::maxFrameBytes));
    }
    return length;
}

wire::FrameT decodeFrame(const std::vector<std::uint8_t> &body)
{
    flatbuffers::Verifier verifier(body.data(), body.size(), maxTableDepth, maxTables);
    if (!wire::VerifyFrameBuffer(verifier)) {
        throw FrameError("frame does not verify");
    }
    wire::FrameT frame;
    wire::GetFrame(body.data())->UnPackTo(&frame);
    return frame;
}

}
