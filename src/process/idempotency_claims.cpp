#include "process/idempotency_claims.h"

#include "eelgrassnotch/config.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace eelgrassnotch::process
{

namespace
{

constexpr int maxWriteTries = 5;
constexpr Duration cleanupInterval = std::chrono::seconds(3);
constexpr std::string_view stateClaimed = "claimed";
constexpr std::string_view stateDone = "done";
constexpr std::string_view stateUnknown = "unknown";

/** Claim record as stored at the platform. */
struct ClaimRecord {
    std::string token;
    std::string fingerprint;
    std::string state;
    int status = 0;
    std::string answer;
};

std::optional<ClaimRecord> parseRecord(const std::string &value)
{
    const nlohmann::json document = nlohmann::json::parse(value, nullptr, false);
    if (!document.is_object()) {
        return std::nullopt;
    }
    ClaimRecord record;
    record.token = document.value("token", "");
    record.fingerprint = document.value("fingerprint", "");
    record.state = document.value("state", "");
    record.status = document.value("status", 0);
    record.answer = document.value("answer", "");
    return record;
}

}

IdempotencyClaims::IdempotencyClaims(PlatformStore &store, std::string owner)
    : store(store)
    , owner(std::move(owner))
{
}

void IdempotencyClaims::claim(std::uint64_t request, const request::RequestInfo &info, Time claimedAt, Callback callback)
{
    this->now = claimedAt;
    if (this->pendingClaims.size() + this->grantedClaims.size() >= config::maxClaimsCached) {
        callback(
            {false, std::nullopt, Refusal {RefusalReason::ClaimUnavailable, Verdict::NotRun, config::minRetryAfter, "too many claims"}});
        return;
    }
    const std::string token = this->owner + "/" + std::to_string(request);
    const GrantedClaim claim {"claims/" + info.claimName, token, info.fingerprint};
    const std::string value = this->serializeRecord(claim, std::string(stateClaimed), 0, "");
    this->pendingClaims[request] = {claim.objectKey, value, token, info.fingerprint, claimedAt + config::claimTimeout, std::move(callback)};
    this->createRecord(request);
}

void IdempotencyClaims::createRecord(std::uint64_t request)
{
    const PendingClaim &claim = this->pendingClaims.at(request);
    const auto onAnswer = [this, request, weakLifetime = std::weak_ptr<bool>(this->lifetime)](const StoreAnswer &answer) {
        if (weakLifetime.expired() || !this->pendingClaims.contains(request)) {
            return;
        }
        if (answer.status == StoreStatus::Ok) {
            this->complete(request, {true, std::nullopt, std::nullopt});
            return;
        }
        this->readRecord(request, answer.status == StoreStatus::Conflict);
    };
    this->store.create(claim.objectKey, claim.value, onAnswer);
}

void IdempotencyClaims::readRecord(std::uint64_t request, bool afterConflict)
{
    const auto onAnswer = [this, request, afterConflict, weakLifetime = std::weak_ptr<bool>(this->lifetime)](const StoreAnswer &answer) {
        if (!weakLifetime.expired() && this->pendingClaims.contains(request)) {
            this->evaluateRecord(request, answer, afterConflict);
        }
    };
    this->store.read(this->pendingClaims.at(request).objectKey, onAnswer);
}

void IdempotencyClaims::evaluateRecord(std::uint64_t request, const StoreAnswer &answer, bool afterConflict)
{
    const PendingClaim &claim = this->pendingClaims.at(request);
    if (answer.status == StoreStatus::Unknown) {
        this->refuse(request, RefusalReason::ClaimUnavailable, Verdict::NotRun, "the platform does not answer");
        return;
    }
    const std::optional<ClaimRecord> record = answer.status == StoreStatus::Ok ? parseRecord(answer.value) : std::nullopt;
    if (!record) {
        this->createRecord(request);
        return;
    }
    if (record->token == claim.token) {
        this->counters.recovered += afterConflict ? 0 : 1;
        this->complete(request, {true, std::nullopt, std::nullopt});
        return;
    }
    if (record->fingerprint != claim.fingerprint) {
        this->refuse(request, RefusalReason::ClaimConflict, Verdict::NotRun, "the idempotency key was used with another request");
        return;
    }
    if (record->state == stateDone) {
        this->complete(request, {false, ReplayedAnswer {record->status, record->answer}, std::nullopt});
        return;
    }
    this->refuse(request, RefusalReason::ClaimInProgress, Verdict::MayHaveRun,
                 "the first request with this idempotency key has no known outcome yet");
}

void IdempotencyClaims::complete(std::uint64_t request, const ClaimDecision &decision)
{
    const auto entry = this->pendingClaims.extract(request);
    const PendingClaim &claim = entry.mapped();
    if (decision.granted) {
        ++this->counters.granted;
        this->grantedClaims[request] = {claim.objectKey, claim.token, claim.fingerprint};
    } else {
        ++(decision.replay ? this->counters.replayed : this->counters.refused);
    }
    claim.callback(decision);
}

void IdempotencyClaims::refuse(std::uint64_t request, RefusalReason reason, Verdict verdict, const std::string &detail)
{
    if (reason == RefusalReason::ClaimUnavailable) {
        const PendingClaim &claim = this->pendingClaims.at(request);
        this->abandonedClaims[claim.objectKey] = claim.token;
    }
    const Duration retryAfter = reason == RefusalReason::ClaimConflict ? Duration {0} : config::minRetryAfter;
    this->complete(request, {false, std::nullopt, Refusal {reason, verdict, retryAfter, detail}});
}

void IdempotencyClaims::recordOutcome(std::uint64_t request, Verdict verdict, int status, const std::string &answer)
{
    const auto entry = this->grantedClaims.extract(request);
    if (entry.empty()) {
        return;
    }
    const GrantedClaim &claim = entry.mapped();
    if (verdict == Verdict::NotRun) {
        this->abandonedClaims[claim.objectKey] = claim.token;
        this->removeOwnRecord(claim.objectKey, claim.token, maxWriteTries);
        return;
    }
    const bool keepsAnswer = verdict == Verdict::Ran && answer.size() <= config::maxClaimAnswerBytes;
    const std::string_view state = verdict == Verdict::Ran ? stateDone : stateUnknown;
    this->expiringClaims.push_back({claim.objectKey, this->now + config::claimLifetime});
    this->writeOutcome(claim, std::string(state), status, keepsAnswer ? answer : "", maxWriteTries);
}

void IdempotencyClaims::writeOutcome(const GrantedClaim &claim, const std::string &state, int status, const std::string &answer,
                                     int remainingTries)
{
    if (remainingTries == 0) {
        return;
    }
    const auto onUpdated = [=, this, weakLifetime = std::weak_ptr<bool>(this->lifetime)](const StoreAnswer &written) {
        const bool isRetryNeeded = written.status == StoreStatus::Unknown || written.status == StoreStatus::Conflict;
        if (!weakLifetime.expired() && isRetryNeeded) {
            this->writeOutcome(claim, state, status, answer, remainingTries - 1);
        }
    };
    const auto onRead = [=, this, weakLifetime = std::weak_ptr<bool>(this->lifetime)](const StoreAnswer &current) {
        if (weakLifetime.expired()) {
            return;
        }
        if (current.status == StoreStatus::Unknown) {
            this->writeOutcome(claim, state, status, answer, remainingTries - 1);
            return;
        }
        const std::optional<ClaimRecord> record = parseRecord(current.value);
        if (current.status == StoreStatus::Ok && record && record->token == claim.token && record->state == stateClaimed) {
            this->store.update(claim.objectKey, this->serializeRecord(claim, state, status, answer), current.version, onUpdated);
        }
    };
    this->store.read(claim.objectKey, onRead);
}

void IdempotencyClaims::removeOwnRecord(const std::string &objectKey, const std::string &token, int remainingTries)
{
    const auto onRead = [=, this, weakLifetime = std::weak_ptr<bool>(this->lifetime)](const StoreAnswer &current) {
        if (weakLifetime.expired() || current.status == StoreStatus::Unknown) {
            return;
        }
        const std::optional<ClaimRecord> record = parseRecord(current.value);
        const bool isOwn = current.status == StoreStatus::Ok && record && record->token == token && record->state == stateClaimed;
        if (!isOwn) {
            this->abandonedClaims.erase(objectKey);
            return;
        }
        this->store.remove(objectKey, current.version, [this, objectKey, weakLifetime](const StoreAnswer &removed) {
            if (!weakLifetime.expired() && removed.status == StoreStatus::Ok) {
                this->abandonedClaims.erase(objectKey);
            }
        });
    };
    if (remainingTries > 0) {
        this->store.read(objectKey, onRead);
    }
}

void IdempotencyClaims::advance(Time advancedAt)
{
    this->now = advancedAt;
    std::vector<std::uint64_t> timedOut;
    for (const auto &[request, claim] : this->pendingClaims) {
        if (claim.deadline <= advancedAt) {
            timedOut.push_back(request);
        }
    }
    for (const std::uint64_t request : timedOut) {
        this->refuse(request, RefusalReason::ClaimUnavailable, Verdict::NotRun, "the platform does not answer");
    }
    if (advancedAt < this->nextCleanup) {
        return;
    }
    this->nextCleanup = advancedAt + cleanupInterval;
    for (const auto &[objectKey, token] : this->abandonedClaims) {
        this->removeOwnRecord(objectKey, token, 1);
    }
    while (!this->expiringClaims.empty() && this->expiringClaims.front().expires <= advancedAt) {
        const std::string objectKey = this->expiringClaims.front().objectKey;
        this->expiringClaims.pop_front();
        this->store.read(objectKey, [this, objectKey, weakLifetime = std::weak_ptr<bool>(this->lifetime)](const StoreAnswer &current) {
            if (!weakLifetime.expired() && current.status == StoreStatus::Ok) {
                this->store.remove(objectKey, current.version, [](const StoreAnswer &) {});
            }
        });
    }
}

std::string IdempotencyClaims::serializeRecord(const GrantedClaim &claim, const std::string &state, int status,
                                               const std::string &answer) const
{
    const nlohmann::json record {
        {"token", claim.token}, {"fingerprint", claim.fingerprint}, {"state", state}, {"status", status}, {"answer", answer}};
    return record.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
