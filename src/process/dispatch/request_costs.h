#pragma once

/** @file What requests cost, and how often they are taken, by route and size. */

#include "process/dispatch/decaying_average.h"

#include <array>
#include <map>
#include <string>

namespace eelgrassnotch::process::dispatch
{

/**
 * @brief Learns what requests cost in the mean, and which kinds and sizes are taken less often than others.
 * @remarks Load pattern: consultations that cost ten times as much as chats compete with them for the same engines.
 */
class RequestCosts
{
public:
    RequestCosts();

    /** @brief Notes a request, taken or not. @param cost Tokens read, plus twice the tokens generated. */
    void recordRequest(const std::string &route, double cost, Time now);
    /** @brief Notes that it is sent to a backend server. */
    void recordAdmitted(const std::string &route, double cost, Time now);
    /** @returns a request's cost as a multiple of the mean of all; 1 while none is known. */
    double relativeCost(double cost, Time now) const;
    /** @returns whether requests of this route and size are taken much less often than requests are in the mean. */
    bool isUnderserved(const std::string &route, double cost, Time now) const;
    /** @brief Forgets routes that nobody has used for long. */
    void removeUnusedRoutes(Time now);

private:
    /** Requests below the mean cost of their route, up to a multiple of it, and beyond. */
    static constexpr std::size_t sizeClassCount = 3;

    struct Counts {
        Counts();
        /** @returns the part of the requests that was taken; with few of them, near @p assumedFraction. */
        double admittedFraction(double assumedFraction, Time now) const;

        DecayingSum requests;
        DecayingSum admitted;
    };

    struct CostStatistics {
        CostStatistics();

        DecayingSum cost;
        Counts all;
        std::array<Counts, sizeClassCount> bySizeClass;
    };

    static std::size_t sizeClassOf(const CostStatistics &statistics, double cost, Time now);

    CostStatistics total;
    std::map<std::string, CostStatistics> byRoute;
};

}
