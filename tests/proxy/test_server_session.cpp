/** @file Connections of callers, on an event loop that a test turns by itself. */

#include "connection/http/listener.h"
#include "standin/raw_server.h"

#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

using namespace eelgrassnotch;
using namespace eelgrassnotch::connection::http;
using namespace std::chrono_literals;

namespace
{

constexpr auto headerTimeout = 100ms;
/** Long enough for all handlers that are ready. */
constexpr auto oneTurn = 20ms;

/** A listener that keeps requests until the test answers them. */
class SessionFixture
{
public:
    /** Turns the event loop for this long. */
    void run(Duration duration = oneTurn)
    {
        this->context.restart();
        this->context.run_for(duration);
    }

    /** Lets this time pass without a turn of the event loop, as in a process that is paused. */
    static void standStill(Duration duration)
    {
        std::this_thread::sleep_for(duration);
    }

    Socket connect()
    {
        Socket caller(this->context);
        caller.connect(this->address);
        this->run();
        return caller;
    }

    void send(Socket &caller, std::string_view bytes)
    {
        boost::asio::write(caller, boost::asio::buffer(bytes));
    }

    void answerAll()
    {
        for (const auto &session : std::exchange(this->waiting, {})) {
            Answer answer(boost::beast::http::status::ok, 11);
            answer.body() = "ran";
            session->sendAnswer(std::move(answer));
        }
        this->run();
    }

    /** Returns what has arrived at a caller. */
    static std::string received(Socket &caller)
    {
        std::string bytes(4096, '\0');
        boost::system::error_code error;
        caller.non_blocking(true);
        bytes.resize(caller.read_some(boost::asio::buffer(bytes), error));
        return bytes;
    }

    std::size_t handedOn = 0;
    std::vector<unsigned> rejected;

private:
    SessionHooks hooks()
    {
        SessionHooks hooks;
        hooks.limits = [] { return SessionLimits {16384, 65536, headerTimeout, 10s}; };
        hooks.onRequest = [this](const ServerSessionPtr &session, const Request &) {
            ++this->handedOn;
            this->waiting.push_back(session);
        };
        hooks.onRejected = [this](unsigned status, const std::string &) { this->rejected.push_back(status); };
        hooks.isClosing = [] { return false; };
        return hooks;
    }

    boost::asio::io_context context;
    Endpoint address = parseEndpoint("127.0.0.1:" + std::to_string(standin::findFreePort()));
    std::vector<ServerSessionPtr> waiting;
    Listener listener {this->context, this->address, this->hooks(), 100};
};

const std::string withLength = "POST /order/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 6\r\n\r\nabcdef";
const std::string inChunks
    = "POST /order/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n";

}

// Guards against an order that is answered 408 and runs: its rest and the expired timer are found in the same turn.
TEST_CASE("a request whose rest arrives while the process stands still beyond the time limit is handed on or refused, not both")
{
    for (const std::string &request : {withLength, inChunks}) {
        for (const bool isKept : {false, true}) {
            for (const std::size_t split : {std::size_t(1), request.find("\r\n\r\n"), request.size() - 4, request.size() - 1}) {
                SessionFixture fixture;
                Socket caller = fixture.connect();
                if (isKept) {
                    fixture.send(caller, request);
                    fixture.run();
                    fixture.answerAll();
                    REQUIRE(SessionFixture::received(caller).starts_with("HTTP/1.1 200"));
                }
                const std::size_t before = fixture.handedOn;
                fixture.send(caller, request.substr(0, split));
                fixture.run();
                fixture.send(caller, request.substr(split));
                SessionFixture::standStill(headerTimeout * 2);
                fixture.run();
                CAPTURE(request);
                CAPTURE(split);
                CAPTURE(isKept);
                CHECK(fixture.handedOn - before + fixture.rejected.size() == 1);
                fixture.answerAll();
                const std::string answers = SessionFixture::received(caller);
                CHECK(answers.starts_with(fixture.rejected.empty() ? "HTTP/1.1 200" : "HTTP/1.1 408"));
                CHECK(answers.rfind("HTTP/1.1") == 0);
            }
        }
    }
}
