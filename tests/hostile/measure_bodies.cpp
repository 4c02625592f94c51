/** @file Prints the peak memory of a daemon while bodies of the usual max_body_bytes stop one byte short: for figures, not a test. */

#include "hostile/crowd.h"
#include "hostile/edge_process.h"
#include "proxy/daemon_fixture.h"

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <iostream>

int main()
{
    constexpr std::size_t bodyBytes = 4'194'304;
    constexpr std::size_t megabyte = std::size_t {1} << 20;
    constexpr std::size_t descriptors = 4100;
    standin::ObjectStore store;
    standin::RawServer backend(standin::answerOk);
    auto configuration = standin::makeConfiguration(3);
    configuration["limits"]["max_body_bytes"] = bodyBytes;
    store.put("config", "main", configuration);
    const std::string head
        = "POST /check/a HTTP/1.1\r\nHost: h.example\r\nX-Eelgrassnotch-Deadline-Ms: 8000\r\nX-Eelgrassnotch-Credential: "
          "key-1\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n";
    for (const std::size_t memory : {88, 110, 512}) {
        for (const std::size_t count : {40, 200, 1000}) {
            hostile::EdgeProcess edge({memory, descriptors}, store.address());
            if (!edge.waitUntilReady()) {
                std::cerr << "the daemon is not ready\n";
                return 1;
            }
            {
                const hostile::Crowd crowd(edge.callersAddress(), count,
                                           {.head = head, .repeated = std::string(65536, 'x'), .bytes = head.size() + bodyBytes - 1});
                crowd.waitUntilSent();
            }
            std::cout << "limit_mb=" << memory << " bodies=" << count << " peak_mb=" << edge.peakResidentBytes() / megabyte << "\n"
                      << std::flush;
        }
    }
    return 0;
}
