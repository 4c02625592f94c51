/**
 * @file Daemon processes while the store lists many whole entries of backend servers that aren't there.
 * @remarks Guards against requests that are refused although a backend server of their service could run them.
 */

#include "fleet/service_fleet.h"

using namespace fleet;

namespace
{

/** Nobody listens there: the port is reserved, and none of the tests' processes may open it. */
constexpr const char *refusingAddress = "127.0.0.1:1";

/** Adds entries of a service that lead to an address. */
void putEntries(standin::ObjectStore &store, std::size_t service, std::size_t count, const std::string &address)
{
    for (std::size_t index = 0; index < count; ++index) {
        store.put("servers", "h-" + std::to_string(service) + "-" + std::to_string(index),
                  {{"service", "s" + std::to_string(service)},
                   {"address", address},
                   {"zone", "a"},
                   {"version", "v1"},
                   {"slots", slots},
                   {"state", "ready"},
                   {"cold_left_ms", 0},
                   {"seq", 1}});
    }
}

}

TEST_CASE("requests are served while most entries of their service lead to an address that refuses connections")
{
    constexpr std::size_t absent = 600;
    constexpr std::size_t rounds = 12;
    constexpr std::size_t maxLineBytes = 300; ///< In the mean.
    // All of one service, whose requests may be repeated or not, or spread over all services.
    for (const std::size_t services : {std::size_t {1}, std::size_t {2}, serviceCount}) {
        CAPTURE(services);
        Fleet fleet(watchingDaemons);
        fleet.store.pageLength = 500;
        for (std::size_t service = 0; service < services; ++service) {
            putEntries(fleet.store, services == 1 ? 1 : service, absent / services, refusingAddress);
        }
        for (int start = 0; start < 2; ++start) {
            CAPTURE(start);
            CHECK(fleet.restartAll());
            std::size_t served = 0;
            for (std::size_t round = 0; round < rounds; ++round) {
                served += fleet.served();
            }
            CHECK(served == rounds * fleet.asked());
        }
        // A line for each backend server, one for each request, and twenty for refused connections and for repeats.
        CHECK(fleet.longestLog() <= (absent + rounds * serviceCount + 100) * maxLineBytes);
        CHECK(fleet.peakBytes() <= limits.memoryMegabytes * megabyte);
    }
}
