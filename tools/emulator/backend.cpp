#include "emulator/backend.h"

#include <algorithm>
#include <vector>

namespace eelgrassnotch::emulator
{

using request::AttemptOutcome;
using request::AttemptResult;

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
    const double load = static_cast<double>(this->running.size() + 1) / this->capacityNow();
    const auto perToken = std::chrono::duration_cast<Duration>(this->truth.tokenTime * std::max(1.0, load));
    this->running[id] = {request, this->events.now(), perToken};
    this->excess = std::max(this->excess, static_cast<double>(this->running.size()) - this->bears());
    if (load > this->truth.fallOver) {
        this->restart();
        return id;
    }
    this->events.after(perToken * request.cost, [this, id] { this->finish(id); });
    return id;
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
    outcome.firstToken = ended.perToken;
    outcome.perToken = ended.perToken;
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
    this->end(id, AttemptResult::CallerGone, Verdict::MayHaveRun);
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
}

}
