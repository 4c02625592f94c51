#pragma once

/** @file Bounded table of entries by prompt part. */

#include "eelgrassnotch/types.h"
#include "process/dispatch/part_hash.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace eelgrassnotch::process::dispatch
{

/**
 * @brief Entries by part, by the time at which they are due, in the order of their age, and in the order in which they are told to other
 * daemons.
 *
 * No operation looks at more entries than it returns or removes, but for a constant number.
 *
 * @tparam Entry Value with the members `part`, the part's id, and `dueAt`, when it is to be looked at.
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

    /** @brief Sets the entry of its part. A new one is the newest one, and is told next. */
    void put(const Entry &entry)
    {
        ++this->steps;
        const auto [position, isNew] = this->entries.insert(entry);
        if (isNew) {
            this->tellNext(position);
        } else {
            this->entries.replace(position, entry);
        }
    }

    /** @brief Makes the part's entry the newest one, to be told next. */
    void renew(std::uint64_t part)
    {
        if (const auto position = this->entries.find(part); position != this->entries.end()) {
            ++this->steps;
            auto &byAge = this->entries.template get<ByAge>();
            byAge.relocate(byAge.end(), this->entries.template project<ByAge>(position));
            this->tellNext(position);
        }
    }

    void erase(std::uint64_t part)
    {
        this->entries.erase(part);
    }

    /** @brief Calls a function with each entry that is due. It removes the entry, or puts one that is due later. */
    template <class Function>
    void takeDue(Time now, Function &&function)
    {
        const auto &byDueTime = this->entries.template get<ByDueTime>();
        for (std::size_t left = byDueTime.size(); left > 0 && !byDueTime.empty() && byDueTime.begin()->dueAt <= now; --left) {
            ++this->steps;
            const Entry entry = *byDueTime.begin();
            function(entry);
        }
    }

    /**
     * @brief Removes the oldest entries beyond the bound.
     * @param isKept Whether another entry is removed first, if there is one among the next few.
     * @param onErase Called with each entry before it is removed.
     */
    template <class Condition, class Function>
    void limit(Condition &&isKept, Function &&onErase)
    {
        auto &byAge = this->entries.template get<ByAge>();
        while (byAge.size() > this->maxEntries) {
            for (int passedOver = 0; passedOver < maxPassedOver && isKept(byAge.front()); ++passedOver) {
                ++this->steps;
                byAge.relocate(byAge.end(), byAge.begin());
            }
            ++this->steps;
            onErase(byAge.front());
            byAge.pop_front();
        }
    }

    /** @brief Removes the oldest entries beyond the bound. */
    void limit()
    {
        this->limit([](const Entry &) { return false; }, [](const Entry &) {});
    }

    /**
     * @brief Tells entries in turn, each one once.
     * @param tell Returns whether the entry was told, or is not worth telling; ends the turn if not.
     */
    template <class Function>
    void takeTurn(Function &&tell)
    {
        auto &toTell = this->entries.template get<ToTell>();
        for (std::size_t left = std::min(toTell.size(), maxTold); left > 0 && tell(toTell.front()); --left) {
            ++this->steps;
            toTell.relocate(toTell.end(), toTell.begin());
        }
    }

    std::size_t size() const
    {
        return this->entries.size();
    }
    /** @returns how many entries have been changed or looked at in a row, for tests of the work that is done. */
    std::uint64_t stepCount() const
    {
        return this->steps;
    }

private:
    struct ByDueTime {
    };
    struct ByAge {
    };
    struct ToTell {
    };
    using ByPart = boost::multi_index::hashed_unique<boost::multi_index::member<Entry, std::uint64_t, &Entry::part>, PartHash>;
    using DueOrder = boost::multi_index::ordered_non_unique<boost::multi_index::tag<ByDueTime>,
                                                            boost::multi_index::member<Entry, Time, &Entry::dueAt>>;
    using Entries = boost::multi_index_container<
        Entry,
        boost::multi_index::indexed_by<ByPart, DueOrder, boost::multi_index::sequenced<boost::multi_index::tag<ByAge>>,
                                       boost::multi_index::sequenced<boost::multi_index::tag<ToTell>>>>;

    /** Entries that one removal may pass over. */
    static constexpr int maxPassedOver = 16;
    /** Entries that one turn looks at; more than a message holds. */
    static constexpr std::size_t maxTold = 256;

    void tellNext(typename Entries::const_iterator position)
    {
        auto &toTell = this->entries.template get<ToTell>();
        toTell.relocate(toTell.begin(), this->entries.template project<ToTell>(position));
    }

    std::size_t maxEntries;
    Entries entries;
    std::uint64_t steps = 0;
};

}
