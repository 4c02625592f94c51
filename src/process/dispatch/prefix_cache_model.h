#pragma once

/** @file Which prompt parts a backend server probably still keeps. */

#include "request/attributes.h"

#include <list>
#include <unordered_map>

namespace eelgrassnotch::process::dispatch
{

/**
 * @brief Least-recently-used memory of the parts that were sent to one backend server.
 * @remarks Load pattern: sessions whose shared prefix dominates the prompt.
 */
class PrefixCacheModel
{
public:
    /** @param maxTokens Tokens that are assumed to be kept. */
    explicit PrefixCacheModel(std::uint64_t maxTokens);

    /** @brief Notes that the prompt's parts are now kept. */
    void recordPrompt(const request::Prompt &prompt);
    /** @returns tokens of the leading parts that are all kept. */
    std::uint32_t cachedTokens(const request::Prompt &prompt) const;
    /** @brief Forgets all, after a restart of the backend server. */
    void clear();

private:
    using Order = std::list<request::PromptPart>;

    std::uint64_t maxTokens;
    std::uint64_t tokens = 0;
    Order order; ///< Most recently used first.
    std::unordered_map<std::uint64_t, Order::iterator> parts;
};

}
