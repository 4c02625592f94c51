#pragma once

/** @file Which version of its service's backend servers began a stream. */

#include "eelgrassnotch/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace eelgrassnotch::process::streams
{

/** Hash of the attempt that brought a stream's first event, of its service and its workspace. */
using StreamKey = std::uint64_t;
/** Hash of a version's name. */
using VersionKey = std::uint64_t;
/** Version of a stream that must not go on anywhere: it isn't certain, or notes contradict each other. */
constexpr VersionKey uncertainVersion = 0;

/** @returns the key of a stream; streams of other workspaces have other keys, whatever a caller takes as an id. */
StreamKey streamKey(std::string_view attempt, std::string_view service, std::string_view workspace);
/** @returns the key of a version; uncertainVersion for the empty name. */
VersionKey versionKey(std::string_view version);

/** @brief What one daemon tells others of a stream. */
struct StreamNote {
    StreamKey stream = 0;
    VersionKey version = uncertainVersion;
    Duration lifetime {0}; ///< Until its caller's deadline.

    bool operator==(const StreamNote &) const = default;
};

/** @brief Notes of streams until their callers' deadlines; the one that ends first makes room. */
class StreamNotes
{
public:
    /** @brief Takes a note. One that contradicts an earlier note of the stream makes the version uncertain, for good. */
    void record(const StreamNote &note, Time now);
    /** @returns the version that began a stream; nullopt without a note. */
    std::optional<VersionKey> versionOf(StreamKey stream, Time now) const;
    void removeExpired(Time now);
    std::size_t size() const
    {
        return this->notes.size();
    }

private:
    using ByEnd = std::multimap<Time, StreamKey>;
    struct Entry {
        VersionKey version = uncertainVersion;
        ByEnd::iterator end;
    };

    void erase(ByEnd::iterator end);

    std::unordered_map<StreamKey, Entry> notes;
    ByEnd byEnd;
};

}
