#include "process/settings.h"

#include "version/checked_json.h"
#include "version/configuration.h"
#include "version/vm_list.h"

#include <fstream>
#include <sstream>

namespace eelgrassnotch::process
{

namespace
{

constexpr double maxStopTimeoutMs = 3'600'000;
constexpr double maxThreads = 256;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("can't read " + path);
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

}

std::string readKeyFile(const version::CheckedJson &root, const char *member)
{
    if (!root.has(member)) {
        return {};
    }
    std::string content = readFile(root.member(member).text());
    content.erase(content.find_last_not_of(" \r\n\t") + 1);
    if (content.empty()) {
        root.member(member).fail("must name a file that holds a key");
    }
    return content;
}

Endpoint parseEndpoint(const version::CheckedJson &source)
{
    source.allowOnly({"address", "port"});
    return {source.member("address").ipNumber(), static_cast<std::uint16_t>(source.member("port").integer(1, 65535))};
}

Settings readSettings(const std::string &path)
{
    const nlohmann::json document = nlohmann::json::parse(readFile(path), nullptr, false);
    if (document.is_discarded()) {
        throw version::ConfigurationError("", path + " is not JSON");
    }
    const version::CheckedJson root(document);
    root.allowOnly({"name", "dataCentre", "callers", "peers", "operators", "platform", "seeds", "linkKeyFile", "operatorKeyFile", "logFile",
                    "stopTimeoutMs", "threads"});
    Settings settings;
    settings.name = root.member("name").name();
    settings.dataCentre = root.member("dataCentre").name();
    settings.callers = parseEndpoint(root.member("callers"));
    settings.peers = parseEndpoint(root.member("peers"));
    settings.operators = parseEndpoint(root.member("operators"));
    settings.platform = parseEndpoint(root.member("platform"));
    for (const version::CheckedJson &seed : root.array("seeds")) {
        settings.seeds.push_back(version::parseVm(seed));
    }
    settings.linkKey = readKeyFile(root, "linkKeyFile");
    settings.operatorKey = readKeyFile(root, "operatorKeyFile");
    settings.logFile = root.has("logFile") ? root.member("logFile").text() : "";
    const double stopTimeoutMs = root.number("stopTimeoutMs", 30'000, 100, maxStopTimeoutMs);
    settings.stopTimeout = std::chrono::milliseconds(static_cast<std::int64_t>(stopTimeoutMs));
    settings.threads = static_cast<std::uint32_t>(root.number("threads", 16, 2, maxThreads));
    return settings;
}

}
