/** @file The daemon: runs until SIGTERM or SIGINT, then stops by plan. */

#include "process/daemon.h"
#include "process/event_log.h"
#include "process/settings.h"
#include "version/configuration.h"

#include <pplx/threadpool.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

namespace
{

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitBadSettings = 2;
constexpr int exitRequestsCut = 3;

/** Blocks the stop signals in all threads, so that one thread can wait for them. */
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run(const eelgrassnotch::process::Settings &settings)
{
    using namespace eelgrassnotch::process;
    const sigset_t signals = blockStopSignals();
    startLog(settings.name, settings.logFile);
    crossplat::threadpool::initialize_with_threads(settings.threads);
    Daemon daemon(settings);
    logEvent("started", {{"data_centre", settings.dataCentre}, {"callers_port", std::to_string(settings.callers.port)}});
    int signal = 0;
    sigwait(&signals, &signal);
    logEvent("stop_requested", {{"signal", std::to_string(signal)}});
    const bool drained = daemon.stop();
    logEvent("stopped", {{"drained", drained ? "true" : "false"}});
    return drained ? exitOk : exitRequestsCut;
}

}

int main(int argumentCount, char **arguments)
{
    try {
        TCLAP::CmdLine line("eelgrassnotchd routes requests of workspaces to backend servers and shares the capacity fairly. "
                            "Exit codes: 0 stopped by plan, 1 failure, 2 settings are not valid, 3 the stop's time bound cut requests.",
                            ' ', EELGRASSNOTCH_VERSION);
        TCLAP::ValueArg<std::string> settingsPath("s", "settings", "Settings file (JSON)", true, "", "file");
        TCLAP::SwitchArg checkOnly("", "check-config", "Check the settings file and exit");
        line.add(settingsPath);
        line.add(checkOnly);
        line.parse(argumentCount, arguments);
        const auto settings = eelgrassnotch::process::readSettings(settingsPath.getValue());
        if (checkOnly.getValue()) {
            std::cout << "settings are valid\n";
            return exitOk;
        }
        return run(settings);
    } catch (const eelgrassnotch::version::ConfigurationError &error) {
        std::cerr << "settings: " << error.what() << "\n";
        return exitBadSettings;
    } catch (const std::exception &error) {
        std::cerr << "eelgrassnotchd: " << error.what() << "\n";
        return exitFailure;
    }
}
