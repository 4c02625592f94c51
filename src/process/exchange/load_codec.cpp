#include "process/exchange/load_codec.h"

#include "process/exchange/wire/generated/load_generated.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace eelgrassnotch::process::exchange
{

namespace
{

/** Bounds on received values, so that a corrupt message can't make the sums arbitrarily large. */
constexpr float maxValue = 1e12F;
constexpr std::uint32_t maxDaemons = 100000;
constexpr std::chrono::milliseconds maxAge = std::chrono::minutes(1);

/** Longer ones are not sent by any daemon. */
constexpr flatbuffers::uoffset_t maxEvidenceEntries = 256;
constexpr flatbuffers::uoffset_t maxLimitEntries = 1024;
constexpr flatbuffers::uoffset_t maxCommittedEntries = 4096;
constexpr flatbuffers::uoffset_t maxRolloutEntries = 256;
/** Duration of the longest order. */
constexpr std::chrono::milliseconds maxRolloutAge = std::chrono::hours(24);
constexpr std::uint64_t bitsOfHalf = 32;

/** Entry of the list of committed tokens, which is kept apart from the other loads since older daemons don't send it. */
struct CommittedEntry {
    std::uint32_t backend = 0;
    double tokens = 0;
};

bool isValid(float value)
{
    return value >= 0 && value <= maxValue;
}

std::uint32_t toMilliseconds(Duration age)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(age).count(), 0));
}

std::uint32_t highHalf(std::uint64_t part)
{
    return static_cast<std::uint32_t>(part >> bitsOfHalf);
}

template <class Entry>
std::uint64_t partOf(const Entry &entry)
{
    return static_cast<std::uint64_t>(entry.part_high()) << bitsOfHalf | entry.part_low();
}

PartAge fromWire(const wire::PartAge &entry)
{
    return {partOf(entry), std::chrono::milliseconds(entry.age_ms())};
}

Suspicion fromWire(const wire::Suspicion &entry)
{
    return {partOf(entry), entry.backend(), std::chrono::milliseconds(entry.age_ms())};
}

TrialClaim fromWire(const wire::Trial &entry)
{
    return {partOf(entry), DaemonHandle {entry.daemon()}, std::chrono::milliseconds(entry.age_ms())};
}

LimitStatement fromWire(const wire::Limit &entry)
{
    return {entry.incarnation(), entry.rate(), entry.has_ended() != 0, std::chrono::milliseconds(entry.age_ms())};
}

LimitDemand fromWire(const wire::LimitDemand &entry)
{
    return {entry.incarnation(), entry.demand()};
}

CommittedEntry fromWire(const wire::CommittedTokens &entry)
{
    return {entry.backend(), entry.tokens()};
}

RolloutProgress fromWire(const wire::RolloutProgress &entry)
{
    return {entry.order(),
            std::min(std::chrono::milliseconds(entry.age_ms()), maxRolloutAge),
            std::min(std::chrono::milliseconds(entry.longest_ms()), maxAge),
            entry.old_in_progress(),
            entry.emptying(),
            entry.bad_verdicts()};
}

RolloutCounts fromWire(const wire::RolloutCounts &entry)
{
    return {{entry.order(), entry.route()},
            entry.failure_score(),
            entry.slowness_score(),
            entry.target_answers(),
            entry.target_bad(),
            entry.old_answers(),
            entry.old_bad()};
}

bool isValid(const RolloutCounts &counts)
{
    const bool hasScores = std::abs(counts.failureScore) <= maxValue && std::abs(counts.slownessScore) <= maxValue;
    return hasScores && isValid(static_cast<float>(counts.targetAnswers)) && isValid(static_cast<float>(counts.targetBad))
        && isValid(static_cast<float>(counts.oldAnswers)) && isValid(static_cast<float>(counts.oldBad));
}

template <class Entry>
auto fromWire(const flatbuffers::Vector<const Entry *> *entries, flatbuffers::uoffset_t most = maxEvidenceEntries)
{
    std::vector<decltype(fromWire(*entries->Get(0)))> read;
    for (flatbuffers::uoffset_t index = 0; entries != nullptr && index < std::min(entries->size(), most); ++index) {
        read.push_back(fromWire(*entries->Get(index)));
    }
    return read;
}

wire::Suspicion toWire(const Suspicion &suspicion)
{
    return {highHalf(suspicion.part), static_cast<std::uint32_t>(suspicion.part), suspicion.incarnation, toMilliseconds(suspicion.age)};
}

wire::Trial toWire(const TrialClaim &claim)
{
    return {highHalf(claim.part), static_cast<std::uint32_t>(claim.part), claim.daemon.id, toMilliseconds(claim.age)};
}

wire::Limit toWire(const LimitStatement &limit)
{
    return {limit.incarnation, static_cast<float>(limit.rate), toMilliseconds(limit.age), limit.hasEnded ? 1U : 0U};
}

wire::LimitDemand toWire(const LimitDemand &load)
{
    return {load.incarnation, static_cast<float>(load.demand)};
}

wire::CommittedTokens toWire(const CommittedEntry &entry)
{
    return {entry.backend, static_cast<float>(entry.tokens)};
}

wire::RolloutProgress toWire(const RolloutProgress &progress)
{
    return {progress.order,    toMilliseconds(progress.age), toMilliseconds(progress.longest), progress.oldInProgress,
            progress.emptying, progress.badVerdicts};
}

wire::RolloutCounts toWire(const RolloutCounts &counts)
{
    return {counts.key.order,
            counts.key.route,
            static_cast<float>(counts.failureScore),
            static_cast<float>(counts.slownessScore),
            static_cast<float>(counts.targetAnswers),
            static_cast<float>(counts.targetBad),
            static_cast<float>(counts.oldAnswers),
            static_cast<float>(counts.oldBad)};
}

wire::PartAge toWire(const PartAge &part)
{
    return {highHalf(part.part), static_cast<std::uint32_t>(part.part), toMilliseconds(part.age)};
}

/** Writes a list; an empty one takes no room in the message. */
template <class Entry>
auto writeList(flatbuffers::FlatBufferBuilder &builder, const std::vector<Entry> &entries)
{
    std::vector<decltype(toWire(entries.front()))> written;
    std::transform(entries.begin(), entries.end(), std::back_inserter(written), [](const Entry &entry) { return toWire(entry); });
    return written.empty() ? 0 : builder.CreateVectorOfStructs(written);
}

/** @brief Adds the committed tokens to the loads, which are sorted. @returns false for an invalid value. */
bool addCommitted(const std::vector<CommittedEntry> &entries, std::vector<BackendLoad> &loads)
{
    const auto isBefore = [](const BackendLoad &load, std::uint32_t backend) { return load.backend < backend; };
    for (const CommittedEntry &entry : entries) {
        if (!isValid(static_cast<float>(entry.tokens))) {
            return false;
        }
        const auto load = std::lower_bound(loads.begin(), loads.end(), entry.backend, isBefore);
        if (load != loads.end() && load->backend == entry.backend) {
            load->committedTokens = entry.tokens;
        }
    }
    return true;
}

}

std::vector<std::uint8_t> encode(const Message &message)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<wire::WorkspaceLoad> workspaces;
    std::vector<float> offered;
    for (const WorkspaceLoad &load : message.load.workspaces) {
        workspaces.emplace_back(load.workspace, static_cast<float>(load.demand), static_cast<float>(load.served));
        offered.push_back(static_cast<float>(load.offered));
    }
    std::vector<wire::BackendLoad> backends;
    std::vector<CommittedEntry> committed;
    for (const BackendLoad &load : message.load.backends) {
        backends.emplace_back(load.backend, static_cast<float>(load.pendingPrefillTokens), load.inFlight);
        if (load.committedTokens > 0) {
            committed.push_back({load.backend, load.committedTokens});
        }
    }
    const auto workspacesOffset = builder.CreateVectorOfStructs(workspaces);
    const auto offeredOffset = builder.CreateVector(offered);
    const auto backendsOffset = builder.CreateVectorOfStructs(backends);
    const auto suspicionsOffset = writeList(builder, message.evidence.suspicions);
    const auto soundOffset = writeList(builder, message.evidence.sound);
    const auto quarantinedOffset = writeList(builder, message.evidence.quarantined);
    const auto limitsOffset = writeList(builder, message.limits);
    const auto limitDemandsOffset = writeList(builder, message.load.limitDemands);
    const auto committedOffset = writeList(builder, committed);
    const auto rolloutsOffset = writeList(builder, message.load.rollouts);
    const auto rolloutCountsOffset = writeList(builder, message.load.rolloutCounts);
    const auto trialsOffset = writeList(builder, message.evidence.trials);
    builder.Finish(wire::CreateMessage(builder, static_cast<wire::Kind>(message.kind), message.sender.id, message.dataCentre.id,
                                       workspacesOffset, backendsOffset, message.load.daemons, toMilliseconds(message.load.age),
                                       offeredOffset, suspicionsOffset, soundOffset, quarantinedOffset, limitsOffset, limitDemandsOffset,
                                       committedOffset, rolloutsOffset, rolloutCountsOffset, trialsOffset));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::optional<Message> decode(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!wire::VerifyMessageBuffer(verifier)) {
        return std::nullopt;
    }
    const wire::Message *root = wire::GetMessage(bytes.data());
    if (root->kind() > wire::Kind::MAX) {
        return std::nullopt;
    }
    Message message;
    message.kind = static_cast<MessageKind>(root->kind());
    message.sender = DaemonHandle {root->sender()};
    message.dataCentre = DataCentreHandle {root->data_centre()};
    message.load.daemons = std::min(root->daemons(), maxDaemons);
    message.load.age = std::min(std::chrono::milliseconds(root->age_ms()), maxAge);
    if (const auto *workspaces = root->workspaces()) {
        const auto *offered = root->offered();
        if (offered != nullptr && offered->size() != workspaces->size()) {
            return std::nullopt;
        }
        for (flatbuffers::uoffset_t index = 0; index < workspaces->size(); ++index) {
            const wire::WorkspaceLoad *load = workspaces->Get(index);
            const float offeredHere = offered != nullptr ? offered->Get(index) : load->asked();
            if (!isValid(load->asked()) || !isValid(load->served()) || !isValid(offeredHere)) {
                return std::nullopt;
            }
            message.load.workspaces.push_back({load->workspace(), load->asked(), load->served(), offeredHere});
        }
    }
    if (const auto *backends = root->backends()) {
        for (const wire::BackendLoad *load : *backends) {
            if (!isValid(load->unread_tokens())) {
                return std::nullopt;
            }
            message.load.backends.push_back({load->backend(), load->unread_tokens(), load->in_flight(), 0});
        }
    }
    message.evidence = {fromWire(root->suspicions()), fromWire(root->sound()), fromWire(root->quarantined()), fromWire(root->trials())};
    message.limits = fromWire(root->limits(), maxLimitEntries);
    message.load.limitDemands = fromWire(root->limit_demands(), maxLimitEntries);
    message.load.rollouts = fromWire(root->rollouts(), maxRolloutEntries);
    message.load.rolloutCounts = fromWire(root->rollout_counts(), maxRolloutEntries);
    if (!std::all_of(message.load.rolloutCounts.begin(), message.load.rolloutCounts.end(),
                     [](const RolloutCounts &counts) { return isValid(counts); })) {
        return std::nullopt;
    }
    const auto isValidLimit = [](const LimitStatement &limit) { return isValid(static_cast<float>(limit.rate)) && limit.rate > 0; };
    const auto isValidDemand = [](const LimitDemand &load) { return isValid(static_cast<float>(load.demand)); };
    if (!std::all_of(message.limits.begin(), message.limits.end(), isValidLimit)
        || !std::all_of(message.load.limitDemands.begin(), message.load.limitDemands.end(), isValidDemand)) {
        return std::nullopt;
    }
    const auto byWorkspace = [](const WorkspaceLoad &left, const WorkspaceLoad &right) { return left.workspace < right.workspace; };
    const auto byBackend = [](const BackendLoad &left, const BackendLoad &right) { return left.backend < right.backend; };
    std::sort(message.load.workspaces.begin(), message.load.workspaces.end(), byWorkspace);
    std::sort(message.load.backends.begin(), message.load.backends.end(), byBackend);
    std::sort(message.load.limitDemands.begin(), message.load.limitDemands.end(),
              [](const LimitDemand &left, const LimitDemand &right) { return left.incarnation < right.incarnation; });
    if (!addCommitted(fromWire(root->committed(), maxCommittedEntries), message.load.backends)) {
        return std::nullopt;
    }
    std::sort(message.load.rollouts.begin(), message.load.rollouts.end(),
              [](const RolloutProgress &left, const RolloutProgress &right) { return left.order < right.order; });
    std::sort(message.load.rolloutCounts.begin(), message.load.rolloutCounts.end(),
              [](const RolloutCounts &left, const RolloutCounts &right) { return left.key < right.key; });
    return message;
}

}
