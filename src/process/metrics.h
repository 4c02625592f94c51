#pragma once

/** @file Prometheus metrics of one daemon. */

#include "connection/link_service.h"
#include "process/node.h"

#include <memory>
#include <string>

namespace eelgrassnotch::process
{

/** @brief Copies the counters of all parts into Prometheus families. */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** @brief Takes the current counters. @param processorTime Of the core's thread. */
    void update(const Node &node, const connection::LinkStats &links, std::uint64_t platformCalls, Duration processorTime);
    /** @brief Counts a refusal that was decided before the core. */
    void countEarlyRefusal(RefusalReason reason);
    /** @brief Counts a refused operator call. */
    void countUnauthorized();
    /** @returns all metrics in the Prometheus text format. */
    std::string serialize() const;

private:
    struct Families;
    std::unique_ptr<Families> families;
};

}
