#include "request/attributes.h"

#include <numeric>

namespace eelgrassnotch::request
{

std::span<const PromptPart> Prompt::sharedParts() const
{
    return std::span(this->parts).first(this->parts.empty() ? 0 : this->parts.size() - 1);
}

std::uint32_t Prompt::sharedTokens() const
{
    const auto shared = this->sharedParts();
    return std::accumulate(shared.begin(), shared.end(), std::uint32_t {0},
                           [](std::uint32_t sum, const PromptPart &part) { return sum + part.tokens; });
}

std::uint64_t Prompt::sharedPrefixId() const
{
    const auto shared = this->sharedParts();
    return shared.empty() ? 0 : shared.back().id;
}

}
