#include "process/dispatch/fair_share_tracker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Half-life of demand and served rates: their mean lifetime is about half of the 4 s window in which shares are evaluated. */
constexpr Duration rateHalfLife = 1400ms;
/** Shorter, so that admission rates follow callers that move from one daemon to another. */
constexpr Duration offeredHalfLife = 300ms;
/** Older load of other daemons is not used. */
constexpr Duration maxSnapshotAge = 2s;
/** Admission rates add up to this multiple of what is served, so that the served throughput can grow; the queue's limits hold it back. */
constexpr double throughputHeadroom = 1.25;
/** Engines that serve less than this fraction of their throughput, and have less than this time's prompts pending, have room. */
constexpr double busyFraction = 0.45;
constexpr double maxPendingSeconds = 0.09;
/** An estimate from this many requests has the same weight as the one that it refines. */
constexpr double assumedRequests = 4.0;
/** A workspace that could use its share, and gets less than the others, holds them to this multiple of its own service ... */
constexpr double maxServiceRatio = 1.4;
/** ... but to no less than this fraction of the share: below that, engines would idle for a workspace that can't be served. */
constexpr double minShareFraction = 0.45;
/** Time for which its demand has to exceed the share first. */
constexpr Duration minBacklogTime = 700ms;
/** A workspace's requests here have grown when they arrive at this multiple of the rate that its part predicts. */
constexpr double growthFactor = 2.0;

/** @returns whether the engines can serve more: they are neither near their throughput, nor do prompts queue there. */
bool hasRoom(const FleetState &state, double served)
{
    return served < busyFraction * state.engineThroughput && state.pendingTokens < maxPendingSeconds * state.engineThroughput;
}

/** @returns the fraction of a constant rate that a decaying rate shows this long after the beginning. */
double shownFraction(Duration sinceBegin)
{
    return 1.0 - std::exp2(-static_cast<double>(sinceBegin.count()) / static_cast<double>(rateHalfLife.count()));
}

double meanLifeOf(Duration halfLife)
{
    return std::chrono::duration<double>(halfLife).count() / std::log(2.0);
}

/**
 * Refines an estimate of the part of a workspace's requests that arrives here by the rates here and in the fleet. The more requests the
 * rates stand for, the more they count; without that, few requests would be taken for a change of the part.
 */
double refinePart(double estimate, double here, double fleet, double requestsPerRate)
{
    if (fleet <= 0) {
        return estimate;
    }
    const double requests = std::max(here, estimate * fleet) * requestsPerRate;
    return estimate + (here / fleet - estimate) * requests / (requests + assumedRequests);
}

}

double maxMinShare(std::vector<double> demands, double capacity)
{
    std::sort(demands.begin(), demands.end());
    double remaining = capacity;
    for (std::size_t index = 0; index < demands.size(); ++index) {
        const double equalShare = remaining / static_cast<double>(demands.size() - index);
        if (demands[index] > equalShare) {
            return equalShare;
        }
        remaining -= demands[index];
    }
    return std::numeric_limits<double>::infinity();
}

FairShareTracker::Rates &FairShareTracker::ratesOf(WorkspaceHandle workspace)
{
    return this->rates.try_emplace(workspace, Rates {DecayingSum(rateHalfLife), DecayingSum(rateHalfLife), DecayingSum(offeredHalfLife)})
        .first->second;
}

void FairShareTracker::recordDemand(WorkspaceHandle workspace, double cost, Time now)
{
    this->ratesOf(workspace).demand.add(cost, now);
}

void FairShareTracker::recordOffered(WorkspaceHandle workspace, double cost, Time now)
{
    this->ratesOf(workspace).offered.add(cost, now);
}

void FairShareTracker::recordServed(WorkspaceHandle workspace, double cost, Time now)
{
    this->ratesOf(workspace).served.add(cost, now);
}

std::vector<exchange::WorkspaceLoad> FairShareTracker::localLoad(Time now) const
{
    std::vector<exchange::WorkspaceLoad> loads;
    for (const auto &[workspace, workspaceRates] : this->rates) {
        loads.push_back({workspace.id, workspaceRates.demand.rate(now), workspaceRates.served.rate(now), workspaceRates.offered.rate(now)});
    }
    return loads;
}

const FairShareTracker::Snapshot &FairShareTracker::snapshotOfAge(Duration age, Time now) const
{
    const auto newest = std::find_if(this->history.rbegin(), this->history.rend(),
                                     [age, now](const Snapshot &snapshot) { return now - snapshot.at >= age; });
    return newest == this->history.rend() ? this->history.front() : *newest;
}

void FairShareTracker::update(const exchange::LoadSummary &others, const FleetState &state, double meanCost, Time now)
{
    this->history.push_back({now, this->localLoad(now)});
    while (now - this->history.front().at > maxSnapshotAge) {
        this->history.pop_front();
    }
    exchange::LoadSummary fleet {this->history.back().loads, {}, 1};
    fleet = fleet.plus(others);
    std::vector<double> demands;
    double served = 0;
    for (const exchange::WorkspaceLoad &load : fleet.workspaces) {
        demands.push_back(load.demand);
        served += load.served;
    }
    this->guaranteedShare = maxMinShare(demands, state.guaranteedThroughput > 0 ? std::min(state.guaranteedThroughput, served) : served);
    this->servedShare = maxMinShare(demands, served);
    this->servedByOthers.clear();
    for (const exchange::WorkspaceLoad &load : others.workspaces) {
        this->servedByOthers[WorkspaceHandle {load.workspace}] = load.served;
    }
    this->rateHere.clear();
    const double capacity = std::max(state.engineThroughput, throughputHeadroom * served);
    const double spare = capacity - std::accumulate(demands.begin(), demands.end(), 0.0);
    const double share = maxMinShare(std::move(demands), capacity);
    this->updateBacklogs(fleet, share, now);
    if (hasRoom(state, served)) {
        return;
    }
    const std::map<WorkspaceHandle, double> parts = this->partsHere(others, share, std::max(meanCost, 1.0), now);
    const ServiceBounds bounds = this->serviceBounds(fleet, now);
    for (const exchange::WorkspaceLoad &load : fleet.workspaces) {
        const WorkspaceHandle workspace {load.workspace};
        if (const auto part = parts.find(workspace); part != parts.end()) {
            const double boundByOthers = std::max(bounds.of(workspace), minShareFraction * share);
            this->rateHere[workspace] = part->second * (std::isinf(share) ? load.demand + spare : std::min(share, boundByOthers));
        }
    }
}

void FairShareTracker::updateBacklogs(const exchange::LoadSummary &fleet, double share, Time now)
{
    std::map<WorkspaceHandle, Time> stillBacklogged;
    for (const exchange::WorkspaceLoad &load : fleet.workspaces) {
        if (load.demand > share) {
            const WorkspaceHandle workspace {load.workspace};
            const auto since = this->backloggedSince.find(workspace);
            stillBacklogged[workspace] = since == this->backloggedSince.end() ? now : since->second;
        }
    }
    this->backloggedSince = std::move(stillBacklogged);
}

FairShareTracker::ServiceBounds FairShareTracker::serviceBounds(const exchange::LoadSummary &fleet, Time now) const
{
    ServiceBounds bounds;
    for (const exchange::WorkspaceLoad &load : fleet.workspaces) {
        const WorkspaceHandle workspace {load.workspace};
        const auto since = this->backloggedSince.find(workspace);
        if (since == this->backloggedSince.end() || now - since->second < minBacklogTime) {
            continue;
        }
        const double bound = maxServiceRatio * load.served / shownFraction(now - since->second);
        if (bound < bounds.lowest) {
            bounds = {workspace, bound, bounds.lowest};
        } else {
            bounds.second = std::min(bounds.second, bound);
        }
    }
    return bounds;
}

std::map<WorkspaceHandle, double> FairShareTracker::partsHere(const exchange::LoadSummary &others, double share, double meanCost,
                                                              Time now) const
{
    // Both sides of a part are from the same time: a flood that begins at all daemons at once does not change its parts.
    const Snapshot &past = this->snapshotOfAge(others.age, now);
    const exchange::LoadSummary fleet = exchange::LoadSummary {past.loads, {}, 1}.plus(others);
    std::map<std::uint32_t, exchange::WorkspaceLoad> loadsHere;
    for (const exchange::WorkspaceLoad &load : past.loads) {
        loadsHere[load.workspace] = load;
    }
    std::map<WorkspaceHandle, double> parts;
    for (const exchange::WorkspaceLoad &load : fleet.workspaces) {
        const exchange::WorkspaceLoad &here = loadsHere[load.workspace];
        // Where requests of a new workspace arrive is unknown; an even spread would hold back callers of a single daemon.
        const bool isNew = load.demand * meanLifeOf(rateHalfLife) / meanCost < assumedRequests;
        double part = isNew ? 1.0 : 1.0 / fleet.daemons;
        part = refinePart(part, here.demand, load.demand, meanLifeOf(rateHalfLife) / meanCost);
        part = refinePart(part, here.offered, load.offered, meanLifeOf(offeredHalfLife) / meanCost);
        // A flood is as large as before when its callers move: what has grown here has left other daemons.
        if (const double offeredNow = this->offeredRate(WorkspaceHandle {load.workspace}, now);
            load.demand > share && offeredNow > growthFactor * part * load.offered) {
            part = std::max(part, refinePart(part, offeredNow, std::max(load.offered, offeredNow), meanLifeOf(offeredHalfLife) / meanCost));
        }
        parts[WorkspaceHandle {load.workspace}] = part;
    }
    return parts;
}

double FairShareTracker::offeredRate(WorkspaceHandle workspace, Time now) const
{
    const auto own = this->rates.find(workspace);
    return own == this->rates.end() ? 0 : own->second.offered.rate(now);
}

ShareUsage FairShareTracker::shareUsage(WorkspaceHandle workspace, Time now) const
{
    const auto own = this->rates.find(workspace);
    const auto fromOthers = this->servedByOthers.find(workspace);
    const double served = (own == this->rates.end() ? 0 : own->second.served.rate(now))
        + (fromOthers == this->servedByOthers.end() ? 0 : fromOthers->second);
    return {this->servedShare > 0 ? served / this->servedShare : 0, this->guaranteedShare > 0 ? served / this->guaranteedShare : 0};
}

}
