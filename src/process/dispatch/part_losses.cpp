#include "process/dispatch/part_losses.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Losses at this many distinct times, of as many incarnations, convict a part. */
constexpr std::size_t minLossTimes = 3;
/** Losses closer to each other than this count as one: reports of one event differ by the lag of the daemons that saw it. */
constexpr Duration lossSeparation = 250ms;
/** Losses in the same span of this length, or in spans next to each other, explain each other. */
constexpr Duration lossSpan = lossSeparation / 2;
constexpr std::size_t maxLossesPerPart = 16;

std::int64_t spanOf(const Loss &loss)
{
    return loss.at / lossSpan;
}

/** Removes one of the two losses that are closest in time: it adds least to the count. */
void joinClosest(Losses &losses)
{
    const auto gapBefore = [](const Loss &loss) { return loss.at - std::prev(&loss)->at; };
    const auto later = std::min_element(std::next(losses.begin()), losses.end(),
                                        [&gapBefore](const Loss &left, const Loss &right) { return gapBefore(left) < gapBefore(right); });
    losses.erase(later);
}

}

bool addLoss(Losses &losses, const Loss &loss)
{
    const Losses before = losses;
    const auto known
        = std::find_if(losses.begin(), losses.end(), [&loss](const Loss &other) { return other.incarnation == loss.incarnation; });
    if (known != losses.end() && known->at <= loss.at) {
        return false;
    }
    if (known != losses.end()) {
        losses.erase(known);
    }
    losses.insert(
        std::upper_bound(losses.begin(), losses.end(), loss, [](const Loss &left, const Loss &right) { return left.at < right.at; }), loss);
    if (losses.size() > maxLossesPerPart) {
        joinClosest(losses);
    }
    return losses != before;
}

bool removeLossesUntil(Losses &losses, Time until)
{
    return std::erase_if(losses, [until](const Loss &loss) { return loss.at <= until; }) > 0;
}

std::optional<Time> convictingTime(const Losses &losses)
{
    std::size_t times = 0;
    Time last = Time::min();
    const auto convicting = std::find_if(losses.begin(), losses.end(), [&times, &last](const Loss &loss) {
        if (times == 0 || loss.at - last >= lossSeparation) {
            ++times;
            last = loss.at;
        }
        return times == minLossTimes;
    });
    return convicting == losses.end() ? std::nullopt : std::optional(convicting->at);
}

bool isRepeated(const Losses &losses)
{
    return losses.size() > 1;
}

void LossCounts::add(const Losses &losses, int change)
{
    std::optional<std::int64_t> last;
    for (const Loss &loss : losses) {
        if (const std::int64_t span = spanOf(loss); last != span) {
            last = span;
            const auto entry = this->parts.try_emplace(span, 0).first;
            entry->second += change;
            if (entry->second == 0) {
                this->parts.erase(entry);
            }
        }
    }
}

int LossCounts::countAt(const Loss &loss) const
{
    const std::int64_t span = spanOf(loss);
    int count = 0;
    for (const std::int64_t near : {span - 1, span, span + 1}) {
        const auto found = this->parts.find(near);
        count += found == this->parts.end() ? 0 : found->second;
    }
    return count;
}

}
