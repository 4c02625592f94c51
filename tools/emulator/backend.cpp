#include "emulator/backend.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace eelgrassnotch::emulator
{

using request::AttemptOutcome;
using request::AttemptResult;

namespace
{

/** Part of a token that counts as none, against rounding. */
constexpr double smallestRest = 1e-3;

}

Backend::Backend(EventQueue &events, BackendTruth truth)
    : events(events)
    , truth(truth)
    , startedAt(events.now())
{
}

double Backend::capacityNow() const
{
    const double age = std::chrono::duration<double>(this->events.now() - this->startedAt).count();
    const double warmUp = std::chrono::duration<double>(this->truth.warmUp).count();
    const double warmth = warmUp <= 0 ? 1.0 : std::min(1.0, age / warmUp);
    const double capacity = this->truth.coldCapacity + warmth * (this->truth.capacity - this->truth.coldCapacity);
    return capacity / this->slowdown;
}

double Backend::bears() const
{
    const double headroom = std::chrono::duration<double>(this->truth.tokenTarget) / std::chrono::duration<double>(this->truth.tokenTime);
    return this->capacityNow() * headroom;
}

double Backend::capacityTokens() const
{
    const double age = std::chrono::duration<double>(this->events.now() - this->startedAt).count();
    return age * this->truth.capacity / std::chrono::duration<double>(this->truth.tokenTime).count();
}

std::uint64_t Backend::start(const BackendRequest &request)
{
    const std::uint64_t id = this->nextId++;
    if (this->down) {
        AttemptOutcome outcome;
        outcome.result = AttemptResult::ConnectFailed;
        outcome.verdict = Verdict::NotRun;
        request.ended(outcome);
        return id;
    }
    if (this->refuse > 0) {
        --this->refuse;
        AttemptOutcome outcome;
        outcome.result = AttemptResult::BackendRefused;
        outcome.verdict = Verdict::NotRun;
        outcome.generation = this->generation;
        request.ended(outcome);
        return id;
    }
    ++this->starts;
    ++this->executions[request.name];
    this->advance();
    this->running[id] = {request, this->events.now(), static_cast<double>(request.cost)};
    this->excess = std::max(this->excess, static_cast<double>(this->running.size()) - this->bears());
    if (static_cast<double>(this->running.size()) > this->capacityNow() * this->truth.fallOver) {
        this->restart();
        return id;
    }
    this->scheduleNext();
    return id;
}

/** Counts the tokens since the last change. */
void Backend::advance()
{
    const double seconds = std::chrono::duration<double>(this->events.now() - this->advancedAt).count();
    for (auto &[id, entry] : this->running) {
        entry.remaining -= seconds * this->tokensPerSecond;
    }
    this->advancedAt = this->events.now();
}

/** Computes the new speed and waits for the request that ends first. */
void Backend::scheduleNext()
{
    ++this->epoch;
    if (this->running.empty()) {
        return;
    }
    const double load = std::max(1.0, static_cast<double>(this->running.size()) / this->capacityNow());
    this->tokensPerSecond = 1.0 / (std::chrono::duration<double>(this->truth.tokenTime).count() * load);
    double least = std::numeric_limits<double>::max();
    for (const auto &[id, entry] : this->running) {
        least = std::min(least, entry.remaining);
    }
    const std::chrono::duration<double> pause(std::max(0.0, least) / this->tokensPerSecond);
    this->events.after(std::chrono::ceil<Duration>(pause), [this, epoch = this->epoch] {
        if (epoch == this->epoch) {
            this->finishDue();
        }
    });
}

void Backend::finishDue()
{
    this->advance();
    std::vector<std::uint64_t> due;
    for (const auto &[id, entry] : this->running) {
        if (entry.remaining <= smallestRest) {
            due.push_back(id);
        }
    }
    for (const std::uint64_t id : due) {
        this->finish(id);
    }
    this->scheduleNext();
}

void Backend::finish(std::uint64_t id)
{
    const auto found = this->running.find(id);
    if (found == this->running.end()) {
        return;
    }
    if (this->loseAnswers > 0) {
        --this->loseAnswers;
        this->end(id, AttemptResult::ConnectionLost, Verdict::MayHaveRun);
    } else if (this->crossAnswers > 0) {
        --this->crossAnswers;
        this->end(id, AttemptResult::InvalidAnswer, Verdict::MayHaveRun);
    } else {
        this->completedCost += found->second.request.cost;
        this->end(id, AttemptResult::Completed, Verdict::Ran);
    }
}

void Backend::end(std::uint64_t id, AttemptResult result, Verdict verdict)
{
    const auto entry = this->running.extract(id);
    const Running &ended = entry.mapped();
    AttemptOutcome outcome;
    outcome.result = result;
    outcome.verdict = verdict;
    outcome.cost = ended.request.cost;
    const Duration perToken = (this->events.now() - ended.since) / std::max(1u, ended.request.cost);
    outcome.firstToken = perToken;
    outcome.perToken = perToken;
    outcome.generation = result == AttemptResult::Completed ? this->generation : 0;
    outcome.status = result == AttemptResult::Completed ? 200 : 0;
    outcome.answer = "answer to " + ended.request.name;
    ended.request.ended(outcome);
}

void Backend::cancel(std::uint64_t id)
{
    if (!this->truth.cancels || !this->running.contains(id)) {
        return;
    }
    this->advance();
    this->end(id, AttemptResult::CallerGone, Verdict::MayHaveRun);
    this->scheduleNext();
}

void Backend::restart()
{
    ++this->generation;
    ++this->restarts;
    this->startedAt = this->events.now();
    std::vector<std::uint64_t> ids;
    for (const auto &[id, entry] : this->running) {
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
        this->end(id, AttemptResult::ConnectionLost, Verdict::MayHaveRun);
    }
    this->scheduleNext();
}

}
