#include "hostile/edge_process.h"

#include "connection/http/types.h"
#include "standin/raw_server.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace hostile
{

using nlohmann::json;
using namespace std::chrono_literals;

namespace
{

constexpr const char *builtProgram = EDGE_PROGRAM;
/** Between two samples of memory and descriptors: a body of some megabytes takes longer to arrive. */
constexpr auto samplePeriod = 2ms;
constexpr auto readyTimeout = 20s;
constexpr auto readyPause = 50ms;
constexpr int answerTimeoutSeconds = 5;

/** The port of the metrics is fixed, so each daemon of each test program takes a loopback address of its own. */
std::string ownAddress(std::size_t number)
{
    constexpr int addresses = 250;
    return "127." + std::to_string(1 + ::getpid() / addresses % addresses) + "." + std::to_string(1 + ::getpid() % addresses) + "."
        + std::to_string(number);
}

/** EDGE_PROGRAM in the environment names another build, for example an earlier version to compare with. */
const char *programPath()
{
    const char *path = std::getenv("EDGE_PROGRAM");
    return path == nullptr ? builtProgram : path;
}

/** @returns the descriptor of the program, opened once, so that all processes of a run are the same build while another one is linked. */
int programDescriptor()
{
    static const int descriptor = ::open(programPath(), O_RDONLY | O_CLOEXEC);
    return descriptor;
}

std::string makeFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "eelgrassnotch-hostile-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    return path;
}

}

ProcessPlace placeInFleet(std::size_t index, std::uint16_t internalPort)
{
    ProcessPlace place;
    place.name = "edge-" + std::to_string(index + 1);
    place.ip = ownAddress(index + 1);
    place.internalPorts = {internalPort, static_cast<std::uint16_t>(internalPort + 1)};
    place.isFirstStart = false;
    return place;
}

EdgeProcess::EdgeProcess(const ProcessLimits &limits, const std::string &storeAddress, ProcessPlace processPlace)
    : place(std::move(processPlace))
    , callersPort(standin::findFreePort())
    , readyPort(standin::findFreePort())
    , folder(makeFolder())
{
    if (this->place.ip.empty()) {
        this->place.ip = ownAddress(1);
    }
    if (this->place.internalPorts.empty()) {
        this->place.internalPorts = {standin::findFreePort()};
    }
    std::ofstream(this->folder + "/settings.json") << this->makeSettings(limits, storeAddress).dump();
    this->start();
}

EdgeProcess::~EdgeProcess()
{
    this->stopping = true;
    if (this->sampler.joinable()) {
        this->sampler.join();
    }
    this->kill();
    std::error_code ignored; // The folder is temporary.
    std::filesystem::remove_all(this->folder, ignored);
}

void EdgeProcess::start()
{
    const std::string log = this->folder + "/log";
    const int programFile = programDescriptor();
    const std::string variable = "EELGRASSNOTCH_SETTINGS=" + this->folder + "/settings.json";
    this->process = ::fork();
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        // What other threads of the test have opened stays with the test.
        ::close_range(3, ~0U, CLOSE_RANGE_CLOEXEC);
        std::array<char *, 2> arguments {const_cast<char *>(programPath()), nullptr};
        std::array<char *, 2> environment {const_cast<char *>(variable.c_str()), nullptr};
        ::fexecve(programFile, arguments.data(), environment.data());
        ::_exit(EXIT_FAILURE);
    }
}

void EdgeProcess::kill()
{
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        this->process = -1;
    }
}

void EdgeProcess::restart()
{
    this->kill();
    this->start();
}

void EdgeProcess::sendSignal(int signal) const
{
    if (this->process > 0) {
        ::kill(this->process, signal);
    }
}

json EdgeProcess::makeSettings(const ProcessLimits &limits, const std::string &storeAddress) const
{
    const json bounds
        = {{"grace_s", 8},   {"revoke_ms", this->place.revokeMs}, {"retry_budget_ratio", 0.2}, {"budget_slack", 5}, {"cold_overshoot", 1.5},
           {"cold_slack", 5}};
    return {{"node_name", this->place.name},
            {"ip", this->place.ip},
            {"zone", "a"},
            {"zones", {{"a", "ra"}}},
            {"listen", {{"front", this->callersAddress()}, {"ready", this->readyAddress()}}},
            {"internal_ports", this->place.internalPorts},
            {"bootstrap", this->place.isFirstStart},
            {"limits", {{"cpu_share", 1.0}, {"cores", 1}, {"memory_mb", limits.memoryMegabytes}, {"max_fds", limits.descriptors}}},
            {"bounds", bounds},
            {"platform", {{"address", storeAddress}}}};
}

bool EdgeProcess::isAlive()
{
    if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
        this->process = -1;
    }
    return this->process > 0;
}

std::size_t EdgeProcess::logBytes() const
{
    return std::filesystem::file_size(this->folder + "/log");
}

std::size_t EdgeProcess::residentBytes() const
{
    std::ifstream statm("/proc/" + std::to_string(this->process) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t EdgeProcess::openDescriptors() const
{
    std::error_code error; // The process may have ended.
    std::size_t count = 0;
    for (std::filesystem::directory_iterator entry("/proc/" + std::to_string(this->process) + "/fd", error), end; !error && entry != end;
         entry.increment(error)) {
        ++count;
    }
    return count;
}

void EdgeProcess::sample()
{
    while (!this->stopping) {
        this->peakBytes = std::max<std::size_t>(this->peakBytes, this->residentBytes());
        this->peakOpen = std::max<std::size_t>(this->peakOpen, this->openDescriptors());
        std::this_thread::sleep_for(samplePeriod);
    }
}

bool EdgeProcess::waitUntilReady()
{
    const auto until = std::chrono::steady_clock::now() + readyTimeout;
    while (std::chrono::steady_clock::now() < until) {
        if (requestOnce(this->readyAddress(), "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") == 200) {
            // Before it runs the daemon's program, the new process has the memory of this one.
            this->sampler = std::thread([this] { this->sample(); });
            return true;
        }
        std::this_thread::sleep_for(readyPause);
    }
    return false;
}

unsigned requestOnce(const std::string &address, const std::string &bytes)
{
    const auto endpoint = eelgrassnotch::connection::http::parseEndpoint(address);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout {answerTimeoutSeconds, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    unsigned status = 0;
    std::string answer;
    if (::connect(descriptor, endpoint.data(), static_cast<socklen_t>(endpoint.size())) == 0
        && ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())) {
        std::array<char, 4096> part {};
        for (ssize_t size = 0;
             answer.find("\r\n\r\n") == std::string::npos && (size = ::recv(descriptor, part.data(), part.size(), 0)) > 0;) {
            answer.append(part.data(), static_cast<std::size_t>(size));
        }
    }
    ::close(descriptor);
    constexpr std::size_t statusAt = 9;
    if (answer.starts_with("HTTP/1.1 ") && answer.find("\r\n\r\n") != std::string::npos) {
        status = static_cast<unsigned>(std::strtoul(answer.c_str() + statusAt, nullptr, 10));
    }
    return status;
}

}
