#pragma once

/** @file Calls to the platform that wait for their answer. */

#include "process/platform_http.h"
#include "version/plan.h"

#include <functional>
#include <string>

namespace eelgrassnotch::ctl
{

/** @brief Outcome of applying a plan. */
enum class ApplyOutcome {
    Applied,
    AlreadyApplied, ///< Found in force by its operation id, after a lost answer or a repeat.
    Conflict, ///< The basis version moved; nothing changed.
    Unknown, ///< The platform does not answer; repeating is safe.
};

/** @brief Configuration in force at the platform. */
struct CurrentConfiguration {
    std::uint64_t version = 0; ///< Zero when there is none.
    version::Configuration value;
};

/** @brief The platform, for one operator. */
class PlatformAccess
{
public:
    explicit PlatformAccess(const process::Endpoint &platform);

    /** @throws std::runtime_error when the platform does not answer. */
    CurrentConfiguration readConfiguration();
    /** @brief Writes the plan's target if its basis is still in force. */
    ApplyOutcome apply(const version::Plan &plan);

private:
    using Call = std::function<void(process::PlatformStore::Callback)>;
    static process::StoreAnswer wait(const Call &call);
    ApplyOutcome recognize(const version::Plan &plan);

    process::PlatformHttp store;
};

}
