#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace review
{

using nlohmann::json;
using namespace std::chrono_literals;

namespace
{

/** Of the deployment's limits; the replica reads as much. */
constexpr std::uint32_t maxHeaderBytes = 32768;
constexpr std::uint64_t maxBodyBytes = 4194304;
constexpr std::size_t readBytes = 65536;

sockaddr_in endpointOf(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in endpoint {};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
    return endpoint;
}

bool sendAll(int descriptor, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

void resetConnection(int descriptor)
{
    const linger hard {1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::shutdown(descriptor, SHUT_RD);
}

std::string valueOf(const standin::Request &request, const char *name)
{
    const auto value = request[name];
    return {value.data(), value.size()};
}

/** The port of the metrics is fixed, so each daemon takes a loopback address of its own. */
std::string nextLoopbackAddress()
{
    static std::atomic<int> next {1};
    constexpr int range = 250;
    const int process = ::getpid();
    return "127." + std::to_string(1 + process / range % range) + "." + std::to_string(1 + process % range) + "." + std::to_string(next++);
}

}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

Record::Record()
    : start(Clock::now())
    , descriptor(
          ::open(std::getenv("RECORD") == nullptr ? "record.txt" : std::getenv("RECORD"), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

Record::~Record()
{
    ::close(this->descriptor);
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    std::ostringstream line;
    line << std::fixed << std::setprecision(3) << std::setw(8) << std::chrono::duration<double>(Clock::now() - this->start).count()
         << " s  " << text << "\n";
    const std::string bytes = line.str();
    std::cout << bytes << std::flush;
    if (::write(this->descriptor, bytes.data(), bytes.size()) < 0) {
        std::cerr << "record.txt can't be written\n";
    }
}

Replica::Replica(std::string instanceId, std::string serviceName, ReplicaBehaviour answerBehaviour)
    : instance(std::move(instanceId))
    , service(std::move(serviceName))
    , behaviour(std::move(answerBehaviour))
    , listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , born(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    sockaddr_in endpoint = endpointOf("127.0.0.1:0");
    socklen_t size = sizeof endpoint;
    if (::bind(this->listener, reinterpret_cast<const sockaddr *>(&endpoint), size) != 0 || ::listen(this->listener, 512) != 0
        || ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&endpoint), &size) != 0) {
        throw std::runtime_error("a replica can't listen");
    }
    this->port = ntohs(endpoint.sin_port);
    this->acceptor = std::thread([this] { this->accept(); });
}

Replica::~Replica()
{
    this->crash();
}

void Replica::crash()
{
    if (this->ended.exchange(true)) {
        return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    {
        const std::lock_guard lock(this->mutex);
        for (const int descriptor : this->descriptors) {
            resetConnection(descriptor);
        }
    }
    for (std::thread &worker : this->workers) {
        worker.join();
    }
}

std::vector<Arrival> Replica::arrivals() const
{
    const std::lock_guard lock(this->mutex);
    return this->arrived;
}

json Replica::entry(std::uint32_t slots, Milliseconds coldLeft) const
{
    return {{"service", this->service},
            {"address", "127.0.0.1:" + std::to_string(this->port)},
            {"zone", "akl-a"},
            {"version", "v1"},
            {"slots", slots},
            {"state", "ready"},
            {"cold_left_ms", coldLeft.count()},
            {"stage", "unified"},
            {"seq", 1},
            {"born", this->born}};
}

void Replica::accept()
{
    while (!this->ended) {
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(this->mutex);
        this->descriptors.push_back(descriptor);
        this->workers.emplace_back([this, descriptor] { this->serve(descriptor); });
    }
}

void Replica::serve(int descriptor)
{
    std::string buffer;
    bool goesOn = true;
    while (goesOn && !this->ended) {
        boost::beast::http::request_parser<boost::beast::http::string_body> parser;
        parser.header_limit(maxHeaderBytes);
        parser.body_limit(maxBodyBytes);
        parser.eager(true);
        std::array<char, readBytes> part {};
        while (!parser.is_done()) {
            boost::system::error_code error;
            if (!buffer.empty()) {
                buffer.erase(0, parser.put(boost::asio::buffer(buffer), error));
            }
            if (parser.is_done()) {
                break;
            }
            const ssize_t size = ::recv(descriptor, part.data(), part.size(), 0);
            if (size <= 0 || (error && error != boost::beast::http::error::need_more)) {
                goesOn = false;
                break;
            }
            buffer.append(part.data(), static_cast<std::size_t>(size));
        }
        goesOn = goesOn && this->answer(descriptor, parser.get());
    }
    const std::lock_guard lock(this->mutex);
    std::erase(this->descriptors, descriptor);
    ::close(descriptor);
}

bool Replica::pause(int descriptor, Milliseconds time) const
{
    pollfd watched {descriptor, POLLIN | POLLRDHUP, 0};
    // Nothing is pipelined to a replica, so that anything that becomes readable is the end of the connection.
    return ::poll(&watched, 1, static_cast<int>(time.count())) == 0 && !this->ended;
}

bool Replica::answer(int descriptor, const standin::Request &request)
{
    const std::string id = valueOf(request, "X-Eelgrassnotch-Attempt-Id");
    const std::string expected = valueOf(request, "X-Eelgrassnotch-Expect-Instance");
    if (!expected.empty() && expected != this->instance) {
        return sendAll(descriptor,
                       "HTTP/1.1 421 Misdirected Request\r\nX-Eelgrassnotch-Attempt-Id: " + id
                           + "\r\nX-Eelgrassnotch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    const std::string parts = "," + valueOf(request, "X-Eelgrassnotch-Prefix-Hash");
    const bool hasCrashingPart
        = !this->behaviour.crashesOnPart.empty() && parts.find("," + this->behaviour.crashesOnPart + ":") != std::string::npos;
    {
        const std::lock_guard lock(this->mutex);
        this->arrived.push_back({id, valueOf(request, "X-Eelgrassnotch-Tenant"), Clock::now(), hasCrashingPart});
    }
    const std::size_t running = ++this->inProgress;
    const auto leave = [this](bool result) {
        --this->inProgress;
        return result;
    };
    const std::string common = "X-Eelgrassnotch-Attempt-Id: " + id + "\r\nX-Eelgrassnotch-Response-Signature: s." + this->instance + "."
        + id + "\r\nX-Eelgrassnotch-Instance-Load: " + std::to_string(running) + ",0,128\r\n";
    if (!this->pause(descriptor, this->behaviour.untilFirst)) {
        return leave(false);
    }
    if (hasCrashingPart) {
        this->crashing = true;
        while (!this->ended) {
            std::this_thread::sleep_for(1ms);
        }
        return leave(false);
    }
    const bool isHead = request.method() == boost::beast::http::verb::head;
    if (this->behaviour.events == 0) {
        const std::string body = "answer to " + id + "\n";
        const std::string head = "HTTP/1.1 200 OK\r\n" + common + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        return leave(sendAll(descriptor, isHead ? head : head + body));
    }
    std::string bytes = "HTTP/1.1 200 OK\r\n" + common + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (isHead) {
        return leave(sendAll(descriptor, bytes));
    }
    for (int event = 1; event <= this->behaviour.events; ++event) {
        const std::string text = "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
        std::ostringstream size;
        size << std::hex << text.size();
        bytes += size.str() + "\r\n" + text + "\r\n";
        if (event == this->behaviour.events) {
            bytes += "0\r\n\r\n";
        }
        if (!sendAll(descriptor, bytes)) {
            return leave(false);
        }
        bytes.clear();
        if (event < this->behaviour.events && !this->pause(descriptor, this->behaviour.betweenEvents)) {
            return leave(false);
        }
    }
    return leave(true);
}

Daemon::Daemon(Place where, const std::string &storeAddress, bool isFirstStart)
    : place(std::move(where))
    , ip(nextLoopbackAddress())
    , callersPort(standin::findFreePort())
    , readyPort(standin::findFreePort())
{
    this->folder = (std::filesystem::temp_directory_path() / "eelgrassnotch-review-XXXXXX").string();
    if (::mkdtemp(this->folder.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    const json bounds = {{"seed_lag_s", 3},         {"reuse_after_s", 2},        {"contact_ms", 3000},    {"ack_ms", 4000},
                         {"catch_up_s", 4},         {"drain_ms", 2500},          {"grace_s", 8},          {"loss_slack_ms", 200},
                         {"config_apply_ms", 2500}, {"rollback_slack_ms", 250},  {"outer_ms", 5000},      {"strict_revoke", true},
                         {"revoke_ms", 5000},       {"retry_budget_ratio", 0.2}, {"budget_window_s", 10}, {"budget_slack", 52},
                         {"cold_overshoot", 1.5},   {"cold_slack", 5},           {"evacuate_ms", 5000},   {"recover_s", 12},
                         {"pass_ms", 200},          {"reuse_window_s", 4.9},     {"quota_window_s", 4}};
    const std::uint16_t firstPort = 7400;
    const json settings
        = {{"node_name", this->place.name},
           {"role", "daemon"},
           {"machine_class", "edge"},
           {"serves", {"edge"}},
           {"ip", this->ip},
           {"zone", this->place.dataCentre},
           {"region", "r-" + this->place.dataCentre},
           {"zones", {{"akl-a", "r-akl-a"}, {"wlg-a", "r-wlg-a"}, {"chc-a", "r-chc-a"}}},
           {"listen", {{"front", this->callersAddress()}, {"ready", this->ip + ":" + std::to_string(this->readyPort)}}},
           {"internal_ports", {firstPort, firstPort + 15}},
           {"bootstrap", isFirstStart},
           {"limits", {{"cpu_share", 0.25}, {"cores", 1}, {"memory_mb", machineMegabytes}, {"max_fds", 4100}, {"link_mbps", 1000.0}}},
           {"contracts", {"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"}},
           {"heartbeat_ms", 1200},
           {"bounds", bounds},
           {"platform", {{"address", storeAddress}, {"form", "objects"}, {"writes_per_s", 400}, {"reads_per_s", 2000}, {"history_s", 20}}}};
    std::ofstream(this->folder + "/settings.json") << settings.dump();
    this->start();
}

Daemon::~Daemon()
{
    if (this->process > 0) {
        this->signal(SIGKILL);
    }
    std::error_code ignored; // The folder is temporary.
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(this->folder, ignored);
    }
}

void Daemon::start()
{
    const char *program = std::getenv("EDGE_PROGRAM") == nullptr ? "target/bin/eelgrassnotch-edge" : std::getenv("EDGE_PROGRAM");
    const std::string log = this->folder + "/log";
    const std::string variable = "EELGRASSNOTCH_SETTINGS=" + this->folder + "/settings.json";
    this->process = ::fork();
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::close_range(3, ~0U, 0);
        std::array<char *, 2> arguments {const_cast<char *>(program), nullptr};
        std::array<char *, 2> environment {const_cast<char *>(variable.c_str()), nullptr};
        ::execve(program, arguments.data(), environment.data());
        ::_exit(EXIT_FAILURE);
    }
}

void Daemon::signal(int number)
{
    ::kill(this->process, number);
    if (number == SIGKILL || number == SIGTERM) {
        ::waitpid(this->process, nullptr, 0);
        this->process = -1;
    }
}

bool Daemon::isRunning()
{
    if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
        this->process = -1;
    }
    return this->process > 0;
}

unsigned Daemon::probe(Milliseconds timeout) const
{
    Caller caller(this->ip + ":" + std::to_string(this->readyPort));
    caller.send("GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return caller.receive(timeout).status;
}

bool Daemon::waitUntilReady(Milliseconds timeout) const
{
    const auto until = Clock::now() + timeout;
    while (Clock::now() < until) {
        if (this->probe(1s) == 200) {
            return true;
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

std::string Daemon::lastLog() const
{
    constexpr std::size_t lastBytes = 1500;
    std::ifstream file(this->folder + "/log");
    std::ostringstream text;
    text << file.rdbuf();
    const std::string all = text.str();
    return all.substr(all.size() - std::min(all.size(), lastBytes));
}

std::size_t Daemon::residentBytes() const
{
    std::ifstream statm("/proc/" + std::to_string(this->process) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

json makeConfiguration(int version, const std::vector<std::string> &keys)
{
    const auto route = [](const char *name, const char *prefix, const char *kind, int timeoutMs, int goalMs, const char *service) {
        return json {{"name", name},
                     {"host", streamHost},
                     {"path_prefix", prefix},
                     {"route_kind", kind},
                     {"timeout_ms", timeoutMs},
                     {"latency_goal_ms", goalMs},
                     {"priority", 1},
                     {"service", service},
                     {"max_attempts", 1},
                     {"public", false},
                     {"sticky", true},
                     {"resumable", false},
                     {"gap_target_ms", 300},
                     {"home_regions", json::array()}};
    };
    return {{"version", version},
            {"routes",
             {route("quote", "/quote/", "streaming", 4000, 500, "writer"), route("order", "/order/", "non_idempotent", 1000, 300, "ledger"),
              route("stock", "/stock/", "idempotent", 1000, 300, "ledger")}},
            {"services",
             {{{"name", "writer"},
               {"health_path", "/healthz"},
               {"max_conns", 610},
               {"cold_s", 3.0},
               {"cold_per_s", 22.0},
               {"engine", {{"slots", 128}, {"kv_capacity", 330327}, {"kv_token_bytes", 96256}}}},
              {{"name", "ledger"}, {"health_path", "/healthz"}, {"max_conns", 96}, {"cold_s", 0.0}, {"cold_per_s", 0.0}}}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", maxBodyBytes},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000},
              {"tokens_per_s", 410000}}},
            {"tenants", {{{"name", "hule930"}, {"api_keys", keys}, {"priority", 1}, {"home_regions", json::array()}}}}};
}

Caller::Caller(const std::string &address)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in endpoint = endpointOf(address);
    const int on = 1;
    ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0) {
        ::close(this->descriptor);
        this->descriptor = -1;
    }
}

Caller::~Caller()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
}

bool Caller::send(const std::string &bytes)
{
    return this->descriptor >= 0 && sendAll(this->descriptor, bytes);
}

Answer Caller::receive(Milliseconds timeout, bool hasBody)
{
    Answer answer;
    const auto begin = Clock::now();
    boost::beast::http::response_parser<boost::beast::http::string_body> parser;
    parser.header_limit(maxHeaderBytes);
    parser.eager(true);
    parser.skip(!hasBody);
    std::array<char, readBytes> part {};
    while (this->descriptor >= 0 && !parser.is_done()) {
        boost::system::error_code error;
        if (!this->buffer.empty()) {
            this->buffer.erase(0, parser.put(boost::asio::buffer(this->buffer), error));
        }
        if (parser.is_done() || (error && error != boost::beast::http::error::need_more)) {
            break;
        }
        const auto left = std::chrono::duration_cast<Milliseconds>(begin + timeout - Clock::now()).count();
        pollfd watched {this->descriptor, POLLIN, 0};
        if (left <= 0 || ::poll(&watched, 1, static_cast<int>(left)) <= 0) {
            break;
        }
        const ssize_t size = ::recv(this->descriptor, part.data(), part.size(), 0);
        if (size <= 0) {
            break;
        }
        this->buffer.append(part.data(), static_cast<std::size_t>(size));
    }
    if (parser.is_header_done()) {
        answer.status = parser.get().result_int();
        std::ostringstream head;
        head << parser.get().base();
        answer.head = head.str();
        answer.body = parser.get().body();
    }
    answer.isWhole = parser.is_done();
    answer.rest = this->buffer;
    answer.took = std::chrono::duration_cast<Milliseconds>(Clock::now() - begin);
    return answer;
}

std::string RequestText::text() const
{
    std::string text = this->method + " " + this->path + " HTTP/1.1\r\nHost: " + streamHost + "\r\nX-Eelgrassnotch-Attempt-Id: " + this->id
        + "\r\nX-Eelgrassnotch-Deadline-Ms: " + std::to_string(this->deadlineMs) + "\r\nX-Eelgrassnotch-Credential: " + this->key + "\r\n"
        + this->fields;
    if (this->method == "POST") {
        text += "Content-Length: " + std::to_string(this->body.size()) + "\r\n";
    }
    return text + "\r\n" + this->body;
}

std::string describe(const Answer &answer)
{
    return (answer.status == 0 ? std::string("no answer") : std::to_string(answer.status) + (answer.isWhole ? "" : ", not whole"))
        + " after " + std::to_string(answer.took.count()) + " ms";
}

}
