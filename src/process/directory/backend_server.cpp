#include "process/directory/backend_server.h"

#include <algorithm>

namespace eelgrassnotch::process::directory
{

namespace
{

using namespace std::chrono_literals;

/** Window in which requests to a cold backend server are counted: longer than the second of the limit, since network delays vary. */
constexpr Duration attemptWindow = 1100ms;
/** Half-lives of averages over answers: load changes within tenths of a second, health within seconds. */
constexpr Duration delayHalfLife = 400ms;
constexpr Duration answerTimeHalfLife = 2s;
constexpr Duration failureHalfLife = 2s;
/** Minimum time that a request occupies a slot of a model engine: a prompt and a few events. */
constexpr Duration minSlotHold = 300ms;
/** Weights of one sample in the averages. */
constexpr double delayWeight = 0.3;
constexpr double answerTimeWeight = 0.2;
constexpr double failureWeight = 0.15;
/** Consecutive failures after which only trial requests are sent, one at a time, and the bounds of the interval between them. */
constexpr std::uint32_t failuresBeforeTrials = 2;
constexpr Duration minTrialInterval = 500ms;
constexpr Duration maxTrialInterval = 2s;
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
    , excessDelay(delayWeight, delayHalfLife)
    , firstEventCount(delayHalfLife)
    , answerTime(answerTimeWeight, answerTimeHalfLife)
    , failureRate(failureWeight, failureHalfLife)
    , recentAttempts(attemptWindow)
    , prefixCache(cacheTokens)
{
}

bool BackendServer::isRequestAllowed(Time now) const
{
    if (now < this->closedEnd) {
        return false;
    }
    if (this->isReopening || this->consecutiveFailures >= failuresBeforeTrials) {
        return now >= this->nextTrialAt;
    }
    return !this->isUnresponsive(now);
}

void BackendServer::recordClosed(Duration closedFor, Time now)
{
    this->closedEnd = std::max(this->closedEnd, now + closedFor);
    this->isReopening = true;
    this->nextTrialAt = std::max(this->nextTrialAt, this->closedEnd);
}

void BackendServer::recordSuccess(Time now, Duration coldPeriod)
{
    if (this->consecutiveFailures >= failuresBeforeTrials) {
        // It may have restarted during the failures, so treat it as cold.
        this->coldUntil = std::max(this->coldUntil, now + coldPeriod);
    }
    this->consecutiveFailures = 0;
    this->failureRate.add(0.0, now);
}

void BackendServer::recordFailure(Time now)
{
    ++this->consecutiveFailures;
    this->failureRate.add(1.0, now);
    if (this->consecutiveFailures >= failuresBeforeTrials) {
        const std::uint32_t doublings = std::min<std::uint32_t>(this->consecutiveFailures - failuresBeforeTrials, 4);
        this->nextTrialAt = now + std::min(minTrialInterval * (1 << doublings), maxTrialInterval);
    }
}

void BackendServer::recordErrorAnswer(Time now)
{
    this->consecutiveFailures = 0;
    this->failureRate.add(1.0, now);
}

void BackendServer::recordAttempt(Time now)
{
    this->recentAttempts.add(now);
    this->unanswered.insert(now);
    if (this->isReopening || this->consecutiveFailures >= failuresBeforeTrials) {
        this->nextTrialAt = now + minTrialInterval;
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

void BackendServer::recordSlotHold(Duration hold, Time now)
{
    this->answerTime.add(static_cast<double>(hold.count()), now);
}

Duration BackendServer::slotDelay(Time now) const
{
    const double slots = std::max<std::uint32_t>(this->record.slots, 1);
    const double waiting = static_cast<double>(this->inFlight) + this->loadFromOthers.inFlight + 1.0 - slots;
    if (waiting <= 0) {
        return Duration(0);
    }
    const double hold = std::max(this->answerTime.value(now), static_cast<double>(minSlotHold.count()));
    return Duration(static_cast<std::int64_t>(hold * waiting / slots));
}

Duration BackendServer::queueDelay(Time now) const
{
    return Duration(static_cast<std::int64_t>(this->excessDelay.value(now)));
}

}
