/** @file A rollout at a real daemon, with stand-in servers of two versions and the store's stand-in. */

#include "proxy/daemon_fixture.h"

#include <doctest/doctest.h>

#include <string>

using namespace standin;

namespace
{

constexpr int durationSeconds = 8;

/** One daemon, two versions and an order; callers send until the order has ended. */
class RolloutFixture : public DaemonFixture
{
public:
    RolloutFixture()
    {
        this->settings.bounds.rollout = process::rollout::RolloutBounds {0.1, 50, 5s};
    }

    void addServer(const std::string &id, const std::string &version, const RawServer &server)
    {
        this->store.put("servers", id, makeBackend(server, "svc", version));
    }

    /** @brief Sends requests one after the other. @returns the state that the order ends with; empty when it doesn't end in time. */
    std::string callUntilEnd()
    {
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(durationSeconds + 2);
        while (std::chrono::steady_clock::now() < until) {
            const auto answer = this->call("/check/x", "r-" + std::to_string(++this->requests));
            this->answered += answer.result_int() == 200 ? 1 : 0;
            if (const json status = this->store.statusOf("rollouts", "svc"); status.is_object() && status.at("target") == "v2") {
                return status.at("state").get<std::string>();
            }
            std::this_thread::sleep_for(2ms);
        }
        return "";
    }

    void order()
    {
        this->store.put("rollouts", "svc", {{"service", "svc"}, {"target", "v2"}, {"duration_s", durationSeconds}});
    }

    std::size_t requests = 0;
    std::size_t answered = 0;
};

}

// Guards against: a sound version that isn't completed, requests to it before the order, and requests to the old one after the end.
TEST_CASE("rollout: a daemon moves a service to a sound version and writes that it is completed")
{
    const RawServer oldServer(answerOk);
    const RawServer newServer(answerOk);
    RolloutFixture fixture;
    fixture.addServer("i-1", "v1", oldServer);
    fixture.start();
    CHECK(fixture.call("/check/x", "first").result_int() == 200);
    fixture.addServer("i-2", "v2", newServer);
    for (int count = 0; count < 20; ++count) {
        CHECK(fixture.call("/check/x", "before-" + std::to_string(count)).result_int() == 200);
    }
    CHECK(newServer.requests().empty());
    fixture.order();
    CHECK(fixture.callUntilEnd() == "completed");
    CHECK(fixture.answered == fixture.requests);
    const std::size_t oldRequests = oldServer.requests().size();
    CHECK(fixture.call("/check/x", "after").result_int() == 200);
    CHECK(oldServer.requests().size() == oldRequests);
}

// Guards against: a bad version that isn't rolled back, gets more than the bound, or gets requests after that.
TEST_CASE("rollout: a daemon rolls back a version whose answers fail")
{
    const RawServer oldServer(answerOk);
    const RawServer newServer([](Socket &socket, const Request &request) {
        sendBytes(socket, signedAnswer(request, "bad", "500 Internal Server Error"));
        return true;
    });
    RolloutFixture fixture;
    fixture.addServer("i-1", "v1", oldServer);
    fixture.start();
    fixture.order();
    fixture.addServer("i-2", "v2", newServer);
    CHECK(fixture.callUntilEnd() == "rolled_back");
    const std::size_t sent = newServer.requests().size();
    CHECK(static_cast<double>(sent) <= 0.1 * static_cast<double>(fixture.requests) + 50);
    for (int count = 0; count < 20; ++count) {
        CHECK(fixture.call("/check/x", "after-" + std::to_string(count)).result_int() == 200);
    }
    CHECK(newServer.requests().size() == sent);
}

// Guards against: calls to the store, in deployments without rollouts, for a collection that they don't have.
TEST_CASE("rollout: without bounds the collection of orders isn't asked for, and versions mix")
{
    const RawServer oldServer(answerOk);
    const RawServer newServer(answerOk);
    RolloutFixture fixture;
    fixture.settings.bounds.rollout.reset();
    fixture.addServer("i-1", "v1", oldServer);
    fixture.addServer("i-2", "v2", newServer);
    fixture.order();
    fixture.start();
    CHECK(eventually([&fixture, &newServer] {
        CHECK(fixture.call("/check/x", "r-" + std::to_string(++fixture.requests)).result_int() == 200);
        return !newServer.requests().empty();
    }));
    CHECK(fixture.store.statusOf("rollouts", "svc").is_null());
    CHECK(fixture.sendRawRequest(fixture.settings.metricsAddress, "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
              .body()
              .find("collection=\"rollouts\"")
          == std::string::npos);
}
