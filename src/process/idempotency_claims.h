#pragma once

/** @file Claims of idempotency keys at the platform, so that non-idempotent requests run at most once. */

#include "eelgrassnotch/types.h"
#include "eelgrassnotch/verdict.h"
#include "process/platform_store.h"
#include "request/attempt.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace eelgrassnotch::process
{

/** @brief Stored answer to an earlier request with the same idempotency key. */
struct ReplayedAnswer {
    int status = 0;
    std::string body;

    bool operator==(const ReplayedAnswer &) const = default;
};

/** @brief Decision on a claim: granted, answered by a stored answer, or refused; exactly one member is set. */
struct ClaimDecision {
    bool granted = false;
    std::optional<ReplayedAnswer> replay;
    std::optional<Refusal> refusal;
};

/** @brief Counters of claims, by decision. */
struct ClaimStats {
    std::uint64_t granted = 0;
    std::uint64_t replayed = 0;
    std::uint64_t refused = 0;
    std::uint64_t recovered = 0; ///< Claims found to be held by this daemon after the platform's answer was lost.

    bool operator==(const ClaimStats &) const = default;
};

/**
 * @brief Claims idempotency keys by creating an object for each at the platform; creation fails if the object exists.
 *
 * The object's name is a hash of workspace, service and idempotency key, so that
 * every daemon derives the same name. The record's state changes from "claimed"
 * to "done" or "unknown"; only "done" carries an answer.
 *
 * @remarks When the platform does not answer, the request is refused with the
 * verdict "not run", and the claim that may have been created is removed later.
 */
class IdempotencyClaims
{
public:
    using Callback = std::function<void(const ClaimDecision &decision)>;

    /** @param owner Name and incarnation of this daemon, by which it recognizes its own claims. */
    IdempotencyClaims(PlatformStore &store, std::string owner);

    /**
     * @brief Claims the idempotency key of a request.
     * @param request Id of the request in this daemon.
     */
    void claim(std::uint64_t request, const request::RequestInfo &info, Time now, Callback callback);
    /** @brief Writes the outcome of a request into its claim, or removes the claim if the request did not run. */
    void recordOutcome(std::uint64_t request, Verdict verdict, int status, const std::string &answer);
    /** @brief Refuses pending claims past their deadline, and removes the records of abandoned and expired claims. */
    void advance(Time now);

    const ClaimStats &stats() const
    {
        return this->counters;
    }
    std::size_t grantedCount() const
    {
        return this->grantedClaims.size();
    }

private:
    struct PendingClaim {
        std::string objectKey;
        std::string value;
        std::string token;
        std::string fingerprint;
        Time deadline {0};
        Callback callback;
    };
    struct GrantedClaim {
        std::string objectKey;
        std::string token;
        std::string fingerprint;
    };
    struct ExpiringClaim {
        std::string objectKey;
        Time expires {0};
    };

    void createRecord(std::uint64_t request);
    void readRecord(std::uint64_t request, bool afterConflict);
    void evaluateRecord(std::uint64_t request, const StoreAnswer &answer, bool afterConflict);
    void complete(std::uint64_t request, const ClaimDecision &decision);
    void refuse(std::uint64_t request, RefusalReason reason, Verdict verdict, const std::string &detail);
    void writeOutcome(const GrantedClaim &claim, const std::string &state, int status, const std::string &answer, int remainingTries);
    void removeOwnRecord(const std::string &objectKey, const std::string &token, int remainingTries);
    std::string serializeRecord(const GrantedClaim &claim, const std::string &state, int status, const std::string &answer) const;

    PlatformStore &store;
    std::string owner;
    Time now {0};
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true); ///< Callbacks detect by it that this object is gone.
    std::map<std::uint64_t, PendingClaim> pendingClaims;
    std::map<std::uint64_t, GrantedClaim> grantedClaims;
    std::deque<ExpiringClaim> expiringClaims;
    std::map<std::string, std::string> abandonedClaims; ///< Tokens by object key.
    Time nextCleanup {0};
    ClaimStats counters;
};

}
