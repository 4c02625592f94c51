#pragma once

/** @file At most once: claims of non-idempotent requests at the platform. */

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

/** @brief Answer of the first request under the same idempotency key. */
struct ReplayedAnswer {
    int status = 0;
    std::string body;

    bool operator==(const ReplayedAnswer &) const = default;
};

/** @brief Outcome of a claim: exactly one of the three. */
struct ClaimDecision {
    bool granted = false;
    std::optional<ReplayedAnswer> replay;
    std::optional<Refusal> refusal;
};

/** @brief Counters of claims, by outcome. */
struct ClaimStats {
    std::uint64_t granted = 0;
    std::uint64_t replayed = 0;
    std::uint64_t refused = 0;
    std::uint64_t recovered = 0; ///< Own claim found after a lost answer.

    bool operator==(const ClaimStats &) const = default;
};

/**
 * @brief Claims idempotency keys by conditional create at the platform.
 *
 * The object's name is a fingerprint of workspace, service and key, so that
 * every daemon finds the same record without a directory. Its state runs from
 * "claimed" to "done" or "unknown"; only "done" carries an answer.
 *
 * @remarks Without an answer from the platform the request is refused as not
 * run, and the claim that may have been made is removed later.
 */
class IdempotencyClaims
{
public:
    using Callback = std::function<void(const ClaimDecision &decision)>;

    /** @param owner Name of the daemon and its incarnation; makes claims recognizable. */
    IdempotencyClaims(PlatformStore &store, std::string owner);

    /** @brief Claims a key for a request. @param request Id of the request in this daemon. */
    void claim(std::uint64_t request, const request::RequestInfo &info, Time now, Callback callback);
    /** @brief Records how the claimed request ended. */
    void recordOutcome(std::uint64_t request, Verdict verdict, int status, const std::string &answer);
    /** @brief Times out undecided claims, removes abandoned and expired ones. */
    void advance(Time now);

    const ClaimStats &stats() const
    {
        return this->counters;
    }
    std::size_t size() const
    {
        return this->grantedClaims.size();
    }

private:
    struct PendingClaim {
        std::string key;
        std::string value;
        std::string token;
        std::string fingerprint;
        Time deadline {0};
        Callback callback;
    };
    struct GrantedClaim {
        std::string key;
        std::string token;
        std::string fingerprint;
    };
    struct SettledClaim {
        std::string key;
        Time expires {0};
    };

    void createRecord(std::uint64_t request);
    void readRecord(std::uint64_t request, bool afterConflict);
    void evaluateRecord(std::uint64_t request, const StoreAnswer &answer, bool afterConflict);
    void complete(std::uint64_t request, const ClaimDecision &decision);
    void refuse(std::uint64_t request, RefusalReason reason, Verdict verdict, const std::string &detail);
    void writeOutcome(const GrantedClaim &claim, const std::string &state, int status, const std::string &answer, int remainingTries);
    void removeOwnRecord(const std::string &key, const std::string &token, int remainingTries);
    std::string serializeRecord(const GrantedClaim &claim, const std::string &state, int status, const std::string &answer) const;

    PlatformStore &store;
    std::string owner;
    Time now {0};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Lets late callbacks notice the end of this object.
    std::map<std::uint64_t, PendingClaim> pendingClaims;
    std::map<std::uint64_t, GrantedClaim> grantedClaims;
    std::deque<SettledClaim> settledClaims;
    std::map<std::string, std::string> abandonedClaims; ///< Key to token.
    Time nextCleanup {0};
    ClaimStats counters;
};

}
