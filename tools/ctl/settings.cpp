#include "ctl/settings.h"

#include "version/checked_json.h"
#include "version/configuration.h"

#include <fstream>

namespace eelgrassnotch::ctl
{

Settings readSettings(const std::string &path)
{
    std::ifstream file(path);
    const nlohmann::json document = nlohmann::json::parse(file, nullptr, false);
    if (document.is_discarded()) {
        throw version::ConfigurationError("", path + " can't be read as JSON");
    }
    const version::CheckedJson root(document);
    root.allowOnly({"platform", "daemons", "operatorKeyFile"});
    Settings settings;
    settings.platform = process::parseEndpoint(root.member("platform"));
    for (const version::CheckedJson &daemon : root.array("daemons")) {
        daemon.allowOnly({"name", "operators"});
        settings.daemons.push_back({daemon.member("name").name(), process::parseEndpoint(daemon.member("operators"))});
    }
    settings.operatorKey = process::readKeyFile(root, "operatorKeyFile");
    return settings;
}

}
