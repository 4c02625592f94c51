#include "process/proxy/backend_attempt.h"

#include <algorithm>

namespace eelgrassnotch::process::proxy
{

BackendAttempt::BackendAttempt(BackendConnectionPool &backendPool, AnswerBufferBudget &answerBufferBudget,
                               directory::BackendServerPtr target, const dispatch::Placement &placement, const request::Prompt &prompt,
                               double expectedTokens, Duration maxIdleTime, Time now)
    : backend(std::move(target))
    , prediction(placement)
    , startedAt(now)
    , bufferUsage(answerBufferBudget)
    , pool(backendPool)
    , committedTokens(expectedTokens)
{
    ++this->backend->inFlight;
    this->backend->memory.begin(this->committedTokens);
    this->backend->recordAttempt(now);
    this->backend->pendingPrefillTokens += this->prediction.uncachedTokens;
    this->backend->prefixCache.recordPrompt(prompt, now);
    this->connection = this->pool.acquire(this->backend, maxIdleTime, now);
}

void BackendAttempt::onHeader(const connection::http::AnswerHeader &answerHeader, const request::AnswerAttributes &attributes, Time now)
{
    this->header = answerHeader;
    this->answer = attributes;
    this->hasHeader = true;
    this->backend->recordWaitEnd(this->startedAt, true, now);
    if (attributes.retryAfter) {
        this->backend->recordBackoff(*attributes.retryAfter, now);
    } else if (!attributes.isNotRun) {
        this->backend->recordAccepted();
    }
    if (attributes.running) {
        this->backend->loadReport = directory::LoadReport {*attributes.running, attributes.waiting.value_or(0), now};
    }
    if (attributes.slowness) {
        this->backend->slowness.record(*attributes.slowness, now);
    }
    if (attributes.coldLeft && *attributes.coldLeft > Duration(0)) {
        this->backend->coldUntil = std::max(this->backend->coldUntil, now + *attributes.coldLeft);
    }
}

void BackendAttempt::onFirstEvent(Time now)
{
    this->hasFirstEvent = true;
    this->firstEventAt = now;
    this->removePendingPrefill();
    const Duration undelayed = this->prediction.firstEventDelay - this->prediction.queueDelay;
    this->backend->recordExcessDelay(now - this->startedAt - undelayed, now);
}

void BackendAttempt::end(bool isCancelled, Time now)
{
    --this->backend->inFlight;
    this->backend->memory.end(this->committedTokens);
    if (!this->hasFirstEvent) {
        this->removePendingPrefill();
    }
    this->backend->recordWaitEnd(this->startedAt, this->hasHeader, now);
    if (isCancelled) {
        this->connection->cancel();
    }
    this->pool.release(this->backend, this->connection, now);
}

void BackendAttempt::removePendingPrefill()
{
    this->backend->pendingPrefillTokens = std::max(0.0, this->backend->pendingPrefillTokens - this->prediction.uncachedTokens);
}

}
