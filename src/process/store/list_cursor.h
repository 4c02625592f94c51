#pragma once

/** @file Where a list that is read page by page goes on, also where its cursor fails, and behind what can't be read of it. */

#include "eelgrassnotch/types.h"
#include "process/store/cursor_search.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

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
    /**
     * @brief Goes on behind a page, after its last plain name where there is one: it is the same in any encoding.
     * @param names In the order of the page.
     * @param isNew Whether the page has told an object that no page before it has told.
     * @returns whether the page brings a name to go on after.
     */
    bool goOnBehind(const std::vector<std::string> &names, bool isNew);
    /**
     * @brief Goes on after an earlier name, where the page after the present one is refused or brings nothing new: the object may be gone,
     * and a store may take only names that it has. Pages overlap then, and nothing is left out.
     * @returns whether there is a name to ask for; otherwise the present name is the one that failed first.
     */
    bool fallBack();
    /** @brief Forgets behind which names the list could not be read. */
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
    std::set<std::string> passed; ///< Names that the pages before followed, or that failed.
    std::vector<std::string> earlier; ///< Names to fall back to, the best one last.
    std::optional<std::string> failed; ///< Name that failed first, since a page was new.
    std::size_t fallBacks = 0; ///< Pages after earlier names, or without new objects, since a page was new.
    std::optional<std::string> probe; ///< Name that is asked for instead, in a search.
    std::size_t calls = 0; ///< Of searches in this list.
    std::size_t callsHere = 0; ///< At the present name.
    Time searchUntil {0};
    std::map<std::string, CursorSearch> searches; ///< By the name behind which pages can't be read.
};

}
