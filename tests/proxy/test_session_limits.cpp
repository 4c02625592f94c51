/** @file What a connection may hold, on an event loop that a test turns by itself. */

#include "connection/http/limits.h"
#include "connection/http/listener.h"
#include "standin/raw_server.h"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace eelgrassnotch;
using namespace eelgrassnotch::connection::http;
using namespace std::chrono_literals;
using process::budget::MemoryBudget;
using process::budget::MemoryLimits;

namespace
{

constexpr auto headerTimeout = 300ms;
constexpr std::size_t bodyBytes = 1u << 20;
constexpr std::size_t mostConnections = 8;

/** A listener with a budget that holds two bodies and their copies, but gives one holder one of them at a time. */
class LimitsFixture
{
public:
    void run(Duration duration = 20ms)
    {
        this->context.restart();
        this->context.run_for(duration);
    }

    /** Turns the event loop until it has had nothing to do for a while, so that what was sent is read. */
    void settle()
    {
        this->context.restart();
        while (this->context.run_one_for(20ms) > 0) {
        }
    }

    Socket connect()
    {
        Socket caller(this->context);
        caller.connect(this->address);
        caller.non_blocking(true);
        this->run();
        return caller;
    }

    /** Sends while the event loop turns, until the connection takes no more. @returns what was not sent. */
    std::string_view send(Socket &caller, std::string_view bytes)
    {
        boost::system::error_code error;
        for (int blocked = 0; !bytes.empty() && blocked < 20; ++blocked) {
            const std::size_t sent = caller.write_some(boost::asio::buffer(bytes.data(), bytes.size()), error);
            blocked = sent > 0 ? 0 : blocked;
            bytes.remove_prefix(sent);
            this->run(1ms);
        }
        this->settle();
        return bytes;
    }

    std::string receive(Socket &caller, Duration wait = 20ms)
    {
        this->run(wait);
        boost::system::error_code ignored; // Nothing may have come.
        std::string received(4096, '\0');
        received.resize(caller.read_some(boost::asio::buffer(received), ignored));
        return received;
    }

    void answerAll()
    {
        for (const auto &session : std::exchange(this->waiting, {})) {
            session->sendAnswer(Answer(boost::beast::http::status::ok, 11));
        }
        this->run(100ms);
    }

    std::vector<ServerSessionPtr> waiting;
    std::size_t handedOn = 0;
    std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>(MemoryLimits {8u << 20, 6u << 20, 3u << 20});

private:
    SessionHooks hooks()
    {
        SessionHooks hooks;
        hooks.limits = [] { return SessionLimits {16384, bodyBytes, headerTimeout, 10s}; };
        hooks.onRequest = [this](const ServerSessionPtr &session, const Request &) {
            ++this->handedOn;
            this->waiting.push_back(session);
        };
        hooks.onRejected = [](unsigned, const std::string &) {};
        hooks.isClosing = [] { return false; };
        hooks.memory = this->memory;
        return hooks;
    }

    boost::asio::io_context context;
    Endpoint address = parseEndpoint("127.0.0.1:" + std::to_string(standin::findFreePort()));
    Listener listener {this->context, this->address, this->hooks(), mostConnections};
};

const std::string head = "POST /order/x HTTP/1.1\r\nHost: h.example\r\n";
const std::string largeRequest = head + "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');

}

// Guards against bodies that are read without limit, and against a request that is refused as not run and runs later.
TEST_CASE("a large request waits while another one holds the memory, and is then read, or refused with a time to come back")
{
    for (const bool isAnswered : {true, false}) {
        CAPTURE(isAnswered);
        LimitsFixture fixture;
        Socket first = fixture.connect();
        Socket second = fixture.connect();
        fixture.send(first, largeRequest);
        REQUIRE(fixture.handedOn == 1);
        const std::string_view rest = fixture.send(second, largeRequest);
        CHECK(fixture.handedOn == 1);
        if (isAnswered) {
            fixture.answerAll();
            CHECK(fixture.send(second, rest).empty());
            fixture.answerAll();
        }
        const std::string answer = fixture.receive(second, headerTimeout + 100ms);
        CHECK(answer.starts_with(isAnswered ? "HTTP/1.1 200" : "HTTP/1.1 503"));
        CHECK((isAnswered || answer.find("Retry-After: 0.5") != std::string::npos));
        CHECK(fixture.handedOn == (isAnswered ? 2 : 1));
        CHECK(fixture.memory->stats().heldBytes <= fixture.memory->limits().capacity);
    }
}

// Guards against bytes that stay counted, which would refuse all requests in the end.
TEST_CASE("small requests are served beside a large one, and nothing stays counted")
{
    LimitsFixture fixture;
    {
        Socket first = fixture.connect();
        fixture.send(first, largeRequest);
        Socket second = fixture.connect();
        fixture.send(second, head + "Content-Length: 3\r\n\r\nabc");
        fixture.run();
        CHECK(fixture.handedOn == 2);
        fixture.answerAll();
        CHECK(fixture.memory->stats().heldBytes == 2 * connectionBytes);
    }
    fixture.run(100ms);
    CHECK(fixture.memory->stats().heldBytes == 0);
}

// Guards against heads, trailers and chunk extensions that take many times the memory of their bytes, or have no end.
TEST_CASE("many fields, many trailers and much framing are refused, and what clients usually send is not")
{
    std::string fields;
    for (std::size_t count = 0; count <= maxRequestFields; ++count) {
        fields += "a:\r\n";
    }
    std::string extensions;
    while (extensions.size() < 2 * maxFramingBytes) {
        extensions += "1;" + std::string(1000, 'e') + "\r\nx\r\n";
    }
    std::string oneByteChunks;
    for (int count = 0; count < 50'000; ++count) {
        oneByteChunks += "1\r\nx\r\n";
    }
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string trailers = fields + "\r\n";
    const std::pair<std::string, std::string> requests[] = {{head, trailers}, {chunked + "0\r\n", trailers}, {chunked, extensions}};
    for (const auto &[begin, rest] : requests) {
        std::string request = begin;
        request += rest;
        LimitsFixture fixture;
        Socket caller = fixture.connect();
        fixture.send(caller, request);
        CHECK(fixture.receive(caller).starts_with("HTTP/1.1 431"));
        CHECK(fixture.handedOn == 0);
    }
    LimitsFixture fixture;
    Socket caller = fixture.connect();
    const std::string ordinary = chunked + oneByteChunks + "0\r\n\r\n";
    CHECK(fixture.send(caller, ordinary).empty());
    fixture.run();
    CHECK(fixture.handedOn == 1);
}

// Guards against a crowd that keeps all connections of the readiness address, and so takes the VM out of service.
TEST_CASE("a newcomer is served while idle connections take all places, and one that is served keeps its place")
{
    LimitsFixture fixture;
    std::vector<Socket> callers;
    for (std::size_t count = 0; count < mostConnections; ++count) {
        callers.push_back(fixture.connect());
    }
    fixture.send(callers[0], head + "Content-Length: 0\r\n\r\n");
    fixture.run();
    Socket newcomer = fixture.connect();
    fixture.send(newcomer, head + "Content-Length: 0\r\n\r\n");
    fixture.run();
    CHECK(fixture.handedOn == 2);
    fixture.answerAll();
    CHECK(fixture.receive(callers[0]).starts_with("HTTP/1.1 200"));
    CHECK(fixture.receive(newcomer).starts_with("HTTP/1.1 200"));
}
