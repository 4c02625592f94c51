#include "process/directory/backend_server.h"

#include <algorithm>
#include <utility>

namespace eelgrassnotch::process::directory
{

namespace
{

using namespace std::chrono_literals;

/** Window in which requests to a cold backend server are counted: longer than the second of the limit, since network delays vary. */
constexpr Duration attemptWindow = 1100ms;
/** Half-lives of averages over answers: load changes within tenths of a second, health within seconds. */
constexpr Duration delayHalfLife = 400ms;
constexpr Duration serviceTimeHalfLife = 2s;
constexpr Duration failureHalfLife = 2s;
/** Minimum time that a request occupies a slot of a model engine: a prompt and a few events. */
constexpr Duration minSlotTime = 300ms;
/** Weights of one sample in the averages. */
constexpr double delayWeight = 0.3;
constexpr double serviceTimeWeight = 0.2;
constexpr double failureWeight = 0.15;
/** Consecutive failures after which only probe requests are sent, one at a time, and the bounds of the interval between them. */
constexpr std::uint32_t failuresBeforeProbing = 2;
constexpr Duration minProbeInterval = 500ms;
constexpr Duration maxProbeInterval = 2s;
/** A working backend server with waiting requests begins an answer within this time. */
constexpr Duration maxSilence = 1200ms;

}

const char *nameOf(Availability availability)
{
    switch (availability) {
    case Availability::Ready:
        return "ready";
    case Availability::Draining:
        return "draining";
    case Availability::Unconfirmed:
        return "unconfirmed";
    case Availability::Gone:
        return "gone";
    }
    return "gone";
}

BackendServer::BackendServer(BackendRecord firstRecord, std::uint64_t cacheTokens)
    : record(std::move(firstRecord))
    , handle(hashName(this->record.id))
    , incarnation(hashName(this->record.id + '@' + std::to_string(this->record.startedAt)))
    , version(streams::versionKey(this->record.version))
    , excessDelay(delayWeight, delayHalfLife)
    , firstEventCount(delayHalfLife)
    , serviceTime(serviceTimeWeight, serviceTimeHalfLife)
    , failureRate(failureWeight, failureHalfLife)
    , recentAttempts(attemptWindow)
    , prefixCache(cacheTokens)
{
}

bool BackendServer::isRequestAllowed(Time now) const
{
    if (now < this->backoffEnd) {
        return false;
    }
    if (this->isAwaitingAcceptance || this->consecutiveFailures >= failuresBeforeProbing) {
        return now >= this->nextProbeAt;
    }
    return !this->isUnresponsive(now);
}

void BackendServer::recordBackoff(Duration closedFor, Time now)
{
    this->backoffEnd = std::max(this->backoffEnd, now + closedFor);
    this->isAwaitingAcceptance = true;
    this->nextProbeAt = std::max(this->nextProbeAt, this->backoffEnd);
}

void BackendServer::recordSuccess(Time now, Duration coldPeriod)
{
    if (this->consecutiveFailures >= failuresBeforeProbing) {
        // It may have restarted during the failures, so treat it as cold.
        this->coldUntil = std::max(this->coldUntil, now + coldPeriod);
    }
    this->consecutiveFailures = 0;
    this->failureRate.add(0.0, now);
}

void BackendServer::recordFailure(Time sentAt, Time now)
{
    this->failureRate.add(1.0, now);
    this->versionCertainty.recordSuspicion(now);
    if (sentAt < this->lastCountedFailureAt) {
        return;
    }
    this->lastCountedFailureAt = now;
    ++this->consecutiveFailures;
    if (this->consecutiveFailures >= failuresBeforeProbing) {
        const std::uint32_t doublings = std::min<std::uint32_t>(this->consecutiveFailures - failuresBeforeProbing, 4);
        this->nextProbeAt = now + std::min(minProbeInterval * (1 << doublings), maxProbeInterval);
    }
}

void BackendServer::recordRefusedConnection(Time now)
{
    this->isAbsent = true;
    if (this->consecutiveFailures < failuresBeforeProbing) {
        this->consecutiveFailures = failuresBeforeProbing;
        this->nextProbeAt = now + minProbeInterval;
    }
}

void BackendServer::recordErrorAnswer(Time now)
{
    this->consecutiveFailures = 0;
    this->failureRate.add(1.0, now);
}

std::uint32_t BackendServer::recordLoss()
{
    if (std::exchange(this->isAbsent, false) && this->wasLost) {
        ++this->unpublishedStarts;
    }
    this->wasLost = true;
    return this->unpublishedStarts == 0 ? this->incarnation
                                        : hashName(std::to_string(this->incarnation) + '@' + std::to_string(this->unpublishedStarts));
}

void BackendServer::recordAttempt(Time now)
{
    this->recentAttempts.add(now);
    this->announcedLimit.recordSent(now);
    this->unanswered.insert(now);
    if (this->isAwaitingAcceptance || this->consecutiveFailures >= failuresBeforeProbing) {
        this->nextProbeAt = now + minProbeInterval;
    }
}

void BackendServer::recordWaitEnd(Time sentAt, bool hasAnswered, Time now)
{
    if (const auto entry = this->unanswered.find(sentAt); entry != this->unanswered.end()) {
        this->unanswered.erase(entry);
    }
    if (hasAnswered) {
        this->lastAnswerAt = now;
    }
}

bool BackendServer::isUnresponsive(Time now) const
{
    return !this->unanswered.empty() && now - *this->unanswered.begin() > maxSilence && now - this->lastAnswerAt > maxSilence;
}

void BackendServer::recordExcessDelay(Duration excess, Time now)
{
    this->excessDelay.add(static_cast<double>(std::max<std::int64_t>(excess.count(), 0)), now);
    this->firstEventCount.add(1.0, now);
}

void BackendServer::recordSlotTime(Duration hold, Time now)
{
    this->serviceTime.add(static_cast<double>(hold.count()), now);
}

void BackendServer::recordServiceTime(Duration taken, Time sentAt, Time now)
{
    this->serviceTime.add(static_cast<double>(taken.count()) / this->slowness.reportSince(sentAt).value_or(this->slowness.typical()), now);
}

Duration BackendServer::expectedServiceTime(Time now) const
{
    return Duration(static_cast<std::int64_t>(this->serviceTime.value(now) * this->slowness.current(now)));
}

Duration BackendServer::slotDelay(Time now) const
{
    const double slots = std::max<std::uint32_t>(this->record.slots, 1);
    const double waiting = static_cast<double>(this->inFlight) + this->loadFromOthers.inFlight + 1.0 - slots;
    if (waiting <= 0) {
        return Duration(0);
    }
    const double hold = std::max(this->serviceTime.value(now), static_cast<double>(minSlotTime.count()));
    return Duration(static_cast<std::int64_t>(hold * waiting / slots));
}

Duration BackendServer::queueDelay(Time now) const
{
    return Duration(static_cast<std::int64_t>(this->excessDelay.value(now)));
}

}
