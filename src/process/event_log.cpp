#include "process/event_log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace eelgrassnotch::process
{

namespace
{

std::string quote(const std::string &value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos;
    if (plain) {
        return value;
    }
    std::string quoted = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            quoted += '\\';
        }
        quoted += character == '\n' ? ' ' : character;
    }
    return quoted + "\"";
}

std::string &daemonName()
{
    static std::string name;
    return name;
}

}

void startLog(const std::string &daemon, const std::string &file)
{
    daemonName() = daemon;
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%levshort %msg");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, file.empty() ? "true" : "false");
    configurations.setGlobally(el::ConfigurationType::ToFile, file.empty() ? "false" : "true");
    if (!file.empty()) {
        configurations.setGlobally(el::ConfigurationType::Filename, file);
    }
    el::Loggers::reconfigureLogger("default", configurations);
}

std::string formatEvent(const std::string &event, const LogFields &fields)
{
    std::string line = "event=" + quote(event);
    if (!daemonName().empty()) {
        line += " daemon=" + quote(daemonName());
    }
    for (const auto &[key, value] : fields) {
        line += " " + key + "=" + quote(value);
    }
    return line;
}

void logEvent(const std::string &event, const LogFields &fields)
{
    LOG(INFO) << formatEvent(event, fields);
}

void logWarning(const std::string &event, const LogFields &fields)
{
    LOG(WARNING) << formatEvent(event, fields);
}

}
