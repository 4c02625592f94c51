#pragma once

/** @file How many requests a daemon serves for busy neighbours, and which neighbour takes the next one. */

#include "eelgrassnotch/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace eelgrassnotch::process::handover
{

/**
 * @brief Bounds the requests that a daemon serves for all neighbours at a time, from the lag of its own timers.
 *
 * Grows while the timers run on time, and halves when they are late: callers of
 * this daemon must not wait for those of others.
 *
 * @remarks Load pattern: the load balancer sends a large workspace to one VM, while its neighbours idle.
 */
class ServingRoom
{
public:
    /** @brief Adapts the room; must be called at a constant interval. @param mayServe Whether this daemon is ready for callers. */
    void update(Duration timerLag, bool mayServe);
    /** @returns requests in progress that each of these links may have. */
    std::uint32_t perLink(std::size_t links) const;
    /** @returns requests in progress for all links. */
    std::uint32_t total() const
    {
        return this->room;
    }

private:
    std::uint32_t room = 0;
};

/** @brief A neighbour as a busy daemon sees it. */
struct NeighbourRoom {
    std::uint32_t room = 0; ///< As it has told last.
    std::uint32_t inProgress = 0; ///< Requests handed to it that have no answer yet.

    bool operator==(const NeighbourRoom &) const = default;
};

/** @returns the neighbour with the most room left; nothing when none has any. */
std::optional<std::size_t> chooseNeighbour(std::span<const NeighbourRoom> neighbours);

/**
 * @brief Bounds the fraction of requests that a busy daemon hands over: reading and relaying costs processor time, too.
 * @remarks Load pattern: more requests arrive at one VM than it can even relay. The rest must be refused, or all would be late.
 */
class RelayLimit
{
public:
    /** @brief Adapts the fraction; must be called at a constant interval. @param acceptedFraction Of the requests that are served here. */
    void update(Duration timerLag, double acceptedFraction);
    /** @returns whether the next request may be handed over; these are spread evenly. */
    bool allowNext();
    double fraction() const
    {
        return this->allowed;
    }

private:
    double allowed = 1;
    double credit = 1; ///< Accumulated fractions; each request that may be handed over uses up 1.
};

}
