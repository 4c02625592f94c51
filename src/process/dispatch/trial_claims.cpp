#include "process/dispatch/trial_claims.h"

#include "process/rendezvous.h"

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** A claim may be used when it is this old: by then all daemons know it, and have said so if theirs goes before. */
constexpr Duration claimTime = 700ms;
/** A claim ends after this time, with or without a result. */
constexpr Duration claimRetention = 3s;
/** Claims made within this time are as old as each other, as their ages include delays of messages. */
constexpr Duration claimUncertainty = 300ms;
/** Claims in a message: one datagram has to hold them beside the other evidence. */
constexpr std::size_t maxToldClaims = 16;

}

TrialClaims::TrialClaims(DaemonHandle ownDaemon, std::size_t mostParts)
    : self(ownDaemon)
    , claims(mostParts)
{
}

bool TrialClaims::isBefore(const Claim &claim, const Claim &other)
{
    if (claim.daemon == other.daemon) {
        return claim.since < other.since;
    }
    const Duration difference = claim.since - other.since;
    if (difference > claimUncertainty || difference < -claimUncertainty) {
        return difference < Duration(0);
    }
    return mixBits(claim.part ^ claim.daemon.id) > mixBits(other.part ^ other.daemon.id);
}

void TrialClaims::setUsed(const Claim &claim, bool isUsed)
{
    Claim changed = claim;
    changed.isUsed = isUsed;
    this->claims.put(changed);
}

QuarantineRuling TrialClaims::rule(std::uint64_t part, Time now)
{
    using Kind = QuarantineRuling::Kind;
    const Claim *known = this->claims.find(part);
    if (known == nullptr || now - known->since > claimRetention) {
        this->claims.erase(part);
        this->claims.put({part, now + claimRetention, this->self, now, false});
        return {Kind::Claim, part, claimTime};
    }
    if (known->daemon != this->self || known->isUsed || now - known->since < claimTime) {
        return {Kind::Refused, part, trialRetryAfter};
    }
    this->setUsed(*known, true);
    return {Kind::Trial, part, Duration(0)};
}

void TrialClaims::returnTrial(std::uint64_t part)
{
    if (const Claim *known = this->claims.find(part); known != nullptr && known->daemon == this->self) {
        this->setUsed(*known, false);
    }
}

void TrialClaims::update(Time now)
{
    this->claims.takeDue(now, [this](const Claim &due) { this->claims.erase(due.part); });
    this->claims.limit();
}

std::vector<exchange::TrialClaim> TrialClaims::evidence(Time now)
{
    std::vector<exchange::TrialClaim> told;
    this->claims.takeTurn([&](const Claim &claim) {
        if (told.size() == maxToldClaims) {
            return false;
        }
        if (now - claim.since < claimRetention - exchange::toldMargin) {
            told.push_back({claim.part, claim.daemon, now - claim.since});
        }
        return true;
    });
    return told;
}

void TrialClaims::merge(std::span<const exchange::TrialClaim> told, Time now)
{
    for (const exchange::TrialClaim &claim : told) {
        if (claim.age >= claimRetention || claim.daemon == this->self) {
            continue;
        }
        const Claim heard {claim.part, now - claim.age + claimRetention, claim.daemon, now - claim.age, false};
        if (const Claim *known = this->claims.find(claim.part); known == nullptr || isBefore(heard, *known)) {
            this->claims.put(heard);
        }
    }
    this->claims.limit();
}

}
