/** @file Command that tells from logs what became of requests. */

#include "ctl/commands.h"
#include "ctl/loss_ledger.h"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <stdexcept>

namespace eelgrassnotch::ctl
{

namespace
{

void readLog(std::istream &log, LossLedger &ledger)
{
    std::string line;
    while (std::getline(log, line)) {
        ledger.add(line);
    }
}

}

int losses(const Arguments &arguments)
{
    TCLAP::CmdLine line("Tells from the daemons' logs which requests were late, refused or failed, and why.", ' ', EELGRASSNOTCH_VERSION);
    TCLAP::ValueArg<std::string> output("o", "output", "text, json, or csv for the figures of each second", false, "text", "format", line);
    TCLAP::UnlabeledMultiArg<std::string> paths("log", "Log files; standard input without any", false, "file", line);
    Arguments copy = arguments;
    line.parse(copy);

    LossLedger ledger;
    for (const std::string &path : paths.getValue()) {
        std::ifstream file(path);
        if (!file) {
            throw std::runtime_error(path + " can't be read");
        }
        readLog(file, ledger);
    }
    if (paths.getValue().empty()) {
        readLog(std::cin, ledger);
    }
    if (ledger.size() == 0) {
        std::cerr << "no request is in these logs\n";
        return exitFailure;
    }
    if (output.getValue() == "json") {
        std::cout << toJson(ledger).dump(2) << "\n";
    } else if (output.getValue() == "csv") {
        std::cout << formatCsv("second", ledger.bySecond());
    } else {
        std::cout << formatCounts("by route", ledger.byRoute()) << formatCounts("by workspace", ledger.byWorkspace())
                  << formatCounts("by data centre", ledger.byDataCentre()) << formatCounts("by size", ledger.bySize());
    }
    return exitOk;
}

}
