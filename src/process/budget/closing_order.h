#pragma once

/** @file Which connections are closed first when descriptors or memory run short. */

#include "eelgrassnotch/types.h"

#include <cstddef>
#include <vector>

namespace eelgrassnotch::process::budget
{

/** A connection that has made no progress for this long gives way to one that waits for memory; pauses of a sound network are shorter. */
constexpr Duration stallTime = std::chrono::milliseconds(500);
/** Queued bytes of an answer that are not taken for this long are given up; backend servers give their caller a few seconds, too. */
constexpr Duration untakenTime = std::chrono::seconds(5);

/** @brief What a connection does, as far as it matters for closing it. */
enum class Activity {
    Idle, ///< Waits for a request.
    Receiving, ///< Reads a request.
    Waiting, ///< Has a request that is being served, and nothing to write.
    Writing, ///< Has bytes that its caller has not taken.
    Closing, ///< Waits until the caller has received the last answer.
};

/** @brief One connection that may be closed. */
struct ClosingCandidate {
    Activity activity = Activity::Idle;
    std::size_t heldBytes = 0;
    Duration standstill {0}; ///< Since its last progress.

    bool operator==(const ClosingCandidate &) const = default;
};

/** @returns the places of the connections to close for their descriptors, at most `count`: idle and closing ones that have been so for
 * longest, then those that stall. */
std::vector<std::size_t> chooseForDescriptors(const std::vector<ClosingCandidate> &candidates, std::size_t count);
/** @returns the places of the connections to close for their memory: those that have held the most for the longest without progress, until
 * the bytes suffice. */
std::vector<std::size_t> chooseForMemory(const std::vector<ClosingCandidate> &candidates, std::size_t bytes);
/** @returns whether a connection is given up in any case, as its caller doesn't take its answer. */
bool isUntaken(const ClosingCandidate &candidate);

}
