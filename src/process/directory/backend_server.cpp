#include "process/directory/backend_server.h"

#include <algorithm>

namespace eelgrassnotch::process::directory
{

namespace
{

using namespace std::chrono_literals;

/** Window in which starts at a cold backend server are counted: a second, and what the network may shift them by. */
constexpr Duration startWindow = 1100ms;
/** Half-lives of what is learnt from answers; load changes within tenths of a second, health within seconds. */
constexpr Duration delayHalfLife = 400ms;
constexpr Duration answerTimeHalfLife = 2s;
constexpr Duration failureHalfLife = 2s;
/** A slot of a model engine is held for at least this long: a prompt and a few events. Source: the deployments' data sheets. */
constexpr Duration shortestHold = 300ms;
/** Weights of one sample. */
constexpr double delayWeight = 0.3;
constexpr double answerTimeWeight = 0.2;
constexpr double failureWeight = 0.15;
/** Failures in a row after which only single requests are tried, and the pauses between them. */
constexpr std::uint32_t failuresUntilSuspect = 2;
constexpr Duration firstTrialPause = 500ms;
constexpr Duration longestTrialPause = 2s;
/** A working backend server with requests answers one of them within this time. */
constexpr Duration silenceBound = 1200ms;

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
    , firstEvents(delayHalfLife)
    , answerTime(answerTimeWeight, answerTimeHalfLife)
    , failureShare(failureWeight, failureHalfLife)
    , starts(startWindow)
    , prefixes(cacheTokens)
{
}

bool BackendServer::isTrialAllowed(Time now) const
{
    if (now < this->closedEnd) {
        return false;
    }
    if (this->isReopening || this->failuresInARow >= failuresUntilSuspect) {
        return now >= this->trialAt;
    }
    return !this->isSilent(now);
}

void BackendServer::noteClosed(Duration closedFor, Time now)
{
    this->closedEnd = std::max(this->closedEnd, now + closedFor);
    this->isReopening = true;
    this->trialAt = std::max(this->trialAt, this->closedEnd);
}

void BackendServer::noteSuccess(Time now, Duration coldPeriod)
{
    if (this->failuresInARow >= failuresUntilSuspect) {
        // It may have restarted behind the failures.
        this->coldUntil = std::max(this->coldUntil, now + coldPeriod);
    }
    this->failuresInARow = 0;
    this->failureShare.add(0.0, now);
}

void BackendServer::noteFailure(Time now)
{
    ++this->failuresInARow;
    this->failureShare.add(1.0, now);
    if (this->failuresInARow >= failuresUntilSuspect) {
        const std::uint32_t doublings = std::min<std::uint32_t>(this->failuresInARow - failuresUntilSuspect, 4);
        this->trialAt = now + std::min(firstTrialPause * (1 << doublings), longestTrialPause);
    }
}

void BackendServer::noteErrorAnswer(Time now)
{
    this->failuresInARow = 0;
    this->failureShare.add(1.0, now);
}

void BackendServer::noteStart(Time now)
{
    this->starts.add(now);
    this->unanswered.insert(now);
    if (this->isReopening || this->failuresInARow >= failuresUntilSuspect) {
        this->trialAt = now + firstTrialPause;
    }
}

void BackendServer::noteEndOfWait(Time sentAt, bool hasAnswered, Time now)
{
    if (const auto entry = this->unanswered.find(sentAt); entry != this->unanswered.end()) {
        this->unanswered.erase(entry);
    }
    if (hasAnswered) {
        this->lastAnswerAt = now;
    }
}

bool BackendServer::isSilent(Time now) const
{
    return !this->unanswered.empty() && now - *this->unanswered.begin() > silenceBound && now - this->lastAnswerAt > silenceBound;
}

void BackendServer::noteExcessDelay(Duration excess, Time now)
{
    this->excessDelay.add(static_cast<double>(std::max<std::int64_t>(excess.count(), 0)), now);
    this->firstEvents.add(1.0, now);
}

void BackendServer::noteHold(Duration hold, Time now)
{
    this->answerTime.add(static_cast<double>(hold.count()), now);
}

Duration BackendServer::slotDelay(Time now) const
{
    const double slots = std::max<std::uint32_t>(this->record.slots, 1);
    const double ahead = static_cast<double>(this->inFlight) + this->elsewhere.inFlight + 1.0 - slots;
    if (ahead <= 0) {
        return Duration(0);
    }
    const double hold = std::max(this->answerTime.value(now), static_cast<double>(shortestHold.count()));
    return Duration(static_cast<std::int64_t>(hold * ahead / slots));
}

Duration BackendServer::queueDelay(Time now) const
{
    return Duration(static_cast<std::int64_t>(this->excessDelay.value(now)));
}

}
