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
    , ownPromptTokens(prompt.tokens - std::min(prompt.sharedTokens(), prompt.tokens))
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
        engine::EngineSpeedModel::recordReport(this->backend->engineState, *attributes.slowness, now);
    }
    if (attributes.coldLeft && *attributes.coldLeft > Duration(0)) {
        this->backend->coldUntil = std::max(this->backend->coldUntil, now + *attributes.coldLeft);
    }
}

void BackendAttempt::onFirstEvent(engine::EngineSpeedModel *speedModel, Time now)
{
    this->hasFirstEvent = true;
    this->firstEventAt = now;
    this->removePendingPrefill();
    // What an engine reads is unknown when the request waited for others, or may have copied the shared parts from another engine.
    const bool mayHaveCopied = this->prediction.fetchSource && this->prediction.uncachedTokens > this->ownPromptTokens;
    if (speedModel != nullptr && this->answer.waiting.value_or(0) == 0 && !mayHaveCopied) {
        const Duration roundTrip = this->backend->locality ? this->backend->locality->roundTrip : Duration(0);
        const double uncachedTokens = this->prediction.uncachedTokens;
        speedModel->recordFirstEvent(this->backend->engineState,
                                     {uncachedTokens, now - this->startedAt, this->prediction.queueDelay, roundTrip}, now);
    }
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
