/** @file Connections of callers, on an event loop that a test turns by itself. */

#include "connection/http/limits.h"
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

    /** @param receiveBuffer Bytes that the kernel keeps for the caller; zero leaves the default. */
    Socket connect(int receiveBuffer = 0, Duration wait = oneTurn)
    {
        Socket caller(this->context, this->address.protocol());
        if (receiveBuffer > 0) {
            caller.set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer));
        }
        caller.connect(this->address);
        this->run(wait);
        return caller;
    }

    void send(Socket &caller, std::string_view bytes)
    {
        boost::asio::write(caller, boost::asio::buffer(bytes));
    }

    void answerAll(const std::string &body = "ran")
    {
        for (const auto &session : std::exchange(this->waiting, {})) {
            Answer answer(boost::beast::http::status::ok, 11);
            answer.body() = body;
            session->sendAnswer(std::move(answer));
        }
        this->run();
    }

    /** Returns what has arrived at a caller. @param error Receives the result of the read. */
    static std::string received(Socket &caller, boost::system::error_code *error = nullptr, std::size_t maxBytes = 4096)
    {
        std::string bytes(maxBytes, '\0');
        boost::system::error_code result;
        caller.non_blocking(true);
        bytes.resize(caller.read_some(boost::asio::buffer(bytes), result));
        if (error != nullptr) {
            *error = result;
        }
        return bytes;
    }

    /** Lets a caller carry one request, so that its connection has been used before. */
    void useOnce(Socket &caller, const std::string &request)
    {
        this->send(caller, request);
        this->run();
        this->answerAll();
        REQUIRE(received(caller).starts_with("HTTP/1.1 200"));
    }

    std::size_t connectionCount()
    {
        return this->listener.connectionCount();
    }

    std::size_t handedOn = 0;
    std::vector<unsigned> rejected;
    bool isClosing = false;

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
        hooks.isClosing = [this] { return this->isClosing; };
        return hooks;
    }

    boost::asio::io_context context;
    Endpoint address = parseEndpoint("127.0.0.1:" + std::to_string(standin::findFreePort()));
    std::vector<ServerSessionPtr> waiting;
    Listener listener {this->context, this->address, this->hooks(), 2000};
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
                    fixture.useOnce(caller, request);
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

// Guards against an order that is refused with 408 and runs when its end arrives after the refusal.
TEST_CASE("nothing of a request is handed on after its time limit, whenever its rest arrives")
{
    for (const std::string &request : {withLength, inChunks}) {
        for (const bool isKept : {false, true}) {
            for (const std::size_t split : {std::size_t(1), request.find("\r\n\r\n"), request.size() - 4, request.size() - 1}) {
                for (const Duration delay : {0ms, 20ms, 300ms}) {
                    SessionFixture fixture;
                    Socket caller = fixture.connect();
                    if (isKept) {
                        fixture.useOnce(caller, request);
                    }
                    const std::size_t before = fixture.handedOn;
                    fixture.send(caller, request.substr(0, split));
                    fixture.run(headerTimeout + 20ms);
                    REQUIRE(fixture.rejected == std::vector<unsigned> {408});
                    fixture.run(delay);
                    fixture.send(caller, request.substr(split) + request);
                    fixture.run();
                    CAPTURE(request);
                    CAPTURE(split);
                    CAPTURE(isKept);
                    CHECK(fixture.handedOn == before);
                    CHECK(SessionFixture::received(caller).starts_with("HTTP/1.1 408"));
                }
            }
        }
    }
}

TEST_CASE("a request whose last byte comes about the moment of its time limit is handed on or refused, not both")
{
    for (const std::string &request : {withLength, inChunks}) {
        for (int offset = -4; offset <= 4; ++offset) {
            SessionFixture fixture;
            Socket caller = fixture.connect();
            fixture.send(caller, request.substr(0, request.size() - 1));
            fixture.run(headerTimeout + std::chrono::milliseconds(offset));
            fixture.send(caller, request.substr(request.size() - 1));
            fixture.run(50ms);
            CAPTURE(offset);
            CHECK(fixture.handedOn + fixture.rejected.size() == 1);
        }
    }
}

TEST_CASE("nothing is handed on after a refusal of bytes that are no request, or of one beyond the limits")
{
    const std::string head = "POST /order/x HTTP/1.1\r\nHost: h.example\r\n";
    const std::vector<std::pair<unsigned, std::string>> refused {
        {400, "no request\r\n\r\n"},
        {400, head + "Transfer-Encoding: gzip\r\n\r\n"},
        {400, head + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n"},
        {400, head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
        {413, head + "Content-Length: 70000\r\n\r\nabc"},
        {413, head + "Transfer-Encoding: chunked\r\n\r\n11170\r\nabc"},
        {431, head + "X-Long: " + std::string(20000, 'x')},
    };
    for (const auto &form : refused) {
        const unsigned status = form.first;
        const std::string &bytes = form.second;
        for (const bool isKept : {false, true}) {
            for (const bool isTogether : {false, true}) {
                SessionFixture fixture;
                Socket caller = fixture.connect();
                if (isKept) {
                    fixture.useOnce(caller, withLength);
                }
                const std::size_t before = fixture.handedOn;
                fixture.send(caller, bytes + (isTogether ? withLength : ""));
                fixture.run();
                fixture.send(caller, std::string(70000, 'y') + "\r\n\r\n" + withLength);
                fixture.run(50ms);
                CAPTURE(bytes.substr(0, 120));
                CHECK(fixture.handedOn == before);
                CHECK(fixture.rejected == std::vector<unsigned> {status});
                CHECK(SessionFixture::received(caller).starts_with("HTTP/1.1 " + std::to_string(status)));
            }
        }
    }
}

TEST_CASE("bytes without end in a request are refused before they fill the memory")
{
    const std::string head = "POST /order/x HTTP/1.1\r\nHost: h.example\r\n";
    for (const std::string &start :
         {head + "Transfer-Encoding: chunked\r\n\r\n3;x=", head + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-More: ",
          head + "Transfer-Encoding: chunked\r\n\r\n0000", head + "X-More: ", std::string("POST /")}) {
        SessionFixture fixture;
        Socket caller = fixture.connect();
        fixture.send(caller, start);
        fixture.run();
        caller.non_blocking(true);
        const std::string more(16384, start.ends_with("0000") ? '0' : 'x');
        boost::system::error_code error;
        std::size_t sent = 0;
        while (fixture.rejected.empty() && sent < (4u << 20)) {
            sent += caller.write_some(boost::asio::buffer(more), error);
            fixture.run(1ms);
        }
        CAPTURE(start);
        CHECK(fixture.rejected.size() == 1);
        CHECK(sent < (1u << 20));
        CHECK(fixture.handedOn == 0);
    }
}

namespace
{

constexpr std::size_t largeAnswerBytes = 600'000;
constexpr int smallReceiveBuffer = 32'768;

/** Receives until the connection ends or the answer is complete. @returns the received bytes of the answer's body. */
std::size_t receiveSlowly(SessionFixture &fixture, Socket &caller, std::size_t bytesPerTurn, Duration turn)
{
    std::string received;
    boost::system::error_code error;
    while ((!error || error == boost::asio::error::would_block) && received.size() < largeAnswerBytes + 1000) {
        received += SessionFixture::received(caller, &error, bytesPerTurn);
        fixture.run(turn);
    }
    const std::size_t header = received.find("\r\n\r\n");
    return header == std::string::npos ? 0 : received.size() - header - 4;
}

}

// Guards against an answer that is cut when it is the connection's last one and takes its caller longer than a second.
TEST_CASE("a last answer arrives whole, however slowly its caller receives it")
{
    struct Receiver {
        std::size_t bytesPerTurn = 0;
        Duration turn {0};
    };
    for (const Receiver &receiver : {Receiver {30'000, 100ms}, Receiver {4'000, 20ms}, Receiver {200'000, 10ms}}) {
        SessionFixture fixture;
        fixture.isClosing = true;
        Socket caller = fixture.connect(smallReceiveBuffer);
        fixture.send(caller, withLength);
        fixture.run();
        fixture.answerAll(std::string(largeAnswerBytes, 'a'));
        CAPTURE(receiver.bytesPerTurn);
        CHECK(receiveSlowly(fixture, caller, receiver.bytesPerTurn, receiver.turn) == largeAnswerBytes);
        caller.close();
        fixture.run(50ms);
        CHECK(fixture.connectionCount() == 0);
    }
}

TEST_CASE("callers that stop receiving their last answer, and those that never close, are let go")
{
    constexpr std::size_t callerCount = 300;
    SessionFixture fixture;
    fixture.isClosing = true;
    std::vector<Socket> callers;
    callers.reserve(callerCount);
    for (std::size_t index = 0; index < callerCount; ++index) {
        callers.push_back(fixture.connect(smallReceiveBuffer, 0ms));
        fixture.send(callers.back(), withLength);
    }
    fixture.run(100ms);
    REQUIRE(fixture.handedOn == callerCount);
    fixture.answerAll(std::string(100'000, 'a'));
    for (std::size_t index = 0; index < callerCount; index += 2) {
        // Has read the whole answer, and doesn't close.
        for (int read = 0; read < 10; ++read) {
            SessionFixture::received(callers[index], nullptr, 100'000);
            fixture.run(1ms);
        }
    }
    fixture.run(unacknowledgedTimeout + 1500ms);
    CHECK(fixture.connectionCount() == 0);
}

// Guards against a reset that takes a refusal from a caller who is still sending.
TEST_CASE("a caller that is still sending its body receives the refusal")
{
    const std::string head = "POST /order/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 70000\r\n\r\n";
    SessionFixture fixture;
    Socket caller = fixture.connect();
    fixture.send(caller, head);
    fixture.run();
    boost::system::error_code error;
    for (int part = 0; part < 70; ++part) {
        boost::asio::write(caller, boost::asio::buffer(std::string(1000, 'x')), error);
        fixture.run(30ms);
    }
    CHECK_FALSE(error);
    CHECK(SessionFixture::received(caller, &error).starts_with("HTTP/1.1 413"));
    CHECK_FALSE(error);
    CHECK(SessionFixture::received(caller, &error).empty());
    CHECK(error == boost::asio::error::eof);
    fixture.run(lingerTimeout + 500ms);
    CHECK(fixture.connectionCount() == 0);
}

TEST_CASE("a caller that sends without end after its refusal is cut off")
{
    SessionFixture fixture;
    Socket caller = fixture.connect();
    fixture.send(caller, "no request\r\n\r\n");
    fixture.run();
    caller.non_blocking(true);
    const std::string more(16384, 'x');
    boost::system::error_code error;
    std::size_t sent = 0;
    while ((!error || error == boost::asio::error::would_block) && sent < (8u << 20)) {
        sent += caller.write_some(boost::asio::buffer(more), error);
        fixture.run(1ms);
    }
    CHECK(sent < (8u << 20));
    CHECK(fixture.connectionCount() == 0);
}
