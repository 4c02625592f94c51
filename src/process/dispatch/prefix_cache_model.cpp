#include "process/dispatch/prefix_cache_model.h"

#include <cstddef>

namespace eelgrassnotch::process::dispatch
{

namespace
{

/** Parts that one prompt may evict, for each of its own and besides. A single long part doesn't evict thousands of short ones at once. */
constexpr std::size_t evictionsPerPart = 2;
constexpr std::size_t minEvictions = 256;

}

PrefixCacheModel::PrefixCacheModel(std::uint64_t tokenLimit)
    : maxTokens(tokenLimit)
{
}

void PrefixCacheModel::recordPrompt(const request::Prompt &prompt, Time now)
{
    // The leading part becomes the most recently used one: a part is useful only while all parts before it are cached.
    for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part) {
        if (const auto known = this->parts.find(part->id); known != this->parts.end()) {
            this->order.splice(this->order.begin(), this->order, known->second);
            known->second->usedAt = now;
            continue;
        }
        this->order.push_front({*part, now});
        this->parts.emplace(part->id, this->order.begin());
        this->tokens += part->tokens;
    }
    std::size_t evictionsLeft = minEvictions + evictionsPerPart * prompt.parts.size();
    while (this->tokens > this->maxTokens && !this->order.empty() && evictionsLeft > 0) {
        --evictionsLeft;
        this->tokens -= this->order.back().part.tokens;
        this->parts.erase(this->order.back().part.id);
        this->order.pop_back();
    }
}

std::uint32_t PrefixCacheModel::cachedTokens(const request::Prompt &prompt, Time usedSince) const
{
    std::uint32_t cached = 0;
    for (const request::PromptPart &part : prompt.parts) {
        const auto known = this->parts.find(part.id);
        if (known == this->parts.end() || known->second->usedAt < usedSince) {
            break;
        }
        cached += part.tokens;
    }
    return cached;
}

void PrefixCacheModel::clear()
{
    this->tokens = 0;
    this->order.clear();
    this->parts.clear();
}

}
