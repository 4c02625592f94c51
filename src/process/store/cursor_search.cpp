#include "process/store/cursor_search.h"

#include <algorithm>
#include <utility>

namespace eelgrassnotch::process::store
{

namespace
{

/** Printable ASCII; cursors are made of it. */
constexpr char firstCharacter = ' ';
constexpr char lastCharacter = '~';
constexpr int characterCount = lastCharacter - firstCharacter + 1;
/** Characters behind the common start with the stuck cursor up to which the search goes on. */
constexpr std::size_t longestTail = 8;

/** @returns the character's rank in a string; -1 behind its end. */
int rankAt(const std::string &text, std::size_t place)
{
    if (place >= text.size()) {
        return -1;
    }
    const int rank = static_cast<unsigned char>(text[place]) - static_cast<unsigned char>(firstCharacter);
    return std::clamp(rank, 0, characterCount - 1);
}

char characterOf(int rank)
{
    return static_cast<char>(firstCharacter + rank);
}

}

CursorSearch::CursorSearch(std::string stuckCursor)
    : stuck(std::move(stuckCursor))
    , low(this->stuck)
    , longPrefix(this->stuck.size() + 1)
{
}

std::string CursorSearch::behindPrefix(std::size_t length) const
{
    return this->stuck.substr(0, length) + lastCharacter;
}

std::optional<std::string> CursorSearch::next() const
{
    std::optional<std::string> cursor;
    if (!this->high) {
        // Where not even the end of the list can be read, no cursor helps.
        cursor = this->behindPrefix(0);
    } else if (!this->isPrefixKnown()) {
        cursor = this->behindPrefix(this->middlePrefix());
    } else {
        cursor = this->between();
    }
    const bool isUseful = !this->isOver && cursor && *cursor > this->low && cursor->size() <= this->shortPrefix + longestTail;
    return isUseful ? cursor : std::nullopt;
}

void CursorSearch::note(bool isReadable, const std::string &lastName)
{
    const auto asked = this->next();
    if (!asked) {
        return;
    }
    if (isReadable) {
        if (this->high && !this->isPrefixKnown()) {
            this->shortPrefix = this->middlePrefix();
        }
        this->high = asked;
    } else {
        this->isOver = !this->high;
        this->low = std::max(this->low, *asked);
        if (this->high && lastName < *this->high) {
            this->low = std::max(this->low, lastName);
        }
    }
    while (!this->isPrefixKnown() && this->behindPrefix(this->middlePrefix()) <= this->low) {
        this->longPrefix = this->middlePrefix();
    }
}

std::optional<std::string> CursorSearch::between() const
{
    const std::string &end = *this->high;
    std::size_t place = 0;
    while (place < this->low.size() && place < end.size() && this->low[place] == end[place]) {
        ++place;
    }
    const int lowRank = rankAt(this->low, place);
    const int highRank = rankAt(end, place);
    std::string cursor = end.substr(0, place);
    if (highRank - lowRank > 1) {
        return cursor + characterOf((lowRank + highRank) / 2);
    }
    if (lowRank < 0) {
        // Only what begins like the end is left.
        cursor += end.substr(place, 1);
        return cursor.size() < end.size() ? std::optional(cursor) : std::nullopt;
    }
    // Behind the low end, among the names that begin like it.
    cursor += this->low.substr(place, 1);
    for (std::size_t at = place + 1;; ++at) {
        const int rank = rankAt(this->low, at);
        if (rank < characterCount - 1) {
            return cursor + characterOf((rank + characterCount) / 2);
        }
        cursor += lastCharacter;
    }
}

}
