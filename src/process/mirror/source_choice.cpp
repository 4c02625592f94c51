#include "process/mirror/source_choice.h"

#include "process/rendezvous.h"

#include <algorithm>

namespace eelgrassnotch::process::mirror
{

namespace
{

using namespace std::chrono_literals;

/** Followers of a relay: at one or two requests a second and a hundred microseconds each, a few percent of a core. */
constexpr std::size_t followersPerRelay = 120;
/** Daemons that take over in order, when relays are lost or have lost the store. */
constexpr std::size_t substitutes = 3;
/** Regions with fewer daemons have no relays: they would save a few calls, and a relay's loss would be felt by most. */
constexpr std::size_t smallestRegion = 6;
/** A relay that refused is asked again after this long: a substitute has found the relays gone and watches the store by then. */
constexpr Duration retryAfterRefusal = 300ms;
/** A relay that was silent is asked again after this long: the time of a restart. */
constexpr Duration retryAfterSilence = 5s;

}

SourceChoice::SourceChoice(DaemonHandle ownHandle, double ownCores)
    : self(ownHandle)
    , cores(ownCores)
{
}

void SourceChoice::setRegion(std::uint32_t region, std::map<DaemonHandle, double> coresOf)
{
    coresOf[this->self] = this->cores;
    std::vector<DaemonHandle> all;
    std::transform(coresOf.begin(), coresOf.end(), std::back_inserter(all), [](const auto &entry) { return entry.first; });
    this->relays.clear();
    this->relay = all.size() < smallestRegion;
    this->candidate = false;
    if (this->relay) {
        return;
    }
    const std::size_t relayCount = (all.size() + followersPerRelay - 1) / followersPerRelay;
    std::vector<DaemonHandle> ranked = chooseDaemons(region, all, all.size());
    std::stable_sort(ranked.begin(), ranked.end(),
                     [&coresOf](DaemonHandle left, DaemonHandle right) { return coresOf[left] > coresOf[right]; });
    ranked.resize(std::min(ranked.size(), relayCount + substitutes));
    const auto ownRank = static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), this->self) - ranked.begin());
    this->relay = ownRank < relayCount;
    this->candidate = ownRank < ranked.size();
    if (!this->relay) {
        // Followers spread over the relays: each tries them in an order of its own. Substitutes follow those above them alone.
        const std::span<const DaemonHandle> first(ranked.data(), std::min(relayCount, ranked.size()));
        this->relays = chooseDaemons(this->self.id, first, first.size());
        this->relays.insert(this->relays.end(), ranked.begin() + static_cast<std::ptrdiff_t>(first.size()),
                            ranked.begin() + static_cast<std::ptrdiff_t>(ownRank));
    }
    std::erase_if(this->retryAt,
                  [&ranked](const auto &failed) { return std::find(ranked.begin(), ranked.end(), failed.first) == ranked.end(); });
}

void SourceChoice::noteFailure(DaemonHandle failed, RelayFailure failure, Time now)
{
    this->retryAt[failed] = now + (failure == RelayFailure::Refused ? retryAfterRefusal : retryAfterSilence);
}

std::optional<DaemonHandle> SourceChoice::relayToFollow(DaemonHandle followed, Time now) const
{
    if (std::find(this->relays.begin(), this->relays.end(), followed) != this->relays.end()) {
        return followed;
    }
    for (const DaemonHandle possible : this->relays) {
        const auto retry = this->retryAt.find(possible);
        if (retry == this->retryAt.end() || now >= retry->second) {
            return possible;
        }
    }
    return std::nullopt;
}

}
