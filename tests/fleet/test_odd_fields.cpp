/**
 * @file Daemon processes while entries of another writer stand in the list of backend servers that are whole but for one field.
 * @remarks Guards against requests that are sent where such an entry points.
 */

#include "fleet/service_fleet.h"

using namespace fleet;

namespace
{

/** Of one daemon, from its start to its first request to each service: twenty lines for each kind of trouble, and a line for what it does.
 */
constexpr std::size_t mostLogBytes = 32u << 10;

/** Puts entries of each service that lead to one address and have one field each that is missing, of another type or out of range. */
void putOddFields(standin::ObjectStore &store, const standin::RawServer &target)
{
    const json anyType = {nullptr, true, -1, 0.5, "", json::array(), json::object()};
    for (std::size_t index = 0; index < serviceCount; ++index) {
        std::size_t count = 0;
        const auto put
            = [&](const json &entry) { store.put("servers", "i-1" + std::to_string(index) + "-odd-" + std::to_string(count++), entry); };
        const json good = standin::makeBackend(target, "s" + std::to_string(index), "v1", slots, std::nullopt);
        for (const char *key : {"version", "slots", "seq", "zone", "state", "cold_left_ms", "born", "stage", "models"}) {
            json entry = good;
            entry.erase(key);
            if (entry != good) {
                put(entry);
            }
            for (const json &value : anyType) {
                const bool isSound
                    = (std::string(key) == "cold_left_ms" && value == 0.5) || (std::string(key) == "models" && value.is_array());
                if (!isSound) {
                    entry[key] = value;
                    put(entry);
                }
            }
        }
    }
}

}

TEST_CASE("entries with one field that is missing or of another type name no backend server")
{
    for (const std::size_t daemonCount : {watchingDaemons, followingDaemons}) {
        for (const bool isRunning : {false, true}) {
            CAPTURE(daemonCount);
            CAPTURE(isRunning);
            const standin::RawServer trap([](standin::Socket &, const standin::Request &) { return false; });
            Fleet fleet(daemonCount);
            fleet.store.pageLength = 500;
            if (isRunning) {
                REQUIRE(fleet.restartAll());
            }
            putOddFields(fleet.store, trap);
            // A backend server that comes later shows that the changes were read.
            fleet.store.remove("servers", Fleet::nameOf(4));
            fleet.putBackend(4);
            if (isRunning) {
                CHECK(standin::eventually([&] { return fleet.served() == fleet.asked(); }));
            }
            fleet.checkStarts();
            CHECK(trap.connections() == 0);
            CHECK(fleet.longestLog() <= mostLogBytes);
        }
    }
}
