#include "process/store/list_cursor.h"

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

}

void ListCursor::restart()
{
    this->cursor.clear();
    this->passed.clear();
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

void ListCursor::forgetSearch()
{
    this->searches.erase(this->cursor);
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
    this->goOnAfter(*found);
    return true;
}

std::optional<std::string> ListCursor::nextProbe(bool isBlind, Time now) const
{
    const bool isAllowed = isBlind ? this->calls < maxBlindCalls : this->calls < maxCalls && this->callsHere < maxCallsHere;
    return isAllowed && now < this->searchUntil ? this->searches.at(this->cursor).next() : std::nullopt;
}

}
