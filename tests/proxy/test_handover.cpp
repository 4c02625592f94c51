/** @file Requests that a busy daemon hands over to a neighbour: bounds without a network, and links over loopback. */

#include "connection/http/listener.h"
#include "process/clock.h"
#include "process/handover/receiver.h"
#include "process/handover/sender.h"
#include "proxy/daemon_fixture.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <optional>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process;
using namespace std::chrono_literals;
namespace http = eelgrassnotch::connection::http;

namespace
{

constexpr std::uint64_t configurationVersion = 7;

http::Answer plainAnswer(unsigned status, const std::string &text)
{
    http::Answer answer(static_cast<boost::beast::http::status>(status), 11);
    answer.body() = text;
    return answer;
}

/** A busy daemon that hands all requests over, and a neighbour whose answers the test scripts; both run on one thread. */
class Pair
{
public:
    using Script = std::function<void(const http::AnswerWriterPtr &)>;

    explicit Pair(Script neighbourScript, std::uint64_t neighbourVersion = configurationVersion)
        : script(std::move(neighbourScript))
        , receiver(std::make_unique<handover::Receiver>(
              this->context, this->neighbourAddress,
              handover::ReceiverHooks {[this](const http::AnswerWriterPtr &answer, const http::Request &request, Time) {
                                           this->received.push_back(std::string(request.target()) + " " + request.body());
                                           this->answers.push_back(answer);
                                           this->script(answer);
                                       },
                                       [] { return true; }, [neighbourVersion] { return neighbourVersion; }}))
        , sender(this->context, {[this](http::AnswerWriter &session, const std::string &, handover::HandoverFailure failure) {
                     this->failures.push_back(failure);
                     session.sendAnswer(plainAnswer(failure == handover::HandoverFailure::Declined ? 503 : 502, "failed"));
                 }})
        , listener(this->context, this->callersAddress, this->hooks(), 16)
        , tick(this->context.get_executor())
    {
        this->sender.setNeighbours({this->neighbourAddress});
        this->onTick();
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~Pair()
    {
        this->context.stop();
        this->thread.join();
    }

    /** @returns the answer to one request; its status is 0 when the connection was reset. */
    standin::DaemonFixture::Answer call()
    {
        return standin::DaemonFixture::sendRawRequest(this->callersText, standin::DaemonFixture::requestText("/order/x", "q1"));
    }
    const http::Endpoint &callers() const
    {
        return this->callersAddress;
    }
    /** @brief Ends the neighbour's side of the links. */
    void loseNeighbour()
    {
        boost::asio::post(this->context, [this] { this->receiver.reset(); });
    }

    std::vector<std::string> received;
    std::vector<http::AnswerWriterPtr> answers;
    std::vector<handover::HandoverFailure> failures;

private:
    static constexpr Duration timeLimit = 5s;

    http::SessionHooks hooks()
    {
        http::SessionHooks hooks;
        hooks.limits = [] { return http::SessionLimits {16384, 65536, 3s, 15s}; };
        hooks.onRequest = [this](const http::ServerSessionPtr &session, http::Request request) {
            this->handOverSoon(session, std::make_shared<http::Request>(std::move(request)));
        };
        hooks.onRejected = [](unsigned, const std::string &) {};
        hooks.isClosing = [] { return false; };
        return hooks;
    }
    /** The first try opens the link, and the neighbour tells its room some time later. */
    void handOverSoon(const http::ServerSessionPtr &session, const std::shared_ptr<http::Request> &request)
    {
        if (!this->sender.handOver(session, *request, {"q1", 0ms, timeLimit, configurationVersion})) {
            auto timer = std::make_shared<connection::OneShotTimer>(this->context.get_executor());
            timer->start(10ms, [this, session, request, timer] { this->handOverSoon(session, request); });
        }
    }
    void onTick()
    {
        if (this->receiver) {
            this->receiver->tick(0ms);
        }
        this->sender.tick(0ms, 0.0, readClock());
        this->tick.start(20ms, [this] { this->onTick(); });
    }

    std::string callersText = "127.0.0.1:" + std::to_string(standin::findFreePort());
    http::Endpoint callersAddress = http::parseEndpoint(callersText);
    http::Endpoint neighbourAddress = http::parseEndpoint("127.0.0.1:" + std::to_string(standin::findFreePort()));
    boost::asio::io_context context;
    Script script;
    std::unique_ptr<handover::Receiver> receiver;
    handover::Sender sender;
    http::Listener listener;
    connection::OneShotTimer tick;
    std::thread thread;
};

}

TEST_CASE("a neighbour whose timers are late takes fewer requests, and none when it isn't ready")
{
    handover::ServingRoom room;
    CHECK(room.total() == 0);
    for (int tick = 0; tick < 100; ++tick) {
        room.update(0ms, true);
    }
    const std::uint32_t most = room.total();
    CHECK(most > 0);
    CHECK(room.perLink(4) == most / 4);
    room.update(40ms, true);
    CHECK(room.total() == most / 2);
    room.update(0ms, false);
    CHECK(room.total() == 0);
}

TEST_CASE("requests spread over the neighbours by the room that they have left")
{
    std::vector<handover::NeighbourRoom> neighbours {{10, 0}, {30, 0}, {0, 0}};
    for (int request = 0; request < 40; ++request) {
        const auto chosen = handover::chooseNeighbour(neighbours);
        REQUIRE(chosen);
        ++neighbours[*chosen].inProgress;
    }
    CHECK(neighbours[0].inProgress == 10);
    CHECK(neighbours[1].inProgress == 30);
    CHECK(!handover::chooseNeighbour(neighbours));
}

TEST_CASE("a daemon that is late although it serves hardly any request hands fewer over")
{
    handover::RelayLimit limit;
    for (int tick = 0; tick < 20; ++tick) {
        limit.update(100ms, 0.5);
    }
    CHECK(limit.fraction() == 1.0);
    for (int tick = 0; tick < 5; ++tick) {
        limit.update(100ms, 0.05);
    }
    CHECK(limit.fraction() < 0.4);
    int allowed = 0;
    for (int request = 0; request < 100; ++request) {
        allowed += limit.allowNext() ? 1 : 0;
    }
    CHECK(allowed < 45);
    CHECK(allowed > 25);
}

TEST_CASE("a request that is handed over reaches the neighbour unchanged, and its answer the caller")
{
    Pair pair([](const http::AnswerWriterPtr &answer) { answer->sendAnswer(plainAnswer(200, "from the neighbour")); });
    const auto answer = pair.call();
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == "from the neighbour");
    REQUIRE(pair.received.size() == 1);
    CHECK(pair.received[0] == "/order/x abc");
    CHECK(pair.failures.empty());
}

TEST_CASE("a stream that a neighbour sends in parts arrives whole and in order")
{
    Pair pair([](const http::AnswerWriterPtr &answer) {
        answer->startStream(plainAnswer(200, ""));
        for (const char *part : {"one ", "two ", "three"}) {
            answer->sendPart(part);
        }
        answer->finishStream();
    });
    CHECK(pair.call().body() == "one two three");
}

TEST_CASE("a request on a lost link is answered 502, since it may have run, and isn't sent again")
{
    std::atomic<bool> isReceived = false;
    Pair pair([&isReceived](const http::AnswerWriterPtr &) { isReceived = true; });
    auto answer = std::async(std::launch::async, [&pair] { return pair.call(); });
    CHECK(standin::eventually([&isReceived] { return isReceived.load(); }));
    pair.loseNeighbour();
    CHECK(answer.get().result_int() == 502);
    CHECK(pair.received.size() == 1);
    CHECK(pair.failures == std::vector {handover::HandoverFailure::Lost});
}

TEST_CASE("an answer that has begun is reset when the link is lost, so that it doesn't look complete")
{
    std::atomic<bool> isReceived = false;
    Pair pair([&isReceived](const http::AnswerWriterPtr &answer) {
        answer->startStream(plainAnswer(200, ""));
        answer->sendPart("one ");
        isReceived = true;
    });
    auto answer = std::async(std::launch::async, [&pair] { return pair.call(); });
    CHECK(standin::eventually([&isReceived] { return isReceived.load(); }));
    std::this_thread::sleep_for(50ms);
    pair.loseNeighbour();
    CHECK(answer.get().result_int() == 0);
}

TEST_CASE("an answer whose backend server breaks it off at the neighbour is reset at the caller, and the next request is served")
{
    std::atomic<int> requests = 0;
    Pair pair([&requests](const http::AnswerWriterPtr &answer) {
        if (++requests == 2) {
            answer->sendAnswer(plainAnswer(200, "fine"));
            return;
        }
        answer->startStream(plainAnswer(200, ""));
        answer->sendPart("one ");
        answer->abort();
    });
    CHECK(pair.call().result_int() == 0);
    CHECK(pair.call().body() == "fine");
    CHECK(pair.call().result_int() == 0);
    CHECK(requests == 3);
}

TEST_CASE("a neighbour with an older configuration declines, and nothing of the request is served")
{
    Pair pair([](const http::AnswerWriterPtr &answer) { answer->sendAnswer(plainAnswer(200, "")); }, configurationVersion - 1);
    CHECK(pair.call().result_int() == 503);
    CHECK(pair.received.empty());
    CHECK(pair.failures == std::vector {handover::HandoverFailure::Declined});
}

TEST_CASE("a caller that leaves is told to the neighbour, so that the request doesn't run on")
{
    std::atomic<bool> isReceived = false;
    std::atomic<bool> hasLeft = false;
    Pair pair([&](const http::AnswerWriterPtr &answer) {
        answer->watchCaller([&hasLeft] { hasLeft = true; });
        isReceived = true;
    });
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect(pair.callers());
        const std::string text = standin::DaemonFixture::requestText("/order/x", "q1");
        boost::asio::write(socket, boost::asio::buffer(text));
        CHECK(standin::eventually([&isReceived] { return isReceived.load(); }));
    }
    CHECK(standin::eventually([&hasLeft] { return hasLeft.load(); }));
}
