#include "request/attributes.h"

namespace eelgrassnotch::request
{

std::uint32_t Prompt::sharedTokens() const
{
    std::uint32_t shared = 0;
    for (std::size_t index = 0; index + 1 < this->parts.size(); ++index) {
        shared += this->parts[index].tokens;
    }
    return shared;
}

std::uint64_t Prompt::sharedPrefixId() const
{
    return this->parts.size() < 2 ? 0 : this->parts[this->parts.size() - 2].id;
}

}
