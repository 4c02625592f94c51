#pragma once

/** @file Finds prompt parts that end backend servers, and keeps requests with such a part from being sent. */

#include "eelgrassnotch/types.h"
#include "process/dispatch/part_losses.h"
#include "process/dispatch/part_table.h"
#include "process/dispatch/quarantine_ruling.h"
#include "process/dispatch/trial_claims.h"
#include "process/exchange/part_evidence.h"
#include "request/attributes.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace eelgrassnotch::process::dispatch
{

/** @brief A part was quarantined, or released again. */
struct QuarantineChange {
    std::uint64_t part = 0;
    bool isQuarantined = false;
    std::uint32_t backends = 0; ///< Lost incarnations that speak against the part, as far as this daemon knows.
    std::string cause;

    bool operator==(const QuarantineChange &) const = default;
};

/**
 * @brief Decides from losses of backend servers which prompt parts end them.
 *
 * A loss makes the shared parts of those requests suspect that the backend server
 * had not begun to answer. An answer that is being written clears all parts of
 * its request. What is left after losses at several distinct times is quarantined;
 * parts that many requests share are cleared by the others. Losses at the same
 * time count once: a power cut or a network fault ends many backend servers
 * without regard to what they work on.
 *
 * Parts that came only together are quarantined together. A request that has
 * all of them is refused. One that has some of them is sent as a trial, one at
 * a time in the fleet: its answer releases its parts, its loss leaves the
 * quarantine to them.
 *
 * Each daemon sees a part of the evidence; evidence() and merge() make it common
 * to all. Every daemon then decides by itself, by the same rule.
 *
 * @remarks Load pattern: one request in twenty ends the backend server that begins to answer it, and takes down the other requests there.
 */
class PartQuarantine
{
public:
    using ChangeHandler = std::function<void(const QuarantineChange &)>;

    /** @param ownDaemon The daemon that claims trials. */
    explicit PartQuarantine(ChangeHandler changeHandler, DaemonHandle ownDaemon = {});

    /** @brief Records that an answer to a request with this prompt is being written: none of its parts ends backend servers. */
    void recordWritten(const request::Prompt &prompt, Time now);
    /** @brief Records that a backend server was lost before it had begun to answer a request with this prompt. */
    void recordLoss(std::uint32_t incarnation, const request::Prompt &prompt, Time now);

    /** @brief Decides on a request that is about to be sent. Makes a claim for a trial, or uses up the one that was made. */
    QuarantineRuling rule(const request::Prompt &prompt, Time now);
    /** @brief Records that a trial ended before it was sent: the next request with the part may be one. */
    void returnTrial(std::uint64_t part);
    /** @returns the quarantined part of the prompt; nullopt if there is none. */
    std::optional<std::uint64_t> quarantinedPart(const request::Prompt &prompt) const;
    /** @returns how much longer the part stays quarantined; zero when it isn't. */
    Duration remaining(std::uint64_t part, Time now) const;
    /** @returns whether backend servers were lost more than once before they had begun to answer requests with a part of the prompt. */
    bool isSuspect(const request::Prompt &prompt) const;

    /** @brief Decides on quarantine from the evidence, and drops what is too old. */
    void update(Time now);

    /** @returns what to tell other daemons: what has changed, and of the rest as much as a message holds, in turn. */
    exchange::PartEvidence evidence(Time now);
    /** @brief Adds what another daemon knows. */
    void merge(const exchange::PartEvidence &evidence, Time now);

    /** @returns suspected parts that are kept, for tests of the bound. */
    std::size_t suspectCount() const
    {
        return this->suspects.size();
    }
    /** @returns entries that were changed or looked at in a row, for tests of the work that is done. */
    std::uint64_t stepCount() const;

private:
    /** @brief Part that is not quarantined. */
    struct Suspect {
        std::uint64_t part = 0;
        Time dueAt {0}; ///< When it is convicted, or a loss is forgotten.
        Losses losses;
    };

    struct QuarantinedPart {
        std::uint64_t part = 0;
        Time dueAt {0}; ///< When it is released.
        Time since {0};
        Losses losses;
    };

    struct SoundPart {
        std::uint64_t part = 0;
        Time dueAt {0}; ///< When it is forgotten.
        Time writtenAt {0}; ///< When an answer was last being written to a request with the part.
    };

    /** @brief Part that others suspect and this daemon knows as sound. */
    struct Objection {
        std::uint64_t part = 0;
        Time dueAt {0}; ///< Until when it is told.
    };

    void addSuspicion(std::uint64_t part, const Loss &loss, Time now);
    void putSuspect(std::uint64_t part, const Losses &losses);
    void onSuspectErased(const Suspect &suspect);
    void object(std::uint64_t part, Time now);
    /** @returns whether this ends a suspicion or a quarantine. */
    bool setSound(std::uint64_t part, Time at);
    void quarantine(std::uint64_t part, Time since, const std::string &cause);
    void onReleased(const QuarantinedPart &held, const std::string &cause);
    void updateSuspects(Time now);
    /** @returns the quarantined part whose losses speak against the request even without the parts that it doesn't have; nullopt if there
     * is none. */
    std::optional<std::uint64_t> convictingPart(const request::Prompt &prompt) const;
    void limitState();

    ChangeHandler onChange;
    PartTable<Suspect> suspects;
    PartTable<QuarantinedPart> quarantined;
    TrialClaims claims;
    LossCounts lossCounts; ///< Of quarantined parts, and of suspects with several losses.
    PartTable<SoundPart> soundParts;
    PartTable<Objection> objections;
};

}
