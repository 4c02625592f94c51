/**
 * @file Clients that misbehave, against a real daemon process with the lowered limits of these tests.
 * @remarks Each case guards against a daemon that is killed for its memory, runs out of descriptors, or serves nobody else meanwhile. Times
 * and shares of served requests are not checked. The bounds are the limits in the settings.
 */

#include "hostile/crowd.h"
#include "hostile/edge_process.h"
#include "proxy/daemon_fixture.h"

#include <doctest/doctest.h>

using namespace hostile;
using namespace std::chrono_literals;

namespace
{

constexpr ProcessLimits limits {64, 1200};
constexpr std::size_t megabyte = std::size_t {1} << 20;
/** max_body_bytes of these tests; the crowd's bodies together are beyond the memory limit. */
constexpr std::size_t maxBodyBytes = megabyte;
constexpr std::size_t bodyCrowd = 100;
/** Heads of max_header_bytes with fields of the shortest form. */
constexpr std::size_t fieldCrowd = 250;
/** Their answers together are beyond the memory limit. */
constexpr std::size_t readerCrowd = 500;
/** More connections than the descriptors of these tests allow. */
constexpr std::size_t connectionCrowd = 900;
/** Below the size from which on the limit on all buffered answers applies. */
constexpr std::size_t largeAnswerBytes = 250'000;

/** Where the clients of a case send their requests. */
struct Target {
    std::string name;
    std::string path;
    bool isReadiness = false;
};

const std::vector<Target> targets {
    {"routed path", "/check/large", false}, {"unknown path", "/nowhere/", false}, {"readiness path", "/-/readyz", true}};

std::string headOf(const Target &target, const std::string &fields)
{
    return "POST " + target.path
        + " HTTP/1.1\r\nHost: h.example\r\nX-Eelgrassnotch-Deadline-Ms: 8000\r\nX-Eelgrassnotch-Credential: key-1\r\n" + fields + "\r\n";
}

std::string chunkOf(std::size_t bytes)
{
    return standin::chunk(std::string(bytes, 'x'));
}

/** A daemon with a store and a backend server whose answers to ".../large" are large. */
class HostileFixture
{
public:
    HostileFixture()
    {
        auto configuration = standin::makeConfiguration(3);
        configuration["limits"]["max_body_bytes"] = maxBodyBytes;
        this->store.put("config", "main", configuration);
        this->store.put("servers", "i-1", standin::makeBackend(this->backend));
        this->edge = std::make_unique<EdgeProcess>(limits, this->store.address());
        REQUIRE(this->edge->waitUntilReady());
    }

    /** Lets a crowd come, and checks the daemon while it stays. */
    void check(const Target &target, std::size_t count, const Behaviour &behaviour)
    {
        CAPTURE(target.name);
        {
            const Crowd crowd(target.isReadiness ? this->edge->readyAddress() : this->edge->callersAddress(), count, behaviour);
            crowd.waitUntilSent();
            CHECK(this->answersOrdinary(target));
            CHECK(standin::eventually([&] { return this->serves(); }));
        }
        MESSAGE(target.name << ": " << this->edge->peakResidentBytes() / megabyte << " MB, " << this->edge->peakDescriptors()
                            << " descriptors at most");
        CHECK(this->edge->isAlive());
        CHECK(this->edge->peakResidentBytes() <= limits.memoryMegabytes * megabyte);
        CHECK(this->edge->peakDescriptors() <= limits.descriptors);
    }

private:
    static bool answer(standin::Socket &socket, const standin::Request &request)
    {
        const bool isLarge = request.target().ends_with("large");
        standin::sendBytes(socket, standin::signedAnswer(request, std::string(isLarge ? largeAnswerBytes : 4, 'a')));
        return true;
    }

    /** @returns whether any of some requests in a row is answered where the crowd is, with any status. */
    bool answersOrdinary(const Target &target) const
    {
        constexpr int tries = 20;
        constexpr auto pause = 50ms;
        for (int count = 0; count < tries; ++count) {
            const unsigned status = target.isReadiness ? this->probe() : this->request();
            if (status != 0) {
                return true;
            }
            std::this_thread::sleep_for(pause);
        }
        return false;
    }

    bool serves() const
    {
        return this->request() == 200;
    }

    unsigned request() const
    {
        return requestOnce(this->edge->callersAddress(), standin::DaemonFixture::requestText("/check/a", "q-1"));
    }

    unsigned probe() const
    {
        return requestOnce(this->edge->readyAddress(), "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    }

    standin::ObjectStore store;
    standin::RawServer backend {answer};
    std::unique_ptr<EdgeProcess> edge;
};

/** Runs a case against a new process for each target. */
void checkAll(std::size_t count, const std::function<Behaviour(const Target &)> &behaviour)
{
    for (const Target &target : targets) {
        HostileFixture fixture;
        fixture.check(target, count, behaviour(target));
    }
}

Behaviour justShort(const Target &target, std::size_t piece)
{
    const std::size_t bodyBytes = target.isReadiness ? 65536 : maxBodyBytes;
    const std::string head = headOf(target, "Content-Length: " + std::to_string(bodyBytes) + "\r\n");
    return {.head = head, .repeated = std::string(65536, 'x'), .bytes = head.size() + bodyBytes - 1, .piece = piece};
}

}

TEST_CASE("bodies of legal size that stop just short of their end, in one piece")
{
    checkAll(bodyCrowd, [](const Target &target) { return justShort(target, maxBodyBytes); });
}

TEST_CASE("bodies of legal size that stop just short of their end, in small pieces")
{
    checkAll(bodyCrowd, [](const Target &target) { return justShort(target, 1460); });
}

TEST_CASE("bodies of legal size in chunks without the last one")
{
    checkAll(bodyCrowd, [](const Target &target) {
        constexpr std::size_t chunkBytes = 4096;
        const std::size_t chunks = (target.isReadiness ? 65536 : maxBodyBytes) / chunkBytes;
        const std::string head = headOf(target, "Transfer-Encoding: chunked\r\n");
        const std::string chunk = chunkOf(chunkBytes);
        return Behaviour {.head = head, .repeated = chunk, .bytes = head.size() + chunk.size() * chunks};
    });
}

TEST_CASE("bodies far over the limit, of a stated length")
{
    checkAll(bodyCrowd, [](const Target &target) {
        const std::string head = headOf(target, "Content-Length: 1000000000\r\n");
        return Behaviour {.head = head, .repeated = std::string(65536, 'x'), .bytes = 8 * maxBodyBytes};
    });
}

TEST_CASE("bodies far over the limit, in chunks")
{
    checkAll(bodyCrowd, [](const Target &target) {
        const std::string head = headOf(target, "Transfer-Encoding: chunked\r\n");
        return Behaviour {.head = head, .repeated = chunkOf(4096), .bytes = 8 * maxBodyBytes};
    });
}

TEST_CASE("heads of legal size with very many short fields")
{
    checkAll(fieldCrowd, [](const Target &target) {
        std::string fields = "Content-Length: 3\r\n";
        while (fields.size() < 16000) {
            fields += "a:\r\n";
        }
        const std::string head = headOf(target, fields);
        return Behaviour {.head = head, .repeated = "x", .bytes = head.size() + 2};
    });
}

TEST_CASE("many pipelined requests whose answers are not read")
{
    checkAll(readerCrowd, [](const Target &target) {
        const std::string request = headOf(target, "X-Eelgrassnotch-Attempt-Id: p\r\nContent-Length: 3\r\n") + "abc";
        return Behaviour {.head = request, .repeated = request, .bytes = request.size() * 1000};
    });
}

TEST_CASE("more slow senders than there are descriptors")
{
    checkAll(connectionCrowd, [](const Target &target) {
        const std::string head = headOf(target, "Content-Length: 1000\r\n");
        return Behaviour {.head = head, .repeated = "x", .bytes = head.size() + 999, .piece = 1, .pause = 100ms};
    });
}

TEST_CASE("readers that take a few bytes now and then")
{
    checkAll(readerCrowd, [](const Target &target) {
        const std::string request = headOf(target, "X-Eelgrassnotch-Attempt-Id: p\r\nContent-Length: 3\r\n") + "abc";
        return Behaviour {.head = request, .repeated = request, .bytes = request.size(), .pause = 100ms, .readBytes = 64};
    });
}

TEST_CASE("more clients that stop halfway through a head than there are descriptors")
{
    checkAll(connectionCrowd, [](const Target &target) {
        const std::string head = headOf(target, "");
        return Behaviour {.head = head, .repeated = "x", .bytes = head.size() / 2};
    });
}

TEST_CASE("more clients that connect and send nothing than there are descriptors")
{
    checkAll(connectionCrowd, [](const Target &) { return Behaviour {.head = "", .repeated = "x"}; });
}
