#pragma once

/** @file Where a list that is read page by page goes on, also behind what can't be read of it. */

#include "eelgrassnotch/types.h"
#include "process/store/cursor_search.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace eelgrassnotch::process::store
{

/**
 * @brief Decides after which name the next page is asked for.
 * @remarks Searches behind unreadable entries make a bounded number of calls in a list, and go on with the next one.
 */
class ListCursor
{
public:
    /** @brief Begins a list. */
    void restart();
    /** @returns the name to ask for; empty for the first page. */
    const std::string &next() const
    {
        return this->probe ? *this->probe : this->cursor;
    }
    bool isSearching() const
    {
        return this->probe.has_value();
    }
    /** @returns whether an earlier list could not be read behind the present name. */
    bool isKnownStuck() const
    {
        return this->searches.contains(this->cursor);
    }
    /** @returns the pages before the present one. */
    std::size_t pages() const
    {
        return this->passed.size();
    }

    /** @returns whether the list goes on after a name. */
    bool leadsTo(const std::string &name) const;
    void goOnAfter(const std::string &name);
    /** @brief Forgets that the list could not be read behind the present name. */
    void forgetSearch();
    /** @brief The same of all names. */
    void forgetSearches();
    /** @brief Takes the outcome of a search's call. @param lastName Last name of its page; empty without one. */
    void noteAnswer(bool isReadable, const std::string &lastName);
    /**
     * @brief Goes on with a search, or after the best name that it found.
     * @param isBlind Whether nothing of the list is known, so that more calls are worth while.
     * @returns whether there is a name to ask for.
     */
    bool skipUnreadable(bool isBlind, Time now);

private:
    std::optional<std::string> nextProbe(bool isBlind, Time now) const;

    std::string cursor; ///< The next page follows this name.
    std::set<std::string> passed; ///< Names that the pages before followed.
    std::optional<std::string> probe; ///< Name that is asked for instead, in a search.
    std::size_t calls = 0; ///< Of searches in this list.
    std::size_t callsHere = 0; ///< At the present name.
    Time searchUntil {0};
    std::map<std::string, CursorSearch> searches; ///< By the name behind which pages can't be read.
};

}
