#include "process/streams/stream_keepers.h"

#include "process/rendezvous.h"

#include <algorithm>
#include <span>

namespace eelgrassnotch::process::streams
{

namespace
{

/** Keepers of a stream in the data centre, and the same number in the whole fleet. */
constexpr std::size_t keepersOfEach = 2;
constexpr std::size_t possibleKeepersOfEach = keepersOfEach + 1;

}

void StreamKeepers::setDaemons(const std::vector<Keeper> &all)
{
    this->inDataCentre.clear();
    this->inFleet.clear();
    this->addresses.clear();
    for (const Keeper &keeper : all) {
        this->inFleet.push_back(keeper.daemon);
        if (keeper.dataCentre == this->dataCentre) {
            this->inDataCentre.push_back(keeper.daemon);
        }
        this->addresses.insert_or_assign(keeper.daemon, keeper.address);
    }
}

std::vector<std::string> StreamKeepers::keepersOf(StreamKey stream) const
{
    return this->rankedFirst(stream, keepersOfEach);
}

std::vector<std::string> StreamKeepers::possibleKeepersOf(StreamKey stream) const
{
    return this->rankedFirst(stream, possibleKeepersOfEach);
}

std::vector<std::string> StreamKeepers::rankedFirst(StreamKey stream, std::size_t count) const
{
    const auto role = static_cast<std::uint32_t>(stream);
    std::vector<DaemonHandle> chosen = chooseDaemons(role, this->inDataCentre, count);
    for (const DaemonHandle daemon : chooseDaemons(role, this->inFleet, count)) {
        if (std::find(chosen.begin(), chosen.end(), daemon) == chosen.end()) {
            chosen.push_back(daemon);
        }
    }
    std::vector<std::string> told;
    std::transform(chosen.begin(), chosen.end(), std::back_inserter(told),
                   [this](DaemonHandle daemon) { return this->addresses.at(daemon); });
    return told;
}

}
