#include "process/streams/stream_notes.h"

#include "process/rendezvous.h"

#include <algorithm>
#include <chrono>

namespace eelgrassnotch::process::streams
{

namespace
{

/** About 100 bytes each. The largest deployment begins some hundred such streams a second at each daemon and its keepers. */
constexpr std::size_t maxNotes = 65'536;
/** The longest deadline that callers may name. */
constexpr Duration maxLifetime = std::chrono::minutes(10);

/** FNV-1a in 64 bits. */
constexpr std::uint64_t offsetBasis = 14695981039346656037u;
constexpr std::uint64_t prime = 1099511628211u;

void append(std::uint64_t &hash, std::string_view text)
{
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= prime;
    }
    // Ends the text, so that no two lists of texts run together.
    hash ^= text.size();
    hash *= prime;
}

}

StreamKey streamKey(std::string_view attempt, std::string_view service, std::string_view workspace)
{
    std::uint64_t hash = offsetBasis;
    append(hash, workspace);
    append(hash, service);
    append(hash, attempt);
    return mixBits(hash);
}

VersionKey versionKey(std::string_view version)
{
    if (version.empty()) {
        return uncertainVersion;
    }
    std::uint64_t hash = offsetBasis;
    append(hash, version);
    return std::max<VersionKey>(mixBits(hash), 1);
}

void StreamNotes::record(const StreamNote &note, Time now)
{
    const Time end = now + std::clamp(note.lifetime, Duration(0), maxLifetime);
    if (const auto known = this->notes.find(note.stream); known != this->notes.end()) {
        Entry &entry = known->second;
        if (entry.version != note.version) {
            entry.version = uncertainVersion;
        }
        if (end > entry.end->first) {
            this->byEnd.erase(entry.end);
            entry.end = this->byEnd.emplace(end, note.stream);
        }
        return;
    }
    if (this->notes.size() >= maxNotes) {
        this->erase(this->byEnd.begin());
    }
    this->notes[note.stream] = {note.version, this->byEnd.emplace(end, note.stream)};
}

std::optional<VersionKey> StreamNotes::versionOf(StreamKey stream, Time now) const
{
    const auto known = this->notes.find(stream);
    if (known == this->notes.end() || known->second.end->first <= now) {
        return std::nullopt;
    }
    return known->second.version;
}

void StreamNotes::removeExpired(Time now)
{
    while (!this->byEnd.empty() && this->byEnd.begin()->first <= now) {
        this->erase(this->byEnd.begin());
    }
}

void StreamNotes::erase(ByEnd::iterator end)
{
    this->notes.erase(end->second);
    this->byEnd.erase(end);
}

}
