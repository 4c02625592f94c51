#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <thread>
#include <utility>

namespace harness
{

using nlohmann::json;

namespace
{

/** The command of the deploy file, which the build of that file makes. */
constexpr const char *daemonProgram = "target/bin/eelgrassnotch-edge";
constexpr std::uint16_t internalPorts = 15;
constexpr std::uint64_t maxBodyBytes = 4194304;

sockaddr_in endpoint(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** @returns a port of loopback that is free for TCP and UDP on all addresses, and that no other call got. */
std::uint16_t findFreePort()
{
    // Below the ports that the kernel gives to outgoing connections; runs side by side begin far from each other.
    constexpr std::uint32_t firstPort = 12000;
    constexpr std::uint32_t portCount = 18000;
    constexpr std::uint32_t portsPerRun = 600;
    static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * portsPerRun;
    while (true) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % portCount);
        bool isFree = true;
        for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
            const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
            const sockaddr_in address = endpoint("127.0.0.1", port);
            isFree = isFree && ::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
            ::close(descriptor);
        }
        if (isFree) {
            return port;
        }
    }
}

bool isReadable(int descriptor, std::chrono::milliseconds limit)
{
    pollfd wanted {descriptor, POLLIN, 0};
    return ::poll(&wanted, 1, static_cast<int>(std::max<std::int64_t>(limit.count(), 0))) > 0;
}

std::chrono::milliseconds left(Clock::time_point until)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
}

json makeSettings(const std::string &name, const std::string &ip, const std::string &zone, std::uint16_t front, std::uint16_t ready,
                  std::uint16_t internal, const std::string &store, bool isFirstStart)
{
    const json bounds = {{"seed_lag_s", 3},         {"reuse_after_s", 2},        {"contact_ms", 3000},    {"ack_ms", 4000},
                         {"catch_up_s", 4},         {"drain_ms", 2500},          {"grace_s", 8},          {"loss_slack_ms", 200},
                         {"config_apply_ms", 2500}, {"rollback_slack_ms", 250},  {"outer_ms", 5000},      {"strict_revoke", true},
                         {"revoke_ms", 5000},       {"retry_budget_ratio", 0.2}, {"budget_window_s", 10}, {"budget_slack", 52},
                         {"cold_overshoot", 1.5},   {"cold_slack", 5},           {"evacuate_ms", 5000},   {"recover_s", 12},
                         {"pass_ms", 200},          {"reuse_window_s", 4.9},     {"quota_window_s", 4}};
    return {{"node_name", name},
            {"role", "daemon"},
            {"machine_class", "edge"},
            {"serves", {"edge"}},
            {"ip", ip},
            {"zone", zone},
            {"region", zone == "akl-a" ? "auckland" : (zone == "wlg-a" ? "wellington" : "christchurch")},
            {"zones", {{"akl-a", "auckland"}, {"wlg-a", "wellington"}, {"chc-a", "christchurch"}}},
            {"listen", {{"front", ip + ":" + std::to_string(front)}, {"ready", ip + ":" + std::to_string(ready)}}},
            {"internal_ports", {internal, internal + internalPorts}},
            {"seeds", json::array()},
            {"bootstrap", isFirstStart},
            {"counts_as_loss", false},
            {"limits", {{"cpu_share", 0.25}, {"cores", 1}, {"memory_mb", 110}, {"max_fds", 4100}, {"link_mbps", 1000.0}, {"disk_mb", 0}}},
            {"data_dir", nullptr},
            {"discovery", "platform"},
            {"entry", "vip"},
            {"heartbeat_ms", 1200},
            {"contracts", {"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"}},
            {"fault_tolerance", {{"machines", 2}, {"zones", 1}, {"regions", 1}}},
            {"bounds", bounds},
            {"platform",
             {{"address", store},
              {"form", "objects"},
              {"writes_per_s", 400},
              {"reads_per_s", 2000},
              {"history_s", 20},
              {"value_bytes", 1048576},
              {"ttl_min_ms", 1000}}}};
}

}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

Record::Record(const std::string &path)
    : file(path)
{
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(this->mutex);
    const std::chrono::duration<double> since = Clock::now() - this->begun;
    this->file << std::fixed << std::setprecision(3) << since.count() << " s  " << line << std::endl;
}

Machine::Machine(int place, std::string zoneName, const Store &store, std::string runFolder)
    : folder(std::move(runFolder))
    , zone(std::move(zoneName))
    , storeAddress(store.address())
    , front(findFreePort())
    , ready(findFreePort())
    , internal(findFreePort())
{
    // The port of the metrics is fixed, so each run takes loopback addresses of its own.
    constexpr int addresses = 250;
    this->address = "127." + std::to_string(1 + ::getpid() / addresses % addresses) + "." + std::to_string(1 + ::getpid() % addresses) + "."
        + std::to_string(place);
}

Machine::~Machine()
{
    this->end();
}

void Machine::start()
{
    this->end();
    const std::string name = "edge-" + this->zone + "-" + this->address.substr(this->address.rfind('.') + 1);
    const std::string path = this->folder + "/" + name + ".json";
    std::ofstream(path) << makeSettings(name, this->address, this->zone, this->front, this->ready, this->internal, this->storeAddress,
                                        std::exchange(this->isFirstStart, false))
                               .dump();
    const std::string log = this->folder + "/" + name + ".log";
    const std::string variable = "EELGRASSNOTCH_SETTINGS=" + path;
    this->process = ::fork();
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::close_range(3, ~0U, 0);
        std::array<char *, 2> arguments {const_cast<char *>(daemonProgram), nullptr};
        std::array<char *, 2> environment {const_cast<char *>(variable.c_str()), nullptr};
        ::execve(daemonProgram, arguments.data(), environment.data());
        ::_exit(couldNotRun);
    }
}

void Machine::signal(int number) const
{
    if (this->process > 0) {
        ::kill(this->process, number);
    }
}

void Machine::end()
{
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        this->process = -1;
    }
}

bool Machine::hasEnded()
{
    if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
        this->process = -1;
    }
    return this->process < 0;
}

std::size_t Machine::memoryBytes() const
{
    std::ifstream file("/proc/" + std::to_string(this->process) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

bool Machine::isReady() const
{
    Connection connection(this->address, this->ready);
    return connection.isOpen() && connection.send("GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n") && connection.readAnswer(1s) == 200;
}

bool Machine::waitUntilReady(std::chrono::milliseconds limit) const
{
    const auto until = Clock::now() + limit;
    while (Clock::now() < until) {
        if (this->isReady()) {
            return true;
        }
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

Connection::Connection(const std::string &ip, std::uint16_t port, int receiveBuffer)
    : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receiveBuffer > 0) {
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    const sockaddr_in address = endpoint(ip, port);
    if (::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(this->descriptor);
        this->descriptor = -1;
    }
}

Connection::~Connection()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
}

bool Connection::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t written = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(written);
    }
    return true;
}

std::optional<int> Connection::readAnswer(std::chrono::milliseconds limit)
{
    const auto until = Clock::now() + limit;
    while (true) {
        const std::size_t end = this->received.find("\r\n\r\n");
        if (end != std::string::npos) {
            const std::size_t field = this->received.find("Content-Length: ");
            const std::size_t length = field < end ? std::stoull(this->received.substr(field + 16)) : 0;
            const std::size_t whole = end + 4 + length;
            if (this->received.size() >= whole) {
                const int status = std::stoi(this->received.substr(9, 3));
                this->received.erase(0, whole);
                return status;
            }
        }
        std::array<char, 4096> bytes {};
        if (!isReadable(this->descriptor, left(until))) {
            return std::nullopt;
        }
        const ssize_t read = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
        if (read <= 0) {
            return std::nullopt;
        }
        this->received.append(bytes.data(), static_cast<std::size_t>(read));
    }
}

std::optional<std::string> Connection::readSome(std::size_t most, std::chrono::milliseconds limit) const
{
    std::string bytes(most, ' ');
    if (!isReadable(this->descriptor, limit)) {
        return std::nullopt;
    }
    const ssize_t read = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (read < 0) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(read));
    return bytes;
}

json makeConfiguration(int version, const RouteSettings &route)
{
    const json entry = {{"name", "orders"},
                        {"host", "orders.example"},
                        {"path_prefix", "/orders/"},
                        {"route_kind", route.kind},
                        {"timeout_ms", route.timeoutMs},
                        {"latency_goal_ms", route.goalMs},
                        {"priority", 1},
                        {"service", "yard-ledger"},
                        {"max_attempts", 1},
                        {"public", route.isPublic},
                        {"sticky", false},
                        {"resumable", false},
                        {"home_regions", json::array()}};
    const json service = {{"name", "yard-ledger"}, {"health_path", "/healthz"}, {"max_conns", 96}, {"protocol", "h1"}, {"tls", false},
                          {"cold_s", 0.0},         {"cold_per_s", 0.0}};
    return {{"version", version},
            {"routes", {entry}},
            {"services", {service}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", maxBodyBytes},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000},
              {"tokens_per_s", 410000}}},
            {"tenants", {{{"name", "hule930"}, {"api_keys", route.keys}, {"priority", 1}, {"home_regions", json::array()}}}}};
}

json makeReplicaEntry(const std::string &address, const std::string &zone, const std::string &state)
{
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    return {{"service", "yard-ledger"}, {"address", address}, {"zone", zone}, {"version", "v1"}, {"slots", 6},
            {"state", state},           {"cold_left_ms", 0},  {"seq", 1},     {"born", born}};
}

ClientRequest makeRequest(const std::string &attemptId, int deadlineMs, std::size_t bodyBytes, const std::string &key)
{
    std::ostringstream header;
    header << "POST /orders/2f HTTP/1.1\r\nHost: orders.example\r\nX-Eelgrassnotch-Attempt-Id: " << attemptId
           << "\r\nX-Eelgrassnotch-Deadline-Ms: " << deadlineMs << "\r\nContent-Length: " << bodyBytes << "\r\n";
    if (!key.empty()) {
        header << "X-Eelgrassnotch-Credential: " << key << "\r\n";
    }
    header << "\r\n";
    return {header.str(), std::string(bodyBytes, 'b')};
}

std::string attemptIdOf(const Request &request)
{
    const auto value = request["X-Eelgrassnotch-Attempt-Id"];
    return {value.data(), value.size()};
}

std::string ranAnswer(const Request &request, std::size_t bodyBytes)
{
    std::string body = "booked " + attemptIdOf(request) + "\n";
    body.resize(bodyBytes, '.');
    return "HTTP/1.1 200 OK\r\nX-Eelgrassnotch-Attempt-Id: " + attemptIdOf(request)
        + "\r\nX-Eelgrassnotch-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

std::string makeFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "eelgrassnotch-review-XXXXXX").string();
    return ::mkdtemp(path.data()) == nullptr ? std::string() : path;
}

}
