/** @file The command-line tool for operators. */

#include "ctl/commands.h"
#include "version/configuration.h"

#include <tclap/ArgException.h>

#include <functional>
#include <iostream>
#include <map>

namespace
{

using namespace eelgrassnotch::ctl;

constexpr auto usage = R"(eelgrassnotchctl COMMAND [options]

  validate FOLDER             check declarations
  plan FOLDER                 what the declarations would change
  apply PLAN                  apply a plan after confirmation
  status                      state of all daemons
  drain NAME, undrain NAME    stop or resume new work on a backend server
  take-out NAME, return NAME  the same for a data centre
  load EXPERIMENT             drive a running fleet and report
  losses LOG...               what became of requests, from the daemons' logs

COMMAND --help tells the options. Exit codes: 0 done, 1 failure, 2 invalid
input, 3 not confirmed, 4 the basis of the plan has moved, 5 outcome unknown.
)";

int runCommand(const Arguments &arguments)
{
    const std::map<std::string, std::function<int(const Arguments &)>> commands {
        {"validate", validate}, {"plan", plan},       {"apply", apply},   {"status", status}, {"drain", intent},
        {"undrain", intent},    {"take-out", intent}, {"return", intent}, {"load", load},     {"losses", losses},
    };
    const auto found = commands.find(arguments.front());
    if (found == commands.end()) {
        std::cerr << "unknown command " << arguments.front() << "\n" << usage;
        return exitInvalid;
    }
    return found->second(arguments);
}

}

int main(int argumentCount, char **argumentValues)
{
    const Arguments arguments(argumentValues + 1, argumentValues + argumentCount);
    const bool wantsHelp = arguments.empty() || arguments.front() == "--help" || arguments.front() == "-h";
    if (wantsHelp) {
        std::cout << usage;
        return arguments.empty() ? exitInvalid : exitOk;
    }
    if (arguments.front() == "--version") {
        std::cout << "eelgrassnotchctl " << EELGRASSNOTCH_VERSION << "\n";
        return exitOk;
    }
    try {
        return runCommand(arguments);
    } catch (const eelgrassnotch::version::ConfigurationError &error) {
        std::cerr << error.what() << "\n";
        return exitInvalid;
    } catch (const std::exception &error) {
        std::cerr << "eelgrassnotchctl: " << error.what() << "\n";
        return exitFailure;
    }
}
