#include "process/dispatch/part_quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Evidence convicts when it is this old: by then every daemon that knows the part as sound has said so. */
constexpr Duration objectionTime = 700ms;
/** Losses are forgotten after this time. */
constexpr Duration lossRetention = 60s;
/** A part is not suspected while answers with it were being written here within this time. */
constexpr Duration soundPeriod = 1s;
/** When answers were written with a part is remembered for this long. */
constexpr Duration soundRetention = 10s;
/** A part stays quarantined for this long. A wrong quarantine ends earlier, with the first answer that is written with the part. */
constexpr Duration quarantineTime = 10min;
/** How long a part is told as sound after another daemon has suspected it. */
constexpr Duration objectionRetention = 2s;
/** What others tell of a sound part counts when it is newer by this than what is known; more than the delay of a message. */
constexpr Duration minSoundProgress = 300ms;
/** Bounds of the state, for floods of new parts. */
constexpr std::size_t maxSuspects = 16384;
constexpr std::size_t maxSoundParts = 16384;
constexpr std::size_t maxQuarantined = 2048;
constexpr std::size_t maxObjections = 2048;
/** Entries of each kind in a message: one datagram has to hold them. */
constexpr std::size_t maxToldSuspicions = 128;
constexpr std::size_t maxToldSuspicionsOfQuarantined = 96;
constexpr std::size_t maxToldSound = 64;
constexpr std::size_t maxToldQuarantined = 64;

/** @returns when a part with these losses is convicted, or else the first of them is forgotten. */
Time dueTime(const Losses &losses)
{
    const Time forgottenAt = losses.front().at + lossRetention;
    const auto convictedBy = convictingTime(losses);
    return convictedBy ? std::min(forgottenAt, *convictedBy + objectionTime) : forgottenAt;
}

}

PartQuarantine::PartQuarantine(ChangeHandler changeHandler, DaemonHandle ownDaemon)
    : onChange(std::move(changeHandler))
    , suspects(maxSuspects)
    , quarantined(maxQuarantined)
    , claims(ownDaemon, maxQuarantined)
    , soundParts(maxSoundParts)
    , objections(maxObjections)
{
}

void PartQuarantine::recordWritten(const request::Prompt &prompt, Time now)
{
    for (const request::PromptPart &part : prompt.sharedParts()) {
        if (this->setSound(part.id, now)) {
            this->object(part.id, now);
        }
    }
    this->limitState();
}

void PartQuarantine::recordLoss(std::uint32_t incarnation, const request::Prompt &prompt, Time now)
{
    for (const request::PromptPart &part : prompt.sharedParts()) {
        const SoundPart *sound = this->soundParts.find(part.id);
        if (sound == nullptr || now - sound->writtenAt > soundPeriod) {
            this->addSuspicion(part.id, {incarnation, now}, now);
        }
    }
    this->limitState();
}

void PartQuarantine::addSuspicion(std::uint64_t part, const Loss &loss, Time now)
{
    if (const SoundPart *sound = this->soundParts.find(part); sound != nullptr && sound->writtenAt >= loss.at) {
        return;
    }
    if (const QuarantinedPart *held = this->quarantined.find(part)) {
        QuarantinedPart changed = *held;
        if (addLoss(changed.losses, loss)) {
            this->lossCounts.add(held->losses, -1);
            this->lossCounts.add(changed.losses, 1);
            this->quarantined.put(changed);
            this->quarantined.renew(part);
        }
        return;
    }
    if (now - loss.at > lossRetention) {
        return;
    }
    const Suspect *known = this->suspects.find(part);
    Losses losses = known == nullptr ? Losses() : known->losses;
    if (addLoss(losses, loss)) {
        this->putSuspect(part, losses);
        this->suspects.renew(part);
    }
}

void PartQuarantine::putSuspect(std::uint64_t part, const Losses &losses)
{
    if (const Suspect *known = this->suspects.find(part)) {
        this->onSuspectErased(*known);
    }
    if (losses.empty()) {
        this->suspects.erase(part);
        return;
    }
    if (isRepeated(losses)) {
        this->lossCounts.add(losses, 1);
    }
    this->suspects.put({part, dueTime(losses), losses});
}

void PartQuarantine::onSuspectErased(const Suspect &suspect)
{
    if (isRepeated(suspect.losses)) {
        this->lossCounts.add(suspect.losses, -1);
    }
}

void PartQuarantine::object(std::uint64_t part, Time now)
{
    this->objections.put({part, now + objectionRetention});
}

bool PartQuarantine::setSound(std::uint64_t part, Time at)
{
    if (const SoundPart *known = this->soundParts.find(part); known == nullptr || known->writtenAt < at) {
        this->soundParts.put({part, at + soundRetention, at});
        this->soundParts.renew(part);
    }
    if (const QuarantinedPart *held = this->quarantined.find(part)) {
        if (at <= held->since) {
            return false;
        }
        this->onReleased(*held, "an answer was written with it");
        this->quarantined.erase(part);
        return true;
    }
    const Suspect *known = this->suspects.find(part);
    if (known == nullptr) {
        return false;
    }
    Losses losses = known->losses;
    const bool isCleared = removeLossesUntil(losses, at);
    if (isCleared) {
        this->putSuspect(part, losses);
    }
    return isCleared;
}

QuarantineRuling PartQuarantine::rule(const request::Prompt &prompt, Time now)
{
    const auto first = this->quarantinedPart(prompt);
    if (!first) {
        return {};
    }
    if (const auto convicting = this->convictingPart(prompt)) {
        return {QuarantineRuling::Kind::Refused, *convicting, std::max(this->remaining(*convicting, now), trialRetryAfter)};
    }
    return this->claims.rule(*first, now);
}

std::optional<std::uint64_t> PartQuarantine::convictingPart(const request::Prompt &prompt) const
{
    const auto shared = prompt.sharedParts();
    std::vector<std::uint64_t> parts(shared.size());
    std::transform(shared.begin(), shared.end(), parts.begin(), [](const request::PromptPart &part) { return part.id; });
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    std::vector<const QuarantinedPart *> held;
    LossCounts ownCounts;
    for (const std::uint64_t part : parts) {
        if (const QuarantinedPart *found = this->quarantined.find(part)) {
            held.push_back(found);
            ownCounts.add(found->losses, 1);
        } else if (const Suspect *suspect = this->suspects.find(part); suspect != nullptr && isRepeated(suspect->losses)) {
            ownCounts.add(suspect->losses, 1);
        }
    }
    const auto convicting = std::find_if(held.begin(), held.end(), [this, &ownCounts](const QuarantinedPart *part) {
        Losses unexplained;
        std::copy_if(part->losses.begin(), part->losses.end(), std::back_inserter(unexplained),
                     [this, &ownCounts](const Loss &loss) { return this->lossCounts.countAt(loss) <= ownCounts.countAt(loss); });
        const bool isLostSince = !unexplained.empty() && unexplained.back().at > part->since;
        return part->losses.empty() || isLostSince || convictingTime(unexplained).has_value();
    });
    return convicting == held.end() ? std::nullopt : std::optional((*convicting)->part);
}

void PartQuarantine::returnTrial(std::uint64_t part)
{
    this->claims.returnTrial(part);
}

std::optional<std::uint64_t> PartQuarantine::quarantinedPart(const request::Prompt &prompt) const
{
    const auto shared = prompt.sharedParts();
    const auto found = std::find_if(shared.begin(), shared.end(),
                                    [this](const request::PromptPart &part) { return this->quarantined.find(part.id) != nullptr; });
    return found == shared.end() ? std::nullopt : std::optional(found->id);
}

Duration PartQuarantine::remaining(std::uint64_t part, Time now) const
{
    const QuarantinedPart *held = this->quarantined.find(part);
    return held == nullptr ? Duration(0) : std::max(held->since + quarantineTime - now, Duration(0));
}

bool PartQuarantine::isSuspect(const request::Prompt &prompt) const
{
    const auto shared = prompt.sharedParts();
    return std::any_of(shared.begin(), shared.end(), [this](const request::PromptPart &part) {
        const Suspect *suspect = this->suspects.find(part.id);
        return (suspect != nullptr && isRepeated(suspect->losses)) || this->quarantined.find(part.id) != nullptr;
    });
}

void PartQuarantine::quarantine(std::uint64_t part, Time since, const std::string &cause)
{
    if (this->quarantined.find(part) != nullptr) {
        return;
    }
    QuarantinedPart held {part, since + quarantineTime, since, {}};
    if (const Suspect *suspect = this->suspects.find(part)) {
        held.losses = suspect->losses;
        this->onSuspectErased(*suspect);
        this->suspects.erase(part);
    }
    this->quarantined.put(held);
    this->lossCounts.add(held.losses, 1);
    this->onChange({part, true, static_cast<std::uint32_t>(held.losses.size()), cause});
}

void PartQuarantine::onReleased(const QuarantinedPart &held, const std::string &cause)
{
    this->lossCounts.add(held.losses, -1);
    this->onChange({held.part, false, 0, cause});
}

void PartQuarantine::updateSuspects(Time now)
{
    this->suspects.takeDue(now, [this, now](const Suspect &due) {
        Losses losses = due.losses;
        removeLossesUntil(losses, now - lossRetention);
        this->putSuspect(due.part, losses);
        if (const auto convictedBy = convictingTime(losses); convictedBy && *convictedBy <= now - objectionTime) {
            this->quarantine(due.part, now, "backend servers were lost");
        }
    });
}

void PartQuarantine::update(Time now)
{
    this->soundParts.takeDue(now, [this](const SoundPart &due) { this->soundParts.erase(due.part); });
    this->objections.takeDue(now, [this](const Objection &due) { this->objections.erase(due.part); });
    this->claims.update(now);
    this->quarantined.takeDue(now, [this](const QuarantinedPart &due) {
        this->quarantined.erase(due.part);
        this->onReleased(due, "expired");
    });
    this->updateSuspects(now);
    this->limitState();
}

void PartQuarantine::limitState()
{
    // A flood of new parts must not displace one that is suspected again and again.
    this->suspects.limit([](const Suspect &suspect) { return isRepeated(suspect.losses); },
                         [this](const Suspect &suspect) { this->onSuspectErased(suspect); });
    this->quarantined.limit([](const QuarantinedPart &) { return false; },
                            [this](const QuarantinedPart &held) { this->onReleased(held, "too many are quarantined"); });
    this->soundParts.limit();
    this->objections.limit();
}

std::uint64_t PartQuarantine::stepCount() const
{
    return this->suspects.stepCount() + this->quarantined.stepCount() + this->claims.stepCount() + this->soundParts.stepCount()
        + this->objections.stepCount();
}

exchange::PartEvidence PartQuarantine::evidence(Time now)
{
    exchange::PartEvidence told;
    this->objections.takeTurn([&](const Objection &objection) {
        if (told.sound.size() == maxToldSound) {
            return false;
        }
        if (const SoundPart *sound = this->soundParts.find(objection.part)) {
            told.sound.push_back({objection.part, now - sound->writtenAt});
        }
        return true;
    });
    const auto tellLosses = [&told, now](std::uint64_t part, const Losses &losses) {
        for (const Loss &loss : losses) {
            told.suspicions.push_back({part, loss.incarnation, now - loss.at});
        }
    };
    const auto hasRoomFor = [&told](const Losses &losses, std::size_t most) { return told.suspicions.size() + losses.size() <= most; };
    this->quarantined.takeTurn([&](const QuarantinedPart &held) {
        if (told.quarantined.size() == maxToldQuarantined || !hasRoomFor(held.losses, maxToldSuspicionsOfQuarantined)) {
            return false;
        }
        if (now - held.since < quarantineTime - exchange::toldMargin) {
            told.quarantined.push_back({held.part, now - held.since});
            tellLosses(held.part, held.losses);
        }
        return true;
    });
    this->suspects.takeTurn([&](const Suspect &suspect) {
        if (!hasRoomFor(suspect.losses, maxToldSuspicions)) {
            return false;
        }
        if (now - suspect.losses.back().at < lossRetention - exchange::toldMargin) {
            tellLosses(suspect.part, suspect.losses);
        }
        return true;
    });
    told.trials = this->claims.evidence(now);
    return told;
}

void PartQuarantine::merge(const exchange::PartEvidence &evidence, Time now)
{
    for (const exchange::PartAge &sound : evidence.sound) {
        const Time at = now - sound.age;
        // Each hop makes it look newer by its delay; without a margin it would go round for ever.
        if (const SoundPart *known = this->soundParts.find(sound.part); known == nullptr || known->writtenAt + minSoundProgress < at) {
            this->object(sound.part, now);
            this->setSound(sound.part, at);
        }
    }
    for (const exchange::PartAge &held : evidence.quarantined) {
        const SoundPart *sound = this->soundParts.find(held.part);
        const Time since = now - held.age;
        if (held.age < quarantineTime && (sound == nullptr || sound->writtenAt < since)) {
            this->quarantine(held.part, since, "another daemon found it");
        }
    }
    for (const exchange::Suspicion &suspicion : evidence.suspicions) {
        if (this->soundParts.find(suspicion.part) != nullptr) {
            this->object(suspicion.part, now);
        }
        this->addSuspicion(suspicion.part, {suspicion.incarnation, now - suspicion.age}, now);
    }
    this->claims.merge(evidence.trials, now);
    this->limitState();
}

}
