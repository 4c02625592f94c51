#pragma once

/** @file What applying a configuration would change. */

#include "version/configuration.h"

#include <string>
#include <vector>

namespace eelgrassnotch::version
{

enum class ChangeKind {
    Added,
    Changed,
    Removed,
};

/** @brief One difference, with what it does to running work. */
struct Change {
    ChangeKind kind = ChangeKind::Changed;
    std::string object; ///< Such as "workspace counter-staff".
    std::string effect;

    bool operator==(const Change &) const = default;
};

/** @brief A change of the configuration that waits for its confirmation. */
struct Plan {
    std::uint64_t basis = 0; ///< Version that the plan starts from; zero when there is none.
    std::string operation; ///< Id by which a lost answer is recognized.
    std::vector<Change> changes;
    Configuration target;

    bool operator==(const Plan &) const = default;
};

/** @returns all differences, ordered by object. */
std::vector<Change> compare(const Configuration &current, const Configuration &target);

/** @returns the plan as a document. */
nlohmann::json toJson(const Plan &plan);
/** @throws ConfigurationError when the document is not a plan. */
Plan parsePlan(const nlohmann::json &document);
/** @returns the plan as text for operators. */
std::string describe(const Plan &plan);

std::string_view nameOf(ChangeKind kind);

}
