#include "process/dispatch/part_quarantine.h"

#include <algorithm>

namespace eelgrassnotch::process::dispatch
{

namespace
{

using namespace std::chrono_literals;

/** Losses at this many distinct times, of as many incarnations, convict a part. */
constexpr std::size_t minLossTimes = 3;
/** Losses closer to each other than this count as one: reports of one event differ by the lag of the daemons that saw it. */
constexpr Duration lossSeparation = 250ms;
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
constexpr std::size_t maxSuspects = 256;
constexpr std::size_t maxLossesPerPart = 16;
constexpr std::size_t maxSoundParts = 4096;
constexpr std::size_t maxQuarantined = 64;
/** Entries of each kind in a message: one datagram has to hold them. */
constexpr std::size_t maxToldSuspicions = 64;
constexpr std::size_t maxToldSound = 64;

/** @returns at how many distinct times incarnations were lost, up to a time. */
std::size_t countLossTimes(const std::map<std::uint32_t, Time> &losses, Time until)
{
    std::vector<Time> times;
    for (const auto &[backend, at] : losses) {
        if (at <= until) {
            times.push_back(at);
        }
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    Time last = Time::min();
    for (const Time at : times) {
        if (count == 0 || at - last >= lossSeparation) {
            ++count;
            last = at;
        }
    }
    return count;
}

void removeOldest(std::map<std::uint64_t, Time> &entries, std::size_t most)
{
    while (entries.size() > most) {
        entries.erase(std::min_element(entries.begin(), entries.end(),
                                       [](const auto &left, const auto &right) { return left.second < right.second; }));
    }
}

}

PartQuarantine::PartQuarantine(ChangeHandler changeHandler)
    : onChange(std::move(changeHandler))
{
}

void PartQuarantine::recordWritten(const request::Prompt &prompt, Time now)
{
    for (const request::PromptPart &part : prompt.sharedParts()) {
        this->setSound(part.id, now);
    }
}

void PartQuarantine::recordLoss(std::uint32_t backend, const request::Prompt &prompt, Time now)
{
    for (const request::PromptPart &part : prompt.sharedParts()) {
        const auto sound = this->soundAt.find(part.id);
        if (sound == this->soundAt.end() || now - sound->second > soundPeriod) {
            this->addSuspicion(part.id, backend, now);
        }
    }
    this->limitState();
}

void PartQuarantine::addSuspicion(std::uint64_t part, std::uint32_t backend, Time at)
{
    if (const auto sound = this->soundAt.find(part); sound != this->soundAt.end() && sound->second >= at) {
        return;
    }
    Losses &losses = this->suspects[part];
    if (const auto known = losses.find(backend); known != losses.end()) {
        known->second = std::min(known->second, at);
    } else if (losses.size() < maxLossesPerPart) {
        losses.emplace(backend, at);
    }
}

void PartQuarantine::setSound(std::uint64_t part, Time at)
{
    const auto [entry, isNew] = this->soundAt.try_emplace(part, at);
    entry->second = std::max(entry->second, at);
    if (const auto suspect = this->suspects.find(part); suspect != this->suspects.end()) {
        std::erase_if(suspect->second, [at](const auto &loss) { return loss.second <= at; });
        if (suspect->second.empty()) {
            this->suspects.erase(suspect);
        }
    }
    if (const auto held = this->quarantined.find(part); held != this->quarantined.end() && at > held->second) {
        this->quarantined.erase(held);
        this->onChange({part, false, 0, "an answer was written with it"});
    }
}

std::optional<std::uint64_t> PartQuarantine::quarantinedPart(const request::Prompt &prompt) const
{
    const auto shared = prompt.sharedParts();
    const auto found = std::find_if(shared.begin(), shared.end(),
                                    [this](const request::PromptPart &part) { return this->quarantined.contains(part.id); });
    return found == shared.end() ? std::nullopt : std::optional(found->id);
}

Duration PartQuarantine::remaining(std::uint64_t part, Time now) const
{
    const auto held = this->quarantined.find(part);
    return held == this->quarantined.end() ? Duration(0) : std::max(held->second + quarantineTime - now, Duration(0));
}

bool PartQuarantine::isSuspect(const request::Prompt &prompt) const
{
    const auto shared = prompt.sharedParts();
    return std::any_of(shared.begin(), shared.end(), [this](const request::PromptPart &part) {
        const auto found = this->suspects.find(part.id);
        return found != this->suspects.end() && found->second.size() > 1;
    });
}

void PartQuarantine::quarantine(std::uint64_t part, Time since, const std::string &cause)
{
    if (this->quarantined.try_emplace(part, since).second) {
        const auto suspect = this->suspects.find(part);
        const std::size_t backends = suspect == this->suspects.end() ? 0 : suspect->second.size();
        this->onChange({part, true, static_cast<std::uint32_t>(backends), cause});
    }
}

void PartQuarantine::update(Time now)
{
    std::erase_if(this->soundAt, [now](const auto &entry) { return now - entry.second > soundRetention; });
    std::erase_if(this->objections, [now](const auto &entry) { return now - entry.second > objectionRetention; });
    for (auto &[part, losses] : this->suspects) {
        std::erase_if(losses, [now](const auto &loss) { return now - loss.second > lossRetention; });
    }
    std::erase_if(this->suspects, [](const auto &entry) { return entry.second.empty(); });
    std::vector<std::uint64_t> expired;
    for (const auto &[part, since] : this->quarantined) {
        if (now - since > quarantineTime) {
            expired.push_back(part);
        }
    }
    for (const std::uint64_t part : expired) {
        this->quarantined.erase(part);
        this->onChange({part, false, 0, "expired"});
    }
    for (const auto &[part, losses] : this->suspects) {
        if (losses.size() >= minLossTimes && countLossTimes(losses, now - objectionTime) >= minLossTimes) {
            this->quarantine(part, now, "backend servers were lost");
        }
    }
    this->limitState();
}

void PartQuarantine::limitState()
{
    // Parts that were suspected once go first: a flood of new parts must not displace the one that is suspected again and again.
    while (this->suspects.size() > maxSuspects) {
        this->suspects.erase(std::min_element(this->suspects.begin(), this->suspects.end(), [](const auto &left, const auto &right) {
            const auto lastOf = [](const Losses &losses) {
                return std::max_element(losses.begin(), losses.end(), [](const auto &l, const auto &r) { return l.second < r.second; })
                    ->second;
            };
            return std::pair(left.second.size(), lastOf(left.second)) < std::pair(right.second.size(), lastOf(right.second));
        }));
    }
    removeOldest(this->soundAt, maxSoundParts);
    removeOldest(this->quarantined, maxQuarantined);
    removeOldest(this->objections, maxSuspects);
}

exchange::PartEvidence PartQuarantine::evidence(Time now) const
{
    exchange::PartEvidence told;
    std::vector<std::pair<std::uint64_t, const Losses *>> ranked;
    for (const auto &[part, losses] : this->suspects) {
        ranked.emplace_back(part, &losses);
    }
    for (const auto &[part, at] : this->objections) {
        if (const auto sound = this->soundAt.find(part); sound != this->soundAt.end() && told.sound.size() < maxToldSound) {
            told.sound.push_back({part, now - sound->second});
        }
    }
    std::stable_sort(ranked.begin(), ranked.end(),
                     [](const auto &left, const auto &right) { return left.second->size() > right.second->size(); });
    for (const auto &[part, losses] : ranked) {
        for (const auto &[backend, at] : *losses) {
            if (told.suspicions.size() < maxToldSuspicions) {
                told.suspicions.push_back({part, backend, now - at});
            }
        }
    }
    for (const auto &[part, since] : this->quarantined) {
        told.quarantined.push_back({part, now - since});
    }
    return told;
}

void PartQuarantine::merge(const exchange::PartEvidence &evidence, Time now)
{
    for (const exchange::PartAge &sound : evidence.sound) {
        const Time at = now - sound.age;
        // Each hop makes it look newer by its delay; without a margin it would go round for ever.
        if (const auto known = this->soundAt.find(sound.part); known == this->soundAt.end() || known->second + minSoundProgress < at) {
            this->objections[sound.part] = now;
            this->setSound(sound.part, at);
        }
    }
    for (const exchange::Suspicion &suspicion : evidence.suspicions) {
        if (this->soundAt.contains(suspicion.part)) {
            this->objections[suspicion.part] = now;
        }
        this->addSuspicion(suspicion.part, suspicion.backend, now - suspicion.age);
    }
    for (const exchange::PartAge &held : evidence.quarantined) {
        const auto sound = this->soundAt.find(held.part);
        const Time since = now - held.age;
        if (held.age <= quarantineTime && (sound == this->soundAt.end() || sound->second < since)) {
            this->quarantine(held.part, since, "another daemon found it");
        }
    }
    this->limitState();
}

}
