#pragma once

/** @file Model of a backend server's prefix cache. */

#include "process/dispatch/part_hash.h"
#include "request/attributes.h"

#include <list>
#include <unordered_map>

namespace eelgrassnotch::process::dispatch
{

/**
 * @brief Estimates which prompt parts a backend server still has cached, as an LRU cache of the parts that were sent to it.
 * @remarks Load pattern: sessions whose shared prefix dominates the prompt.
 */
class PrefixCacheModel
{
public:
    /** @param maxTokens Assumed capacity of the cache. */
    explicit PrefixCacheModel(std::uint64_t maxTokens);

    /** @brief Records that the prompt's parts are now cached. */
    void recordPrompt(const request::Prompt &prompt, Time now = Time(0));
    /**
     * @param usedSince Parts that were last sent before are taken for evicted: other daemons' prompts use the cache too.
     * @returns tokens of the longest run of leading parts that are cached.
     */
    std::uint32_t cachedTokens(const request::Prompt &prompt, Time usedSince = Time::min()) const;
    /** @brief Removes all parts, for a restarted backend server. */
    void clear();
    /** @returns parts that are kept, for tests of the work that is done. */
    std::size_t partCount() const
    {
        return this->parts.size();
    }

private:
    struct Entry {
        request::PromptPart part;
        Time usedAt {0};
    };
    using Order = std::list<Entry>;

    std::uint64_t maxTokens;
    std::uint64_t tokens = 0;
    Order order; ///< Most recently used first.
    std::unordered_map<std::uint64_t, Order::iterator, PartHash> parts;
};

}
