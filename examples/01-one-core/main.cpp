/** @file Example: two decision cores, a hidden capacity, and a fake clock. */

#include "emulator/fleet.h"

#include <iostream>

using namespace eelgrassnotch;

int main()
{
    emulator::Fleet fleet(1, {});
    fleet.addDataCentre("auckland", "north", {"entry-1", "entry-2"});
    fleet.addWorkspace("counter-staff", 1);
    fleet.addService("quote-writer", true, {});
    fleet.addBackend("quote-writer", "writer-1", "auckland", {});
    fleet.start();
    fleet.run(std::chrono::seconds(4));
    emulator::RequestSpec spec;
    spec.workspace = "counter-staff";
    spec.service = "quote-writer";
    const std::size_t request = fleet.submit("entry-1", spec);
    fleet.run(std::chrono::seconds(3));
    const emulator::RequestRecord &record = fleet.records()[request];
    std::cout << (record.answered ? "answered" : "not answered") << ", executed " << fleet.executionsOf(record.name) << " times\n";
    return record.answered ? 0 : 1;
}
