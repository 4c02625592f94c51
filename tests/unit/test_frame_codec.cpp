#include "connection/frame_codec.h"
#include "connection/link_service.h"
#include "eelgrassnotch/config.h"

#include <doctest/doctest.h>

#include <random>

using namespace eelgrassnotch;
using namespace eelgrassnotch::connection;

namespace
{

wire::FrameT sample()
{
    wire::FrameT frame;
    frame.heartbeat = std::make_unique<wire::Heartbeat>(1, 2, 3, 4, 5, 6, 7, true, false);
    frame.obeys = {8, 9};
    frame.enqueues.emplace_back(1, 2, 3, 4, 5, 6, 7);
    auto inventory = std::make_unique<wire::InventoryT>();
    inventory->in_flight.emplace_back(1, 2, 3, 4);
    frame.inventories.push_back(std::move(inventory));
    return frame;
}

std::vector<std::uint8_t> bodyOf(const std::vector<std::uint8_t> &bytes)
{
    return {bytes.begin() + frameHeaderBytes, bytes.end()};
}

}

TEST_CASE("a frame comes back as it was")
{
    const std::vector<std::uint8_t> bytes = encodeFrame(sample());
    const std::span<const std::uint8_t, frameHeaderBytes> header(bytes.data(), frameHeaderBytes);
    CHECK(decodeLength(header) == bytes.size() - frameHeaderBytes);
    const wire::FrameT frame = decodeFrame(bodyOf(bytes));
    CHECK(frame.heartbeat->lease_ms() == 7);
    CHECK(frame.obeys == std::vector<std::uint32_t> {8, 9});
    CHECK(frame.enqueues.front().workspace() == 3);
    CHECK(frame.inventories.front()->in_flight.front().cost() == 4);
}

TEST_CASE("a length out of bounds is refused")
{
    const std::array<std::uint8_t, frameHeaderBytes> zero {};
    const std::array<std::uint8_t, frameHeaderBytes> huge {0xff, 0xff, 0xff, 0xff};
    CHECK_THROWS_AS(decodeLength(zero), FrameError);
    CHECK_THROWS_AS(decodeLength(huge), FrameError);
}

TEST_CASE("damaged frames are refused or decode, and never crash")
{
    const std::vector<std::uint8_t> bytes = encodeFrame(sample());
    std::mt19937 random(1);
    int refused = 0;
    for (int round = 0; round < 2000; ++round) {
        std::vector<std::uint8_t> damaged(bytes.begin() + frameHeaderBytes, bytes.end());
        damaged[random() % damaged.size()] = static_cast<std::uint8_t>(random());
        damaged.resize(1 + random() % damaged.size());
        try {
            decodeFrame(damaged);
        } catch (const FrameError &) {
            ++refused;
        }
    }
    CHECK(refused > 0);
}

TEST_CASE("an identity proof depends on the key and on each field")
{
    const process::DaemonIdentity identity {"entry-1", "127.0.0.1", 1, DataCentreHandle {2}, 3};
    process::DaemonIdentity other = identity;
    other.incarnation = 4;
    CHECK(proveIdentity(identity, "").empty());
    CHECK(proveIdentity(identity, "key") == proveIdentity(identity, "key"));
    CHECK(proveIdentity(identity, "key") != proveIdentity(identity, "yek"));
    CHECK(proveIdentity(identity, "key") != proveIdentity(other, "key"));
    CHECK(equalInConstantTime("same", "same"));
    CHECK_FALSE(equalInConstantTime("same", "sane"));
}
