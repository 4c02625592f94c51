/** @file Reported slowness, committed memory and expected output of backend servers, without I/O or a clock. */

#include "process/directory/backend_server.h"
#include "process/engine/committed_memory.h"
#include "process/engine/output_lengths.h"
#include "process/engine/reported_slowness.h"

#include <doctest/doctest.h>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process;
using namespace eelgrassnotch::process::engine;
using namespace std::chrono_literals;

namespace
{

constexpr Time start = 100s;

}

// Guards against decisions on reports that are older than the state that they describe.
TEST_CASE("a report of slowness fades within its lifetime, and the typical report remains")
{
    ReportedSlowness slowness;
    CHECK(slowness.current(start) == 1.0);
    for (int index = 0; index < 100; ++index) {
        slowness.record(1.0, start);
    }
    slowness.record(2.5, start);
    const double typical = slowness.typical();
    CHECK(typical < 1.01);
    CHECK(slowness.current(start) == doctest::Approx(2.5));
    CHECK(slowness.current(start + ReportedSlowness::reportLifetime / 2) == doctest::Approx((2.5 + typical) / 2));
    CHECK(slowness.current(start + ReportedSlowness::reportLifetime) == typical);
    slowness.dropOlderThan(start + 1ms);
    CHECK(slowness.current(start) == typical);
}

// Guards against tokens that stay committed after the end of a request, and against a full engine that looks empty.
TEST_CASE("committed memory counts own requests and those of others")
{
    CommittedMemory memory;
    memory.begin(9000);
    memory.begin(1000);
    memory.setFromOthers(20000);
    CHECK(memory.ownCommitted() == 10000);
    CHECK(memory.committed() == 30000);
    CHECK(memory.free(100000) == doctest::Approx(65000));
    CHECK(memory.free(10000) == 0);
    memory.end(9000);
    memory.end(1000);
    memory.setFromOthers(0);
    CHECK(memory.committed() == 0);
}

// Guards against memory that is planned by the estimates alone, when a tenth of the answers are ten times as long.
TEST_CASE("expected output is the estimate times the learnt mean error, at most the maximum")
{
    OutputLengths lengths;
    CHECK(lengths.expected("chat", 60, 4096) == 60);
    CHECK(lengths.expected("chat", std::nullopt, 4096) == 4096);
    for (int index = 1; index <= 500; ++index) {
        lengths.record("chat", 60, index % 10 == 0 ? 100 : 10, start);
    }
    // The mean is 0.9 x 1 + 0.1 x 10 times the estimate.
    CHECK(lengths.expected("chat", 60, 4096) == doctest::Approx(60 * 1.9).epsilon(0.15));
    CHECK(lengths.expected("chat", 60, 80) == 80);
    CHECK(lengths.expected("other", 60, 4096) == 60);
    lengths.removeUnusedRoutes(start + 1h);
    CHECK(lengths.expected("chat", 60, 4096) == 60);
}

// Guards against a disturbed application backend server that is expected to take the usual time, and against changes without reports.
TEST_CASE("the expected time of an application request follows the reported slowness")
{
    directory::BackendServer backend(directory::BackendRecord(), 0);
    backend.recordServiceTime(60ms, start, start);
    const Duration unreported = backend.expectedServiceTime(start);
    CHECK(unreported == Duration(static_cast<std::int64_t>(backend.serviceTime.value(start))));
    backend.slowness.record(2.0, start);
    CHECK(backend.expectedServiceTime(start) == 2 * unreported);
}
