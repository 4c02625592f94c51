#pragma once

/** @file Test fixture: one daemon on loopback, with scripted backend servers and a stand-in for the platform's store. */

#include "platform/dialect.h"
#include "process/edge_daemon.h"
#include "standin/object_store.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin
{

using namespace eelgrassnotch;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using nlohmann::json;

/** @brief Polls a condition. @returns false when it does not hold within 20 s, which no healthy machine needs. */
template <class Condition>
bool eventually(Condition &&condition)
{
    constexpr auto timeout = 20s;
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < until) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(10ms);
    }
    return false;
}

inline json makeRoute(const std::string &prefix, const std::string &kind, bool isResumable = false, bool isPublic = false)
{
    return {{"name", "r-" + prefix},
            {"host", "h.example"},
            {"path_prefix", "/" + prefix + "/"},
            {"route_kind", kind},
            {"timeout_ms", 8000},
            {"latency_goal_ms", 4000},
            {"service", "svc"},
            {"max_attempts", 2},
            {"public", isPublic},
            {"resumable", isResumable},
            {"home_regions", json::array()}};
}

/** @returns the entry of a backend server in data centre "a". @param startedAt Unix time in milliseconds; not told where there is none. */
inline json makeBackend(const RawServer &server, const std::string &service = "svc", const std::string &version = "v1", unsigned slots = 8,
                        std::optional<std::int64_t> startedAt = 1000)
{
    json entry = {{"service", service}, {"address", server.address()}, {"zone", "a"}, {"version", version}, {"slots", slots},
                  {"state", "ready"},   {"cold_left_ms", 0},           {"seq", 1}};
    if (startedAt) {
        entry["born"] = *startedAt;
    }
    return entry;
}

inline json makeConfiguration(int version)
{
    return {{"version", version},
            {"routes",
             {makeRoute("order", "non_idempotent"), makeRoute("check", "idempotent"), makeRoute("stream", "streaming"),
              makeRoute("resume", "streaming", true), makeRoute("open", "idempotent", false, true)}},
            {"services", {{{"name", "svc"}, {"max_conns", 100}, {"cold_s", 0.0}, {"cold_per_s", 0.0}}}},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 65536}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
            {"tenants", {{{"name", "w1"}, {"api_keys", {"key-1"}}}}}};
}

inline std::string idOf(const Request &request)
{
    const auto id = request["X-Eelgrassnotch-Attempt-Id"];
    return {id.data(), id.size()};
}

inline std::string signedAnswer(const Request &request, const std::string &body, const std::string &status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nX-Eelgrassnotch-Attempt-Id: " + idOf(request)
        + "\r\nX-Eelgrassnotch-Response-Signature: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string streamHeader(const Request &request)
{
    return "HTTP/1.1 200 OK\r\nX-Eelgrassnotch-Attempt-Id: " + idOf(request)
        + "\r\nX-Eelgrassnotch-Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(const std::string &text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

inline bool answerOk(Socket &socket, const Request &request)
{
    sendBytes(socket, signedAnswer(request, "fine"));
    return true;
}

/** @brief One daemon on loopback and its store; the destructor stops the daemon. */
class DaemonFixture
{
public:
    explicit DaemonFixture(Duration keyRevocation = 60s)
    {
        this->store.put("config", "main", makeConfiguration(3));
        this->settings.name = "d-1";
        this->settings.ip = "127.0.0.1";
        this->settings.dataCentre = "a";
        this->settings.regions = {{"a", "ra"}, {"b", "rb"}};
        this->settings.callersAddress = "127.0.0.1:" + std::to_string(findFreePort());
        this->settings.readyAddress = "127.0.0.1:" + std::to_string(findFreePort());
        this->settings.metricsAddress = "127.0.0.1:" + std::to_string(findFreePort());
        this->settings.loadPort = findFreePort();
        this->settings.storeAddress = this->store.address();
        // One request earns one retry: a daemon that has just started holds none.
        this->settings.bounds = {keyRevocation, 8s, 1.0, 50, 1.5, 5};
    }

    ~DaemonFixture()
    {
        if (this->thread.joinable()) {
            this->requestStop();
            this->thread.join();
        }
    }

    void addBackend(const std::string &id, const RawServer &server, const std::string &state = "ready", const std::string &dataCentre = "a",
                    std::int64_t startedAt = 1000)
    {
        json entry = makeBackend(server, "svc", "v1", 8, startedAt);
        entry["zone"] = dataCentre;
        entry["state"] = state;
        this->store.put("servers", id, entry);
    }

    /** @brief Starts the daemon and waits until its readiness probe succeeds. */
    void start()
    {
        this->startWithoutWaiting();
        REQUIRE(eventually([this] { return this->probeStatus() == 200; }));
    }

    /** @brief Starts the daemon without waiting for its first configuration. */
    void startWithoutWaiting()
    {
        this->daemon = std::make_unique<process::EdgeDaemon>(this->settings, std::make_shared<const platform::Dialect>(),
                                                             [this] { return this->settings; });
        this->thread = std::thread([this] { this->daemon->run(); });
    }

    /** @brief Starts the daemon with backend servers i-1, i-2 and so on. */
    void startWith(const std::vector<const RawServer *> &servers)
    {
        for (std::size_t index = 0; index < servers.size(); ++index) {
            this->addBackend("i-" + std::to_string(index + 1), *servers[index]);
        }
        this->start();
    }

    /** @brief Begins a planned stop; the daemon runs until its connections are closed or its grace period ends. */
    void requestStop()
    {
        this->daemon->requestStop();
    }

    unsigned probeStatus() const
    {
        return sendRawRequest(this->settings.readyAddress, "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").result_int();
    }

    static std::string requestText(const std::string &path, const std::string &id, const std::string &extra = "",
                                   const std::string &key = "key-1")
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Eelgrassnotch-Attempt-Id: " + id
            + "\r\nX-Eelgrassnotch-Deadline-Ms: 8000\r\nX-Eelgrassnotch-Credential: " + key + "\r\n" + extra
            + "Content-Length: 3\r\n\r\nabc";
    }

    using Answer = boost::beast::http::response<boost::beast::http::string_body>;

    /** @returns the answer; its status is 0 (`unknown`) when the exchange failed. @param result Receives the error code. */
    static Answer sendRawRequest(const std::string &address, const std::string &text, boost::system::error_code *result = nullptr)
    {
        boost::asio::io_context context;
        tcp::socket socket(context);
        boost::system::error_code error;
        boost::beast::http::response_parser<boost::beast::http::string_body> parser;
        socket.connect(connection::http::parseEndpoint(address), error);
        if (!error) {
            boost::asio::write(socket, boost::asio::buffer(text), error);
            boost::beast::flat_buffer buffer;
            boost::beast::http::read(socket, buffer, parser, error);
        }
        if (result != nullptr) {
            *result = error;
        }
        Answer answer;
        if (error) {
            answer.result(boost::beast::http::status::unknown);
            return answer;
        }
        return parser.release();
    }

    /** @brief Sends one request as a caller. */
    Answer call(const std::string &path, const std::string &id, const std::string &extra = "", const std::string &key = "key-1") const
    {
        return sendRawRequest(this->settings.callersAddress, requestText(path, id, extra, key));
    }

    ObjectStore store;
    process::EdgeSettings settings;

private:
    std::unique_ptr<process::EdgeDaemon> daemon;
    std::thread thread;
};

}
