#pragma once

/** @file Watches at the platform: the configuration and the list of VMs. */

#include "process/platform_store.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace eelgrassnotch::process
{

/** @brief One object that is watched. */
struct WatchedObject {
    std::string key;
    std::function<std::uint64_t()> knownVersion;
    std::function<void(const StoreAnswer &news)> onAnswer; ///< Also without news, to tell that the known version is current.
};

/**
 * @brief Keeps one watch open for each object while it is asked to.
 * @remarks After a failed watch the next one starts with the next advance().
 */
class PlatformWatcher
{
public:
    /** @param store Must outlive this object. */
    PlatformWatcher(PlatformStore &store, std::array<WatchedObject, 2> objects);

    /** @param wanted Whether this daemon should watch now. */
    void advance(bool wanted);

    /** @returns calls made so far. */
    std::uint64_t calls() const
    {
        return this->callCount;
    }

private:
    void watch(std::size_t index);

    PlatformStore &store;
    std::array<WatchedObject, 2> objects;
    std::array<bool, 2> waiting {};
    bool wanted = false;
    std::uint64_t callCount = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Lets late callbacks notice the end of this object.
};

}
