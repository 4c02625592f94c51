#include "process/store/list_cursor.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace eelgrassnotch::process::store
{

namespace
{

using namespace std::chrono_literals;

/** Calls of searches: in a list, while it has told nothing; in one that has told something; at one name; and at one whose search goes on
 * from an earlier list. */
constexpr std::size_t maxBlindCalls = 64;
constexpr std::size_t maxCalls = 24;
constexpr std::size_t maxCallsHere = 8;
constexpr std::size_t maxRefiningCalls = 2;
/** Time for the searches of a list. */
constexpr Duration longestSearch = 3s;
/** Searches that are kept for the next list. */
constexpr std::size_t maxSearches = 64;
/** Earlier names of a page that are kept to fall back to, and pages in a row that may bring nothing new. */
constexpr std::size_t maxEarlier = 2;
constexpr std::size_t maxFallBacks = 4;

/** @returns whether a name is made of what stands for itself in any part of a target (RFC 3986). */
bool isPlain(const std::string &name)
{
    constexpr std::string_view plain = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    return name.find_first_not_of(plain) == std::string::npos;
}

}

void ListCursor::restart()
{
    this->cursor.clear();
    this->passed.clear();
    this->earlier.clear();
    this->failed.reset();
    this->fallBacks = 0;
    this->probe.reset();
    this->calls = 0;
}

bool ListCursor::leadsTo(const std::string &name) const
{
    return !name.empty() && name != this->cursor && !this->passed.contains(name);
}

void ListCursor::goOnAfter(const std::string &name)
{
    this->passed.insert(std::exchange(this->cursor, name));
}

bool ListCursor::goOnBehind(const std::vector<std::string> &names, bool isNew)
{
    if (isNew) {
        this->failed.reset();
        this->fallBacks = 0;
    } else if (++this->fallBacks > maxFallBacks) {
        return false;
    }
    std::vector<std::string> leading;
    std::copy_if(names.begin(), names.end(), std::back_inserter(leading), [this](const std::string &name) { return this->leadsTo(name); });
    if (leading.empty()) {
        return false;
    }
    // Plain names last, each kind in the order of the page.
    std::stable_partition(leading.begin(), leading.end(), [](const std::string &name) { return !isPlain(name); });
    const std::string next = leading.back();
    leading.pop_back();
    this->earlier = {this->cursor};
    this->earlier.insert(this->earlier.end(), leading.end() - static_cast<std::ptrdiff_t>(std::min(leading.size(), maxEarlier)),
                         leading.end());
    this->searches.erase(this->cursor);
    this->goOnAfter(next);
    return true;
}

bool ListCursor::fallBack()
{
    if (!this->failed) {
        this->failed = this->cursor;
    }
    if (this->earlier.empty() || this->fallBacks >= maxFallBacks) {
        this->cursor = *std::exchange(this->failed, std::nullopt);
        this->earlier.clear();
        return false;
    }
    ++this->fallBacks;
    this->goOnAfter(this->earlier.back());
    this->earlier.pop_back();
    return true;
}

void ListCursor::forgetSearches()
{
    this->searches.clear();
}

void ListCursor::noteAnswer(bool isReadable, const std::string &lastName)
{
    this->searches.at(this->cursor).note(isReadable, lastName);
}

bool ListCursor::skipUnreadable(bool isBlind, Time now)
{
    if (!this->probe) {
        if (this->searches.size() >= maxSearches) {
            this->searches.clear();
        }
        const auto [search, isNew] = this->searches.try_emplace(this->cursor, this->cursor);
        this->callsHere = isNew || !search->second.found() ? 0 : maxCallsHere - maxRefiningCalls;
        if (this->calls == 0) {
            this->searchUntil = now + longestSearch;
        }
    }
    this->probe = this->nextProbe(isBlind, now);
    if (this->probe) {
        ++this->calls;
        ++this->callsHere;
        return true;
    }
    const auto found = this->searches.at(this->cursor).found();
    if (!found || this->passed.contains(*found)) {
        return false;
    }
    this->earlier.clear();
    this->goOnAfter(*found);
    return true;
}

std::optional<std::string> ListCursor::nextProbe(bool isBlind, Time now) const
{
    const bool isAllowed = isBlind ? this->calls < maxBlindCalls : this->calls < maxCalls && this->callsHere < maxCallsHere;
    return isAllowed && now < this->searchUntil ? this->searches.at(this->cursor).next() : std::nullopt;
}

}
