#pragma once

/** @file Bounded table of entries by prompt part. */

#include "process/rendezvous.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace eelgrassnotch::process::dispatch
{

/**
 * @brief Entries by part, in the order of their age, and in the order in which they are told to other daemons.
 *
 * Each operation but forEach() takes time in proportion to the entries that it returns or removes.
 *
 * @tparam Entry Value with a member `part`, the part's id.
 */
template <class Entry>
class PartTable
{
public:
    explicit PartTable(std::size_t mostEntries)
        : maxEntries(mostEntries)
    {
    }

    /** @returns the part's entry; null without one. */
    const Entry *find(std::uint64_t part) const
    {
        const auto found = this->entries.find(part);
        return found == this->entries.end() ? nullptr : &*found;
    }

    /** @brief Sets the entry of its part. It is told next, and a new one is the newest one. */
    void put(const Entry &entry)
    {
        const auto [position, isNew] = this->entries.insert(entry);
        if (!isNew) {
            this->entries.replace(position, entry);
        }
        auto &toTell = this->entries.template get<ToTell>();
        toTell.relocate(toTell.begin(), this->entries.template project<ToTell>(position));
    }

    /** @brief Makes the part's entry the newest one. */
    void renew(std::uint64_t part)
    {
        auto &byAge = this->entries.template get<ByAge>();
        byAge.relocate(byAge.end(), this->entries.template project<ByAge>(this->entries.find(part)));
    }

    /** @returns whether there was an entry. */
    bool erase(std::uint64_t part)
    {
        return this->entries.erase(part) > 0;
    }

    /** @brief Removes entries as long as the oldest one is outdated. @param onErase Called with each one before it is removed. */
    template <class Condition, class Function>
    void eraseOutdated(Condition &&isOutdated, Function &&onErase)
    {
        auto &byAge = this->entries.template get<ByAge>();
        while (!byAge.empty() && isOutdated(byAge.front())) {
            onErase(byAge.front());
            byAge.pop_front();
        }
    }

    /**
     * @brief Removes the oldest entries beyond the bound.
     * @param isKept Whether another entry is removed first, if there is one among the next few.
     * @param onErase As for eraseOutdated().
     */
    template <class Condition, class Function>
    void limit(Condition &&isKept, Function &&onErase)
    {
        constexpr int maxPassedOver = 16;
        auto &byAge = this->entries.template get<ByAge>();
        while (byAge.size() > this->maxEntries) {
            for (int passedOver = 0; passedOver < maxPassedOver && isKept(byAge.front()); ++passedOver) {
                byAge.relocate(byAge.end(), byAge.begin());
            }
            onErase(byAge.front());
            byAge.pop_front();
        }
    }

    /** @brief Tells each entry once, beginning with the one that is next. @param tell Returns whether the entry was told; ends the turn if
     * not. */
    template <class Function>
    void takeTurn(Function &&tell)
    {
        auto &toTell = this->entries.template get<ToTell>();
        for (std::size_t left = toTell.size(); left > 0 && tell(toTell.front()); --left) {
            toTell.relocate(toTell.end(), toTell.begin());
        }
    }

    /** @brief Calls a function with all entries. */
    template <class Function>
    void forEach(Function &&function) const
    {
        std::for_each(this->entries.begin(), this->entries.end(), function);
    }

    std::size_t size() const
    {
        return this->entries.size();
    }

private:
    struct ByAge {
    };
    struct ToTell {
    };
    /** Ids that callers choose may follow a pattern. */
    struct Hash {
        std::size_t operator()(std::uint64_t part) const
        {
            return mixBits(part);
        }
    };
    using ByPart = boost::multi_index::hashed_unique<boost::multi_index::member<Entry, std::uint64_t, &Entry::part>, Hash>;
    using Entries
        = boost::multi_index_container<Entry,
                                       boost::multi_index::indexed_by<ByPart, boost::multi_index::sequenced<boost::multi_index::tag<ByAge>>,
                                                                      boost::multi_index::sequenced<boost::multi_index::tag<ToTell>>>>;

    std::size_t maxEntries;
    Entries entries;
};

}
