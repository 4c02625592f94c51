/** @file Backend servers and the platform of the older daemon, whose answers break off or are none. */

#include "process/platform_http.h"
#include "request/backend_client.h"
#include "standin/raw_server.h"

#include <doctest/doctest.h>

#include <future>
#include <string>
#include <vector>

using namespace eelgrassnotch;
using namespace standin;

namespace
{

/** What a call brought to its caller. */
struct Delivery {
    request::AttemptOutcome outcome;
    int status = 0;
    std::string body;
    std::string events;
};

Delivery callOnce(request::BackendClient &client, const RawServer &server, const std::string &body, bool isIdempotent, bool isStreamed)
{
    const std::string address = server.address();
    version::BackendServer backend;
    backend.address = "127.0.0.1";
    backend.port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    request::BackendCall call;
    call.requestId = "test-1";
    call.method = "POST";
    call.path = "/orders";
    call.body.assign(body.begin(), body.end());
    call.idempotent = isIdempotent;
    call.streamed = isStreamed;
    Delivery delivery;
    std::promise<request::AttemptOutcome> outcome;
    request::AnswerSink sink;
    sink.onAnswer = [&delivery](int status, const std::string &, const std::vector<unsigned char> &answer) {
        delivery.status = status;
        delivery.body.assign(answer.begin(), answer.end());
    };
    sink.onEvent = [&delivery](const std::string &text) {
        delivery.events += text;
        return true;
    };
    sink.onEnd = [&outcome](const request::AttemptOutcome &ended) { outcome.set_value(ended); };
    client.start(backend, call, sink);
    delivery.outcome = outcome.get_future().get();
    return delivery;
}

const std::string ownField = "X-Request-Id: test-1\r\n";

}

TEST_CASE("an answer of a backend server that no HTTP answer may look like reaches no caller of the older daemon")
{
    const std::vector<std::string> answers = {
        "HTTP/1.1 000 X\r\n" + ownField + "Content-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 099 X\r\n" + ownField + "Content-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 101 Switching Protocols\r\n" + ownField + "Content-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 600 X\r\n" + ownField + "Content-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 999 X\r\n" + ownField + "Content-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n" + ownField + "X Note: a\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n" + ownField + "X-Note : a\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n X-Note: a\r\n" + ownField + "Content-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n" + ownField + "X\x01Note: a\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n" + ownField + "Content Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n" + ownField + "Content-Length : 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n" + ownField + "X-Note\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\n" + ownField + "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\nX Sum: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\n" + ownField + "Transfer-Encoding: gzip, chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n" + ownField + "Transfer-Encoding: gzip\r\nContent-Length: 6\r\n\r\nbroken",
    };
    for (const std::string &answer : answers) {
        for (const bool isIdempotent : {false, true}) {
            for (const bool isStreamed : {false, true}) {
                CAPTURE(answer);
                CAPTURE(isIdempotent);
                CAPTURE(isStreamed);
                RawServer server([&answer](Socket &socket, const Request &) {
                    sendBytes(socket, answer);
                    return false;
                });
                request::BackendClient client;
                const Delivery delivery = callOnce(client, server, "{}", isIdempotent, isStreamed);
                CHECK(delivery.outcome.result == request::AttemptResult::InvalidAnswer);
                CHECK(delivery.outcome.verdict == Verdict::MayHaveRun);
                CHECK(delivery.status == 0);
                CHECK(delivery.body.empty());
                CHECK(delivery.events.empty());
            }
        }
    }
}

TEST_CASE("an answer of a backend server that breaks off reaches no caller of the older daemon")
{
    for (const std::string framing : {"Content-Length: 60\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n6\r\n", "Content-Le"}) {
        for (const bool isIdempotent : {false, true}) {
            CAPTURE(framing);
            CAPTURE(isIdempotent);
            RawServer server([&framing](Socket &socket, const Request &) {
                sendBytes(socket, std::string("HTTP/1.1 200 OK\r\n").append(ownField).append(framing).append("broken"));
                return false;
            });
            request::BackendClient client;
            const Delivery delivery = callOnce(client, server, "{}", isIdempotent, false);
            CHECK(delivery.outcome.result == request::AttemptResult::ConnectionLost);
            CHECK(delivery.outcome.verdict == Verdict::MayHaveRun);
            CHECK(delivery.status == 0);
        }
    }
}

TEST_CASE("an answer without a length that is reset during its upload reaches no caller of the older daemon")
{
    constexpr std::size_t uploadBytes = 16u << 20;
    for (const bool isIdempotent : {false, true}) {
        for (const std::string part : {"", "part"}) {
            CAPTURE(isIdempotent);
            CAPTURE(part);
            RawServer server(
                [&part](Socket &socket, const Request &) {
                    sendBytes(socket, std::string("HTTP/1.1 200 OK\r\n").append(ownField).append("\r\n").append(part));
                    sendReset(socket);
                    return false;
                },
                Reading::Head);
            request::BackendClient client;
            const Delivery delivery = callOnce(client, server, std::string(uploadBytes, 'x'), isIdempotent, false);
            CHECK(delivery.outcome.result == request::AttemptResult::ConnectionLost);
            CHECK(delivery.status == 0);
        }
    }
}

TEST_CASE("a broken answer of the platform is no answer, and the next call is answered")
{
    const std::vector<std::string> answers = {
        "HTTP/1.1 000 X\r\nETag: \"7\"\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\nE Tag: 1\r\nETag: \"7\"\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\nETag : \"7\"\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nX\x01Note: a\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nX-Note: a\r\n b\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 60\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\nX Sum: 1\r\n\r\n",
    };
    for (const std::string &answer : answers) {
        CAPTURE(answer);
        RawServer server([&answer](Socket &socket, const Request &request) {
            const bool isBroken = request.target() == "/objects/broken";
            sendBytes(socket, isBroken ? answer : "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 4\r\n\r\nfine");
            return !isBroken;
        });
        const std::string address = server.address();
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        process::PlatformHttp store({"127.0.0.1", port}, [](const std::function<void()> &task) { task(); });
        const auto read = [&store](const std::string &key) {
            std::promise<process::StoreAnswer> promise;
            store.read(key, [&promise](const process::StoreAnswer &read) { promise.set_value(read); });
            return promise.get_future().get();
        };
        CHECK(read("broken").status == process::StoreStatus::Unknown);
        CHECK(read("sound") == process::StoreAnswer {process::StoreStatus::Ok, 7, "fine"});
    }
}
