#pragma once

/** @file Typed handles and time, used by all public headers. */

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string_view>

namespace eelgrassnotch
{

/** Span of time in microseconds. */
using Duration = std::chrono::microseconds;
/** Time since an arbitrary start, in microseconds, by a clock that also counts suspended time. */
using Time = std::chrono::microseconds;

/** Value of a handle that names nothing. */
constexpr std::uint32_t invalidHandle = 0;

/**
 * @brief Typed 32-bit handle: the hash of a name, the same in every process.
 * @remarks Validation of a configuration refuses two names with one hash.
 */
template <class Tag>
struct Handle {
    std::uint32_t id = invalidHandle;

    /** @returns whether the handle names something. */
    constexpr bool isValid() const
    {
        return this->id != invalidHandle;
    }
    constexpr auto operator<=>(const Handle &) const = default;
};

using WorkspaceHandle = Handle<struct WorkspaceTag>;
using ServiceHandle = Handle<struct ServiceTag>;
using BackendServerHandle = Handle<struct BackendServerTag>;
using DataCentreHandle = Handle<struct DataCentreTag>;
using DaemonHandle = Handle<struct DaemonTag>;

/**
 * @brief Hash of a name, the id of its handle.
 * @param name Name as it is written in the configuration or the settings.
 * @returns 32-bit hash (FNV-1a), never the invalid value.
 */
constexpr std::uint32_t hashName(std::string_view name)
{
    constexpr std::uint32_t offsetBasis = 2166136261u;
    constexpr std::uint32_t prime = 16777619u;
    std::uint32_t hash = offsetBasis;
    for (const char character : name) {
        hash ^= static_cast<unsigned char>(character);
        hash *= prime;
    }
    return hash == invalidHandle ? 1 : hash;
}

/**
 * @brief Makes the handle of a name.
 * @param name Name; the empty name gives the invalid handle.
 */
template <class HandleType>
constexpr HandleType handleOf(std::string_view name)
{
    return name.empty() ? HandleType {} : HandleType {hashName(name)};
}

}

template <class Tag>
struct std::hash<eelgrassnotch::Handle<Tag>> {
    std::size_t operator()(eelgrassnotch::Handle<Tag> handle) const noexcept
    {
        return handle.id;
    }
};
