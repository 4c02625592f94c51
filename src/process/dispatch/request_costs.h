#pragma once

/** @file Mean cost and admitted fraction of requests, by route and size. */

#include "process/dispatch/decaying_average.h"

#include <array>
#include <map>
#include <string>

namespace eelgrassnotch::process::dispatch
{

/**
 * @brief Tracks the mean cost of requests, and which routes and sizes are admitted less often than others.
 * @remarks Load pattern: consultations that cost ten times as much as chats compete with them for the same engines.
 */
class RequestCosts
{
public:
    RequestCosts();

    /** @brief Records a request, admitted or not. @param cost Prompt tokens plus twice the maximum number of tokens to generate. */
    void recordRequest(const std::string &route, double cost, Time now);
    /** @brief Records that a request is sent to a backend server; for the cost see recordRequest(). */
    void recordAdmitted(const std::string &route, double cost, Time now);
    /** @returns a request's cost as a multiple of the mean cost of all requests; 1 when either is unknown. */
    double relativeCost(double cost, Time now) const;
    /** @returns the mean cost of recent requests; zero without any. */
    double meanCost(Time now) const;
    /** @returns whether the admitted fraction of this route and size is far below the mean of all requests. */
    bool isUnderserved(const std::string &route, double cost, Time now) const;
    /** @brief Removes routes without recent requests. */
    void removeUnusedRoutes(Time now);

private:
    /** Requests below the mean cost of their route, up to a multiple of it, and above that. */
    static constexpr std::size_t sizeClassCount = 3;

    struct Counts {
        Counts();
        /** @returns the fraction of the requests that was admitted; with few requests, close to @p assumedFraction. */
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
