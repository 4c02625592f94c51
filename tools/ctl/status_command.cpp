/** @file Command that shows the state of all daemons. */

#include "ctl/commands.h"
#include "ctl/settings.h"

#include <cpprest/http_client.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <iomanip>
#include <iostream>

namespace eelgrassnotch::ctl
{

namespace
{

constexpr auto statusTimeout = std::chrono::seconds(3);

/** @returns the status document, or an object with "error". */
nlohmann::json fetchStatus(const DaemonEndpoint &daemon, const std::string &key)
{
    try {
        web::http::client::http_client_config settings;
        settings.set_timeout(statusTimeout);
        const std::string base = "http://" + daemon.endpoint.address + ":" + std::to_string(daemon.endpoint.port);
        web::http::client::http_client client(web::uri(base), settings);
        web::http::http_request request(web::http::methods::GET);
        request.set_request_uri("/status");
        if (!key.empty()) {
            request.headers().add("Authorization", "Bearer " + key);
        }
        const web::http::http_response response = client.request(request).get();
        const std::string body = response.extract_utf8string(true).get();
        const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
        return document.is_object() ? document : nlohmann::json {{"error", "status " + std::to_string(response.status_code())}};
    } catch (const std::exception &error) {
        return {{"error", error.what()}};
    }
}

void printDaemon(const std::string &name, const nlohmann::json &document)
{
    std::cout << std::left << std::setw(14) << name;
    if (document.contains("error")) {
        std::cout << "unreachable: " << document["error"].get<std::string>() << "\n";
        return;
    }
    std::size_t live = 0;
    for (const nlohmann::json &member : document["members"]) {
        live += member["live"].get<bool>() ? 1 : 0;
    }
    std::cout << "version " << std::setw(6) << document["configurationVersion"].dump() << " live members " << std::setw(4) << live
              << " requests " << document["requests"].dump() << (document["relay"].get<bool>() ? " relay" : "")
              << (document["stopping"].get<bool>() ? " stopping" : "") << "\n";
    for (const nlohmann::json &pool : document["pools"]) {
        std::cout << "    dispatches " << pool["service"].get<std::string>() << ": " << pool["waiting"] << " waiting, " << pool["inFlight"]
                  << " in flight, " << pool["slots"] << " slots, " << pool["routers"] << " routers\n";
    }
}

}

int status(const Arguments &arguments)
{
    TCLAP::CmdLine line("Shows the state of all daemons.", ' ', EELGRASSNOTCH_VERSION);
    TCLAP::ValueArg<std::string> settingsPath("s", "settings", "Settings of this tool (JSON)", true, "", "file", line);
    TCLAP::ValueArg<std::string> output("o", "output", "text or json", false, "text", "format", line);
    Arguments copy = arguments;
    line.parse(copy);
    const Settings settings = readSettings(settingsPath.getValue());
    nlohmann::json all = nlohmann::json::object();
    bool reachable = true;
    for (const DaemonEndpoint &daemon : settings.daemons) {
        all[daemon.name] = fetchStatus(daemon, settings.operatorKey);
        reachable = reachable && !all[daemon.name].contains("error");
    }
    if (output.getValue() == "json") {
        std::cout << all.dump(2) << "\n";
    } else {
        for (const auto &[name, document] : all.items()) {
            printDaemon(name, document);
        }
    }
    return reachable ? exitOk : exitFailure;
}

}
