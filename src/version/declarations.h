#pragma once

/** @file Declarations: a folder of JSON files, kept in version control. */

#include "version/configuration.h"

#include <filesystem>

namespace eelgrassnotch::version
{

/**
 * @brief Reads all files "*.json" of a folder as one configuration.
 *
 * Each file holds an object with any of "dataCentres", "workspaces" and
 * "services"; the lists of all files are joined.
 *
 * @throws ConfigurationError whose text names the file, the JSON pointer, the value found and what is allowed.
 */
Configuration readDeclarations(const std::filesystem::path &folder);

}
