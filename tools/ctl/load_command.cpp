/** @file Command that drives a running fleet. */

#include "ctl/commands.h"
#include "ctl/load_report.h"
#include "ctl/settings.h"
#include "version/configuration.h"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>

namespace eelgrassnotch::ctl
{

int load(const Arguments &arguments)
{
    TCLAP::CmdLine line("Drives a running fleet open-loop and reports.", ' ', EELGRASSNOTCH_VERSION);
    TCLAP::ValueArg<std::string> settingsPath("s", "settings", "Settings of this tool (JSON), for the operator key", false, "", "file",
                                              line);
    TCLAP::ValueArg<std::string> output("o", "output", "text or json", false, "text", "format", line);
    TCLAP::UnlabeledValueArg<std::string> path("experiment", "Experiment file (JSON)", true, "", "file", line);
    Arguments copy = arguments;
    line.parse(copy);
    std::ifstream file(path.getValue());
    const nlohmann::json document = nlohmann::json::parse(file, nullptr, false);
    if (document.is_discarded()) {
        throw version::ConfigurationError("", path.getValue() + " can't be read as JSON");
    }
    const std::string key = settingsPath.getValue().empty() ? "" : readSettings(settingsPath.getValue()).operatorKey;
    const Experiment experiment = parseExperiment(document);
    const nlohmann::json summary = summarize(experiment, runExperiment(experiment, key));
    std::cout << (output.getValue() == "json" ? summary.dump(2) + "\n" : formatTable(summary));
    return exitOk;
}

}
