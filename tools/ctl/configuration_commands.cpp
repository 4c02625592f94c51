/** @file Commands that read, plan and change the configuration. */

#include "ctl/commands.h"
#include "ctl/platform_access.h"
#include "ctl/settings.h"
#include "version/declarations.h"

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <random>

namespace eelgrassnotch::ctl
{

namespace
{

/** Options that most commands share. */
struct CommonOptions {
    TCLAP::CmdLine line;
    TCLAP::ValueArg<std::string> settings {"s", "settings", "Settings of this tool (JSON)", true, "", "file"};

    explicit CommonOptions(const std::string &description)
        : line(description, ' ', EELGRASSNOTCH_VERSION)
    {
        this->line.add(this->settings);
    }

    void parse(const Arguments &arguments)
    {
        Arguments copy = arguments;
        copy.front() = "eelgrassnotchctl " + copy.front();
        this->line.parse(copy);
    }
};

std::string makeOperation()
{
    std::random_device source;
    const auto time = std::chrono::system_clock::now().time_since_epoch().count();
    return std::to_string(time) + "-" + std::to_string(source());
}

version::Plan makePlan(const CurrentConfiguration &current, version::Configuration target)
{
    version::Plan made;
    made.basis = current.version;
    made.operation = makeOperation();
    made.changes = version::compare(current.value, target);
    made.target = std::move(target);
    return made;
}

void writePlan(const version::Plan &made, const std::string &path)
{
    std::ofstream file(path);
    file << version::toJson(made).dump(2) << "\n";
    if (!file.flush()) {
        throw std::runtime_error("can't write " + path);
    }
}

bool confirm(bool assumeYes)
{
    if (assumeYes) {
        return true;
    }
    std::cout << "Apply this plan? Type yes: " << std::flush;
    std::string answer;
    std::getline(std::cin, answer);
    return answer == "yes";
}

int applyConfirmed(PlatformAccess &platform, const version::Plan &made, bool assumeYes)
{
    std::cout << version::describe(made);
    if (!confirm(assumeYes)) {
        std::cout << "not applied\n";
        return exitNotConfirmed;
    }
    switch (platform.apply(made)) {
    case ApplyOutcome::Applied:
        std::cout << "applied\n";
        return exitOk;
    case ApplyOutcome::AlreadyApplied:
        std::cout << "applied before; it is in force\n";
        return exitOk;
    case ApplyOutcome::Conflict:
        std::cout << "not applied: the configuration has changed since the plan was made; make a new plan\n";
        return exitConflict;
    case ApplyOutcome::Unknown:
        std::cout << "unknown: the platform does not answer; apply the same plan again, which is safe\n";
        return exitUnknown;
    }
    return exitFailure;
}

/** @throws version::ConfigurationError for an unknown name. */
void setTakenOut(version::Configuration &target, const std::string &name, bool takenOut)
{
    const auto found = target.dataCentres.find(handleOf<DataCentreHandle>(name));
    if (found == target.dataCentres.end()) {
        throw version::ConfigurationError("", "no data centre is named \"" + name + "\"");
    }
    found->second.takenOut = takenOut;
}

/** @copydoc setTakenOut */
void setDraining(version::Configuration &target, const std::string &name, bool draining)
{
    const auto handle = handleOf<BackendServerHandle>(name);
    for (auto &[serviceHandle, service] : target.services) {
        if (const auto found = service.backendServers.find(handle); found != service.backendServers.end()) {
            found->second.draining = draining;
            return;
        }
    }
    throw version::ConfigurationError("", "no backend server is named \"" + name + "\"");
}

}

int validate(const Arguments &arguments)
{
    TCLAP::CmdLine line("Checks a folder of declarations.", ' ', EELGRASSNOTCH_VERSION);
    TCLAP::UnlabeledValueArg<std::string> folder("folder", "Folder of declarations", true, "", "folder", line);
    Arguments copy = arguments;
    line.parse(copy);
    const version::Configuration read = version::readDeclarations(folder.getValue());
    std::cout << "valid: " << read.dataCentres.size() << " data centres, " << read.workspaces.size() << " workspaces, "
              << read.services.size() << " services\n";
    return exitOk;
}

int plan(const Arguments &arguments)
{
    CommonOptions options("Prints what a folder of declarations would change.");
    TCLAP::ValueArg<std::string> output("o", "output", "text or json", false, "text", "format", options.line);
    TCLAP::ValueArg<std::string> file("f", "file", "Where to write the plan for apply", false, "", "file", options.line);
    TCLAP::UnlabeledValueArg<std::string> folder("folder", "Folder of declarations", true, "", "folder", options.line);
    options.parse(arguments);
    PlatformAccess platform(readSettings(options.settings.getValue()).platform);
    const version::Plan made = makePlan(platform.readConfiguration(), version::readDeclarations(folder.getValue()));
    if (!file.getValue().empty()) {
        writePlan(made, file.getValue());
    }
    std::cout << (output.getValue() == "json" ? version::toJson(made).dump(2) + "\n" : version::describe(made));
    return exitOk;
}

int apply(const Arguments &arguments)
{
    CommonOptions options("Applies a plan after confirmation.");
    TCLAP::SwitchArg yes("y", "yes", "Confirm without asking", options.line);
    TCLAP::UnlabeledValueArg<std::string> path("plan", "File written by plan", true, "", "file", options.line);
    options.parse(arguments);
    std::ifstream file(path.getValue());
    const nlohmann::json document = nlohmann::json::parse(file, nullptr, false);
    if (document.is_discarded()) {
        throw version::ConfigurationError("", path.getValue() + " is not a plan");
    }
    PlatformAccess platform(readSettings(options.settings.getValue()).platform);
    return applyConfirmed(platform, version::parsePlan(document), yes.getValue());
}

int intent(const Arguments &arguments)
{
    CommonOptions options("Declares one intent: drain or undrain a backend server, take-out or return a data centre.");
    TCLAP::SwitchArg yes("y", "yes", "Confirm without asking", options.line);
    TCLAP::UnlabeledValueArg<std::string> name("name", "Backend server or data centre", true, "", "name", options.line);
    options.parse(arguments);
    PlatformAccess platform(readSettings(options.settings.getValue()).platform);
    const CurrentConfiguration current = platform.readConfiguration();
    version::Configuration target = current.value;
    const std::string &command = arguments.front();
    if (command == "take-out" || command == "return") {
        setTakenOut(target, name.getValue(), command == "take-out");
    } else {
        setDraining(target, name.getValue(), command == "drain");
    }
    return applyConfirmed(platform, makePlan(current, std::move(target)), yes.getValue());
}

}
