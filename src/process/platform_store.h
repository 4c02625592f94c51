#pragma once

/** @file The platform's object service, as the core sees it. */

#include <cstdint>
#include <functional>
#include <string>

namespace eelgrassnotch::process
{

enum class StoreStatus {
    Ok,
    Conflict, ///< The condition did not hold; nothing changed.
    NotFound,
    Unknown, ///< No answer; the change may have taken effect.
};

struct StoreAnswer {
    StoreStatus status = StoreStatus::Unknown;
    std::uint64_t version = 0; ///< Version of the object after the call.
    std::string value;

    bool operator==(const StoreAnswer &) const = default;
};

/**
 * @brief Asynchronous calls to the platform's objects.
 * @remarks Callbacks come later, on the thread that owns the core, exactly once.
 */
class PlatformStore
{
public:
    using Callback = std::function<void(const StoreAnswer &answer)>;

    virtual ~PlatformStore() = default;
    virtual void read(const std::string &key, Callback callback) = 0;
    /** @brief Creates an object; Conflict when it exists. */
    virtual void create(const std::string &key, const std::string &value, Callback callback) = 0;
    /** @brief Replaces an object whose version is still @p version. */
    virtual void update(const std::string &key, const std::string &value, std::uint64_t version, Callback callback) = 0;
    virtual void remove(const std::string &key, std::uint64_t version, Callback callback) = 0;
    /** @brief Answers once the object's version differs from @p knownVersion, or after the platform's watch period. */
    virtual void watch(const std::string &key, std::uint64_t knownVersion, Callback callback) = 0;
};

}
