#include "version/vm_list.h"

#include "version/checked_json.h"
#include "version/configuration.h"

namespace eelgrassnotch::version
{

process::DaemonIdentity parseVm(const CheckedJson &source)
{
    source.allowOnly({"name", "address", "port", "dataCentre"});
    process::DaemonIdentity identity;
    identity.name = source.member("name").name();
    identity.address = source.member("address").ipNumber();
    identity.port = static_cast<std::uint16_t>(source.member("port").integer(1, 65535));
    identity.dataCentre = handleOf<DataCentreHandle>(source.member("dataCentre").name());
    return identity;
}

std::vector<process::DaemonIdentity> parseVmList(const std::string &text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_array()) {
        throw ConfigurationError("", "must be a JSON array of VMs");
    }
    std::vector<process::DaemonIdentity> listed;
    for (std::size_t index = 0; index < document.size(); ++index) {
        listed.push_back(parseVm(CheckedJson(document[index], "/" + std::to_string(index))));
    }
    return listed;
}

}
