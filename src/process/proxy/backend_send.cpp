#include "process/proxy/backend_send.h"

#include <algorithm>

namespace eelgrassnotch::process::proxy
{

BackendSend::BackendSend(BackendPool &backendPool, AnswerMemory &answerMemory, directory::BackendServerPtr target,
                         const dispatch::Placement &placement, const request::Prompt &prompt, Duration longestIdle, Time now)
    : backend(std::move(target))
    , prediction(placement)
    , at(now)
    , held(answerMemory)
    , pool(backendPool)
{
    ++this->backend->inFlight;
    this->backend->recordAttempt(now);
    this->backend->pendingPrefillTokens += this->prediction.uncachedTokens;
    this->backend->prefixCache.recordPrompt(prompt);
    this->connection = this->pool.acquire(this->backend, longestIdle, now);
}

void BackendSend::noteHeader(const connection::http::AnswerHeader &answerHeader, const request::AnswerAttributes &attributes, Time now)
{
    this->header = answerHeader;
    this->answer = attributes;
    this->hasAnswered = true;
    this->backend->recordWaitEnd(this->at, true, now);
    if (attributes.retryAfter) {
        this->backend->recordClosed(*attributes.retryAfter, now);
    } else if (!attributes.isNotRun) {
        this->backend->recordAccepted();
    }
    if (attributes.running) {
        this->backend->loadReport = directory::LoadReport {*attributes.running, attributes.waiting.value_or(0), now};
    }
    if (attributes.coldLeft && *attributes.coldLeft > Duration(0)) {
        this->backend->coldUntil = std::max(this->backend->coldUntil, now + *attributes.coldLeft);
    }
}

void BackendSend::noteFirstEvent(Time now)
{
    this->hasEvent = true;
    this->forgetUnreadTokens();
    const Duration undelayed = this->prediction.firstEventDelay - this->prediction.queueDelay;
    this->backend->recordExcessDelay(now - this->at - undelayed, now);
}

void BackendSend::end(bool isCancelled, Time now)
{
    --this->backend->inFlight;
    if (!this->hasEvent) {
        this->forgetUnreadTokens();
    }
    this->backend->recordWaitEnd(this->at, this->hasAnswered, now);
    if (isCancelled) {
        this->connection->cancel();
    }
    this->pool.release(this->backend, this->connection, now);
}

void BackendSend::forgetUnreadTokens()
{
    this->backend->pendingPrefillTokens = std::max(0.0, this->backend->pendingPrefillTokens - this->prediction.uncachedTokens);
}

}
