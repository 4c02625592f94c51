#pragma once

/** @file The newest configuration that a daemon knows; versions only grow. */

#include "version/configuration.h"

#include <string>

namespace eelgrassnotch::process
{

/** @brief Holds one configuration and its document, as it is passed on to peers. */
class ConfigurationState
{
public:
    /**
     * @brief Takes a document if it is newer than the one in force.
     * @param version Version of the object at the platform.
     * @returns whether it came into force.
     * @throws version::ConfigurationError when the document is not valid.
     */
    bool offer(std::uint64_t version, const std::string &document)
    {
        if (version <= this->version()) {
            return false;
        }
        if (document.size() > config::maxConfigurationBytes) {
            throw version::ConfigurationError("", "is larger than the platform holds");
        }
        auto parsed = version::parseConfiguration(document);
        parsed.version = version;
        this->current = std::make_shared<const version::Configuration>(std::move(parsed));
        this->text = document;
        return true;
    }

    /** @returns zero before the first configuration. */
    std::uint64_t version() const
    {
        return this->current ? this->current->version : 0;
    }
    const version::ConfigurationPointer &get() const
    {
        return this->current;
    }
    const std::string &document() const
    {
        return this->text;
    }

private:
    version::ConfigurationPointer current;
    std::string text;
};

}
