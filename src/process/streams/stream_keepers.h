#pragma once

/** @file The daemons that keep notes of a stream. */

#include "eelgrassnotch/types.h"
#include "process/streams/stream_notes.h"

#include <string>
#include <vector>

namespace eelgrassnotch::process::streams
{

/** @brief A daemon that may keep notes. */
struct Keeper {
    DaemonHandle daemon;
    DataCentreHandle dataCentre;
    std::string address; ///< IP address.

    bool operator==(const Keeper &) const = default;
};

/** @brief Ranks the other daemons for a stream, within this daemon's data centre and within the fleet. */
class StreamKeepers
{
public:
    explicit StreamKeepers(DataCentreHandle ownDataCentre)
        : dataCentre(ownDataCentre)
    {
    }

    /** @param all All other daemons. */
    void setDaemons(const std::vector<Keeper> &all);
    /** @returns addresses of those that are told of a stream. */
    std::vector<std::string> keepersOf(StreamKey stream) const;
    /** @returns addresses of those that may know a stream: more than are told, as lists of daemons differ for a while. */
    std::vector<std::string> possibleKeepersOf(StreamKey stream) const;

private:
    std::vector<std::string> rankedFirst(StreamKey stream, std::size_t count) const;

    DataCentreHandle dataCentre;
    std::vector<DaemonHandle> inDataCentre;
    std::vector<DaemonHandle> inFleet;
    std::unordered_map<DaemonHandle, std::string> addresses;
};

}
