#include "version/declarations.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>

namespace eelgrassnotch::version
{

namespace
{

constexpr std::array<std::string_view, 3> listNames {"dataCentres", "workspaces", "services"};

/** Where an element of a joined list came from. */
struct Origin {
    std::string file;
    std::size_t index = 0;
};

/** Joined lists of all files, with the origin of each element. */
struct Joined {
    nlohmann::json document;
    std::map<std::string, std::vector<Origin>, std::less<>> origins;
};

nlohmann::json readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    nlohmann::json document = nlohmann::json::parse(file, nullptr, false);
    if (document.is_discarded()) {
        throw ConfigurationError("", path.filename().string() + " is not JSON");
    }
    return document;
}

void join(Joined &joined, const std::string &file, const nlohmann::json &document)
{
    if (!document.is_object()) {
        throw ConfigurationError("", file + " must hold an object");
    }
    for (const auto &[name, list] : document.items()) {
        const bool known = std::find(listNames.begin(), listNames.end(), name) != listNames.end();
        if (!known || !list.is_array()) {
            throw ConfigurationError("/" + name, "in " + file + " must be a list named dataCentres, workspaces or services");
        }
        for (std::size_t index = 0; index < list.size(); ++index) {
            joined.document[name].push_back(list[index]);
            joined.origins[name].push_back({file, index});
        }
    }
}

/** Replaces the index in the joined list by file and index in the file. */
ConfigurationError locate(const Joined &joined, const ConfigurationError &error)
{
    const std::string &pointer = error.pointer();
    const std::size_t nameEnd = pointer.find('/', 1);
    if (nameEnd == std::string::npos) {
        return error;
    }
    const std::string name = pointer.substr(1, nameEnd - 1);
    const std::size_t indexEnd = std::min(pointer.find('/', nameEnd + 1), pointer.size());
    std::size_t index = 0;
    std::from_chars(pointer.data() + nameEnd + 1, pointer.data() + indexEnd, index);
    const auto found = joined.origins.find(name);
    if (found == joined.origins.end() || index >= found->second.size()) {
        return error;
    }
    const Origin &origin = found->second[index];
    const std::string problem = std::string(error.what()).substr(pointer.size() + 2);
    return {origin.file + ": /" + name + "/" + std::to_string(origin.index) + pointer.substr(indexEnd), problem};
}

}

Configuration readDeclarations(const std::filesystem::path &folder)
{
    if (!std::filesystem::is_directory(folder)) {
        throw ConfigurationError("", folder.string() + " is not a folder");
    }
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".json") {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    Joined joined;
    joined.document = nlohmann::json::object();
    for (const std::filesystem::path &file : files) {
        join(joined, file.filename().string(), readFile(file));
    }
    try {
        return parseConfiguration(joined.document);
    } catch (const ConfigurationError &error) {
        throw locate(joined, error);
    }
}

}
