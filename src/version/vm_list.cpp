#include "version/vm_list.h"

#include "version/checked_json.h"
#include "version/configuration.h"

namespace eelgrassnotch::version
{

std::vector<process::DaemonIdentity> parseVmList(const std::string &text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_array()) {
        throw ConfigurationError("", "must be a JSON array of VMs");
    }
    std::vector<process::DaemonIdentity> listed;
    for (std::size_t index = 0; index < document.size(); ++index) {
        const CheckedJson entry(document[index], "/" + std::to_string(index));
        entry.allowOnly({"name", "address", "port", "dataCentre"});
        process::DaemonIdentity identity;
        identity.name = entry.member("name").name();
        identity.address = entry.member("address").ipNumber();
        identity.port = static_cast<std::uint16_t>(entry.member("port").integer(1, 65535));
        identity.dataCentre = handleOf<DataCentreHandle>(entry.member("dataCentre").name());
        listed.push_back(std::move(identity));
    }
    return listed;
}

}
