#pragma once

/** @file Commands of the command-line tool; each parses its own arguments. */

#include <string>
#include <vector>

namespace eelgrassnotch::ctl
{

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitInvalid = 2;
constexpr int exitNotConfirmed = 3;
constexpr int exitConflict = 4;
constexpr int exitUnknown = 5;

/** @brief Arguments of one command, its name first. */
using Arguments = std::vector<std::string>;

int validate(const Arguments &arguments);
int plan(const Arguments &arguments);
int apply(const Arguments &arguments);
int status(const Arguments &arguments);
/** @brief drain, undrain, take-out and return: a plan for one intent, then its confirmation. */
int intent(const Arguments &arguments);
int load(const Arguments &arguments);
/** @brief Reads logs of daemons; needs no platform. */
int losses(const Arguments &arguments);

}
