#pragma once

/** @file One daemon: its core, links, HTTP listeners and platform client. */

#include "process/settings.h"

#include <memory>

namespace eelgrassnotch::process
{

/** @brief Owns all parts of one daemon and wires them together. */
class Daemon
{
public:
    /** @brief Starts all parts. @throws std::exception when an address can't be listened on. */
    explicit Daemon(const Settings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /**
     * @brief Planned stop: hands over roles, ends requests, says goodbye.
     * @returns whether all requests ended within Settings::stopTimeout.
     */
    bool stop();

private:
    class Parts;
    std::unique_ptr<Parts> parts;
};

}
