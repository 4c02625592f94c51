/** @file Lists of the store that entries of other writers, or the store itself, make hard to read. */

#include "proxy/daemon_fixture.h"

using namespace standin;

namespace
{

const json odd = {{"not", "a backend server"}};

}

TEST_CASE("an entry of another writer hides none of the entries behind it, whatever its name holds")
{
    const RawServer server(answerOk);
    DaemonFixture fixture;
    fixture.store.pageLength = 1;
    for (const std::string marks : {"&", "+", "#", "%", " ", "%2", "/", "?", "=", ";", "\"", "\\", "&x=1&", "\xc3\xa9"}) {
        fixture.store.put("servers", "a" + marks + "b", odd);
        fixture.store.put("servers", "h" + marks, odd);
    }
    fixture.addBackend("i-1", server);
    fixture.startWithoutWaiting();
    CHECK(eventually([&] { return fixture.call("/check/1", "r-1").result_int() == 200; }));
    CHECK(fixture.probeStatus() == 200);
}
