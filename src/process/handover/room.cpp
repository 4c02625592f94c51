#include "process/handover/room.h"

#include <algorithm>

namespace eelgrassnotch::process::handover
{

namespace
{

using namespace std::chrono_literals;

/** Timers this late show that a daemon has processor time left, or that it has none; the second value is that of load shedding. */
constexpr Duration idleLag = 8ms;
constexpr Duration busyLag = 25ms;
/** Requests in progress: a stream takes some tenths of a second, so that the first value is some tens of requests a second. */
constexpr std::uint32_t firstRoom = 16;
constexpr std::uint32_t maxRoom = 192;
constexpr std::uint32_t roomStep = 4;

/** Relaying is limited only once hardly any request is served here and the timers are still this late. */
constexpr Duration relayLag = 60ms;
constexpr double fewAccepted = 0.15;
constexpr double decreaseFactor = 0.8;
constexpr double increaseStep = 0.03;
constexpr double minFraction = 0.05;

}

void ServingRoom::update(Duration timerLag, bool mayServe)
{
    if (!mayServe) {
        this->room = 0;
    } else if (timerLag > busyLag) {
        this->room /= 2;
    } else if (timerLag < idleLag) {
        this->room = this->room < firstRoom ? firstRoom : std::min(this->room + roomStep, maxRoom);
    }
}

std::uint32_t ServingRoom::perLink(std::size_t links) const
{
    return links == 0 ? this->room : this->room / static_cast<std::uint32_t>(links);
}

std::optional<std::size_t> chooseNeighbour(std::span<const NeighbourRoom> neighbours)
{
    std::optional<std::size_t> best;
    std::uint32_t mostLeft = 0;
    for (std::size_t index = 0; index < neighbours.size(); ++index) {
        const NeighbourRoom &neighbour = neighbours[index];
        const std::uint32_t left = neighbour.room - std::min(neighbour.room, neighbour.inProgress);
        if (left > mostLeft) {
            mostLeft = left;
            best = index;
        }
    }
    return best;
}

void RelayLimit::update(Duration timerLag, double acceptedFraction)
{
    const bool isTooMuch = timerLag > relayLag && acceptedFraction <= fewAccepted;
    this->allowed = isTooMuch ? std::max(this->allowed * decreaseFactor, minFraction) : std::min(this->allowed + increaseStep, 1.0);
}

bool RelayLimit::allowNext()
{
    this->credit = std::min(this->credit + this->allowed, 2.0);
    if (this->credit < 1.0) {
        return false;
    }
    this->credit -= 1.0;
    return true;
}

}
