#pragma once

/** @file Finds where a list can be read again, behind entries that can't be. */

#include <cstddef>
#include <optional>
#include <string>

namespace eelgrassnotch::process::store
{

/**
 * @brief Narrows down the cursor behind unreadable entries, by asking for pages after cursors between two known ones.
 * @remarks Expects a store that lists its objects by the bytes of their names. Cursors need not be names of objects. What is hidden in the
 * end are names between the last cursor that fails and the first one that works.
 */
class CursorSearch
{
public:
    /** @param stuckCursor The page after it can't be read. */
    explicit CursorSearch(std::string stuckCursor);

    /** @returns the cursor to ask for next; nullopt when the search is over. */
    std::optional<std::string> next() const;
    /** @brief Takes the outcome for next(). @param lastName Last name of the page; empty without one. */
    void note(bool isReadable, const std::string &lastName);
    /** @returns the first cursor that is known to work; nullopt while there is none. */
    const std::optional<std::string> &found() const
    {
        return this->high;
    }

private:
    /** @returns the start of the stuck cursor, and behind it what sorts after all that begin with it. */
    std::string behindPrefix(std::size_t length) const;
    bool isPrefixKnown() const
    {
        return this->longPrefix - this->shortPrefix <= 1;
    }
    std::size_t middlePrefix() const
    {
        return (this->shortPrefix + this->longPrefix) / 2;
    }
    std::optional<std::string> between() const;

    std::string stuck;
    std::string low; ///< The page after it can't be read.
    std::optional<std::string> high; ///< The page after it can be read.
    std::size_t shortPrefix = 0; ///< What is behind this prefix of the stuck cursor can be read, once anything can.
    std::size_t longPrefix; ///< What is behind this prefix, or a longer one, can't be read.
    bool isOver = false;
};

}
