/** @file What a cached prefix is worth: placement with learnt speeds, memory and cached fractions, without I/O or a clock. */

#include "process/dispatch/placement.h"
#include "process/rendezvous.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process;
using namespace std::chrono_literals;

namespace
{

/** @returns candidates with pseudo-random states that depend on the seed only. */
std::vector<dispatch::Candidate> makeVariedCandidates(std::size_t count, std::uint64_t seed)
{
    std::vector<dispatch::Candidate> candidates(count);
    for (std::size_t index = 0; index < count; ++index) {
        const std::uint64_t bits = mixBits(seed + index + 1);
        dispatch::Candidate &candidate = candidates[index];
        candidate.backend = hashName("engine-" + std::to_string(index));
        candidate.isUsable = bits % 10 != 0;
        candidate.isEligible = candidate.isUsable || bits % 20 == 0;
        candidate.isInRegion = index % 3 == 0;
        candidate.isInDataCentre = index % 6 == 0;
        candidate.roundTrip = candidate.isInRegion ? 1ms : 17ms;
        candidate.queueDelay = std::chrono::microseconds((bits >> 8) % 90000);
        candidate.queueDelayFromOthers = std::chrono::microseconds((bits >> 28) % 90000);
        candidate.cachedTokens = (bits >> 48) % 5 == 0 ? 2520 : 0;
        candidate.failureRate = (bits >> 52) % 7 == 0 ? 0.1 : 0.0;
    }
    return candidates;
}

}

TEST_CASE("placement with unknown speeds and memory is the placement with compiled-in constants")
{
    // Guards against defaults that move traffic on deployments where nothing was learnt. The checksum was computed with the constants.
    std::uint64_t checksum = 0;
    for (std::uint64_t round = 0; round < 2000; ++round) {
        const auto candidates = makeVariedCandidates(1 + round % 112, round << 20);
        const std::uint64_t session = round % 4 == 0 ? 0 : mixBits(round % 300);
        const std::uint32_t shared = session == 0 ? 0 : (round % 3 == 0 ? 6300 : 568);
        const auto placed = dispatch::place({shared + 1800, shared, session, 4700, mixBits(round)}, candidates);
        const std::uint64_t result = !placed ? 1
                                             : placed->index ^ static_cast<std::uint64_t>(placed->firstEventDelay.count()) << 8
                ^ static_cast<std::uint64_t>(placed->uncachedTokens) << 32 ^ (placed->fetchSource.value_or(127) << 48)
                ^ (placed->isHome ? std::uint64_t(1) << 60 : 0);
        checksum = mixBits(checksum ^ result);
    }
    CHECK(checksum == 0x43ee7796b3d4896b);
}

TEST_CASE("a slow engine and one without free memory are avoided by as much as they cost")
{
    // Guards against engines that are chosen as if they were fast and empty.
    std::vector<dispatch::Candidate> candidates(2);
    candidates[0].backend = 1;
    candidates[1].backend = 2;
    const dispatch::PlacementRequest request {2400, 0, 0, 4700, 1, 100};
    candidates[0].prefillTokensPerMs = 60;
    CHECK(dispatch::place(request, candidates)->index == 1);
    candidates[1].queueDelay = 15ms; // Prefill takes 13.9 ms longer at the slow engine.
    CHECK(dispatch::place(request, candidates)->index == 0);
    candidates[0].firstEventOverhead = 56ms;
    CHECK(dispatch::place(request, candidates)->firstEventDelay == 40ms + 56ms);
    candidates[0].firstEventOverhead = 60ms;
    CHECK(dispatch::place(request, candidates)->index == 1);
    candidates[0].firstEventOverhead = dispatch::firstEventOverhead;
    candidates[0].freeMemoryTokens = 2499;
    CHECK(dispatch::place(request, candidates)->index == 1);
    candidates[1].freeMemoryTokens = 0;
    CHECK(dispatch::place(request, candidates)->index == 0);
}
