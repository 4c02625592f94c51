#pragma once

/** @file Reads whole answers of the store as a watcher reads them. */

#include "platform/dialect.h"

#include <algorithm>
#include <string_view>

namespace standin
{

using namespace eelgrassnotch;

/** @param partBytes Of the answer that arrive together. */
inline process::store::ObjectPage readPage(std::string_view body, std::size_t partBytes = std::string_view::npos)
{
    const auto reader = platform::Dialect().pageReader(process::store::Collection::Backends);
    for (std::string_view rest = body; !rest.empty(); rest.remove_prefix(std::min(partBytes, rest.size()))) {
        reader->take(rest.substr(0, partBytes));
    }
    return reader->finish();
}

inline process::store::ChangePage readChanges(std::string_view body)
{
    const auto reader = platform::Dialect().changesReader(process::store::Collection::Backends);
    reader->take(body);
    return reader->finish();
}

}
