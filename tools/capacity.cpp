/** @file Measures how a daemon's control cost grows with the fleet: slopes, residuals, and one run at the target's size. */

#include "emulator/fleet.h"

#include <malloc.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <cmath>
#include <iomanip>
#include <iostream>

namespace
{

using namespace eelgrassnotch;
using emulator::Fleet;

constexpr Duration warmUp = std::chrono::seconds(6);
/** Mean tokens of a request at the target: 1.2 million tokens by 5,400 requests a second. */
constexpr std::uint32_t meanCost = 222;
/** With the baseline's 16 slots a backend server, the fleet is nine tenths busy at the target's rate. */
constexpr Duration tokenTime = std::chrono::milliseconds(7);

/** Size of one emulated fleet. */
struct Size {
    int dataCentres = 1;
    int daemonsEach = 8;
    int services = 7;
    int backendsEach = 12; ///< Of each service in each data centre.
    int workspaces = 64;
    int backlogged = 7;
    double rateEach = 15.0; ///< Requests per second and daemon.
    int seconds = 5;
};

/** What a daemon spends, at the mean and at the busiest one. */
struct Cost {
    double core = 0; ///< Part of a core.
    double maxCore = 0;
    double bytes = 0; ///< Frame bytes sent per second.
    double maxBytes = 0;
    double answered = 0; ///< Part of the requests.
};

/** Fixed limits spare the minutes that the adaptive ones take to grow. */
Policy fixedLimits()
{
    Policy policy;
    policy.adaptiveLimit = false;
    return policy;
}

std::string number(const std::string &prefix, int index)
{
    return prefix + "-" + std::to_string(index);
}

void build(Fleet &fleet, const Size &size)
{
    constexpr int regions = 3;
    for (int dataCentre = 0; dataCentre < size.dataCentres; ++dataCentre) {
        std::vector<std::string> daemons;
        daemons.reserve(static_cast<std::size_t>(size.daemonsEach));
        for (int daemon = 0; daemon < size.daemonsEach; ++daemon) {
            daemons.push_back(number(number("daemon", dataCentre), daemon));
        }
        fleet.addDataCentre(number("dc", dataCentre), number("region", dataCentre % regions), daemons);
    }
    for (int workspace = 0; workspace < size.workspaces; ++workspace) {
        fleet.addWorkspace(number("workspace", workspace), 1.0);
    }
    emulator::BackendTruth truth;
    truth.capacity = 64;
    truth.coldCapacity = 64;
    truth.warmUp = Duration {0};
    truth.tokenTime = tokenTime;
    for (int service = 0; service < size.services; ++service) {
        fleet.addService(number("model", service), true, {});
        for (int dataCentre = 0; dataCentre < size.dataCentres; ++dataCentre) {
            for (int backend = 0; backend < size.backendsEach; ++backend) {
                const std::string name = number(number(number("backend", service), dataCentre), backend);
                fleet.addBackend(number("model", service), name, number("dc", dataCentre), truth);
            }
        }
    }
}

/** The backlogged workspaces send in bursts of one model each, the others evenly. */
void load(Fleet &fleet, const Size &size)
{
    const double total = size.rateEach * size.daemonsEach * size.dataCentres;
    for (int workspace = 0; workspace < size.workspaces; ++workspace) {
        emulator::ArrivalSpec spec;
        spec.request.workspace = number("workspace", workspace);
        spec.request.service = number("model", workspace % size.services);
        spec.request.cost = meanCost;
        spec.request.deadline = std::chrono::seconds(20);
        spec.daemons = fleet.daemonNames();
        spec.rate = total / size.workspaces;
        spec.lasting = warmUp + std::chrono::seconds(size.seconds);
        spec.costSpread = 0.5;
        fleet.addArrivals(spec);
    }
    for (int workspace = 0; workspace < size.backlogged; ++workspace) {
        emulator::RequestSpec burst;
        burst.workspace = number("workspace", workspace);
        burst.service = number("model", workspace % size.services);
        burst.cost = meanCost;
        burst.deadline = std::chrono::seconds(60);
        constexpr int burstSize = 60;
        for (int request = 0; request < burstSize; ++request) {
            fleet.submit(fleet.daemonNames()[static_cast<std::size_t>(request) % fleet.daemonNames().size()], burst);
        }
    }
}

Cost measure(const Size &size)
{
    Fleet fleet(1, fixedLimits());
    build(fleet, size);
    fleet.start();
    fleet.run(std::chrono::seconds(4));
    load(fleet, size);
    fleet.run(warmUp);
    fleet.measureCores();
    std::map<std::string, std::uint64_t> bytesBefore;
    for (const std::string &name : fleet.daemonNames()) {
        bytesBefore[name] = fleet.bytesSentBy(name);
    }
    fleet.run(std::chrono::seconds(size.seconds));
    Cost cost;
    const auto count = static_cast<double>(bytesBefore.size());
    for (const auto &[name, before] : bytesBefore) {
        const double core = std::chrono::duration<double>(fleet.coreTimeOf(name)).count() / size.seconds;
        const double bytes = static_cast<double>(fleet.bytesSentBy(name) - before) / size.seconds;
        cost.core += core / count;
        cost.bytes += bytes / count;
        cost.maxCore = std::max(cost.maxCore, core);
        cost.maxBytes = std::max(cost.maxBytes, bytes);
    }
    std::size_t answered = 0;
    for (const emulator::RequestRecord &record : fleet.records()) {
        answered += record.answered ? 1 : 0;
    }
    cost.answered = static_cast<double>(answered) / static_cast<double>(std::max<std::size_t>(1, fleet.records().size()));
    return cost;
}

/** Straight line by least squares, with the largest relative distance of a point from it. */
struct Line {
    double slope = 0;
    double offset = 0;
    double residual = 0;
};

Line fit(const std::vector<std::pair<double, double>> &points)
{
    const auto count = static_cast<double>(points.size());
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (const auto &[x, y] : points) {
        sumX += x;
        sumY += y;
        sumXx += x * x;
        sumXy += x * y;
    }
    Line line;
    line.slope = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
    line.offset = (sumY - line.slope * sumX) / count;
    for (const auto &[x, y] : points) {
        const double expected = line.offset + line.slope * x;
        line.residual = std::max(line.residual, std::abs(y - expected) / std::max(1e-12, std::abs(y)));
    }
    return line;
}

void printLine(const std::string &what, const std::string &unit, const std::vector<std::pair<double, double>> &points)
{
    const Line line = fit(points);
    std::cout << "  " << std::left << std::setw(34) << what << std::scientific << std::setprecision(3) << "offset " << line.offset
              << "  slope " << line.slope << " " << unit << std::fixed << std::setprecision(1) << "  residual " << line.residual * 100
              << "%  at";
    for (const auto &[x, y] : points) {
        std::cout << " " << std::setprecision(0) << x << ":" << std::scientific << std::setprecision(2) << y << std::fixed;
    }
    std::cout << "\n";
}

/** Runs one fleet for each size and prints the slopes of processor time and traffic. */
void sweep(const std::string &name, const std::vector<int> &sizes, const std::function<void(Size &, int)> &set)
{
    std::vector<std::pair<double, double>> core;
    std::vector<std::pair<double, double>> bytes;
    for (const int value : sizes) {
        Size size;
        set(size, value);
        const Cost cost = measure(size);
        core.emplace_back(value, cost.core);
        bytes.emplace_back(value, cost.bytes);
    }
    printLine("core part / " + name, "of a core", core);
    printLine("bytes sent per s / " + name, "B/s", bytes);
}

std::size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

/** Memory of a configuration, as each daemon holds it, by its size. */
void sweepConfiguration()
{
    std::vector<std::pair<double, double>> memory;
    std::vector<std::pair<double, double>> document;
    std::vector<std::pair<double, double>> seconds;
    for (const int objects : {300, 600, 1210, 2400}) {
        Fleet fleet(1, {});
        Size size;
        size.workspaces = objects / 2;
        size.services = 6;
        size.backendsEach = objects / 2 / size.services;
        build(fleet, size);
        const std::string text = version::toJson(fleet.declarations).dump();
        const std::size_t before = allocatedBytes();
        timespec start {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &start);
        const version::Configuration parsed = version::parseConfiguration(text);
        timespec end {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
        memory.emplace_back(objects, static_cast<double>(allocatedBytes() - before));
        document.emplace_back(objects, static_cast<double>(text.size()));
        seconds.emplace_back(objects,
                             static_cast<double>(end.tv_sec - start.tv_sec) + static_cast<double>(end.tv_nsec - start.tv_nsec) * 1e-9);
    }
    printLine("configuration memory / objects", "B", memory);
    printLine("configuration document / objects", "B", document);
    printLine("configuration parse / objects", "s", seconds);
}

/** Memory of one core by the requests that wait or run in it. */
void sweepMemory()
{
    std::vector<std::pair<double, double>> points;
    for (const int daemons : {8, 16, 32, 50}) {
        Size size;
        size.daemonsEach = daemons;
        size.workspaces = 610;
        size.seconds = 1;
        const std::size_t before = allocatedBytes();
        Fleet fleet(1, fixedLimits());
        build(fleet, size);
        fleet.start();
        fleet.run(std::chrono::seconds(4));
        load(fleet, size);
        fleet.run(warmUp);
        points.emplace_back(daemons, static_cast<double>(allocatedBytes() - before) / daemons);
    }
    printLine("emulated bytes per daemon / daemons", "B", points);
}

void printTarget(const std::string &what, const Size &size)
{
    const Cost cost = measure(size);
    std::cout << "  " << what << ": " << size.dataCentres * size.daemonsEach << " daemons, "
              << size.dataCentres * size.services * size.backendsEach << " backend servers, " << size.workspaces << " workspaces, "
              << std::fixed << std::setprecision(0) << size.rateEach * size.daemonsEach * size.dataCentres << " requests/s\n"
              << std::setprecision(4) << "    core part mean " << cost.core << " busiest " << cost.maxCore << " (allowed 0.042)\n"
              << std::setprecision(0) << "    bytes sent per s mean " << cost.bytes << " busiest " << cost.maxBytes << " (allowed 14000)\n"
              << std::setprecision(3) << "    answered " << cost.answered << " of the requests, the rest waits or was refused\n";
}

}

int main(int argumentCount, char **arguments)
{
    try {
        TCLAP::CmdLine line("Measures how a daemon's control cost grows with the fleet.");
        TCLAP::SwitchArg quick("", "quick", "Leave out the runs at the target's size", line);
        line.parse(argumentCount, arguments);
        std::cout << "slopes, one data centre, 15 requests/s a daemon where nothing else is said\n";
        sweep("daemons", {4, 8, 16, 32, 50}, [](Size &size, int value) { size.daemonsEach = value; });
        sweep("requests/s a daemon", {5, 10, 20, 40}, [](Size &size, int value) { size.rateEach = value; });
        sweep("workspaces", {16, 64, 256, 610}, [](Size &size, int value) { size.workspaces = value; });
        sweep("backlogged workspaces", {7, 14, 28, 61}, [](Size &size, int value) { size.backlogged = value; });
        sweep("backend servers a pool", {4, 8, 16, 32}, [](Size &size, int value) { size.backendsEach = value; });
        sweep("data centres", {1, 2, 4, 7}, [](Size &size, int value) { size.dataCentres = value; });
        sweepConfiguration();
        sweepMemory();
        if (!quick.getValue()) {
            std::cout << "target size\n";
            printTarget("one data centre", {1, 50, 7, 12, 610, 61, 5400.0 / 350, 5});
            printTarget("whole fleet", {7, 50, 7, 12, 610, 61, 5400.0 / 350, 5});
        }
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "capacity: " << error.what() << "\n";
        return 1;
    }
}
