#include "process/streams/stream_versions.h"

#include <utility>

namespace eelgrassnotch::process::streams
{

namespace
{

using namespace std::chrono_literals;

/** Longer than a round trip between regions. */
constexpr Duration repeatAfter = 60ms;
/** Less than half of the shortest latency targets of streams, so that what is found can still be used. */
constexpr Duration giveUpAfter = 180ms;
constexpr int correctionRepetitions = 3;
constexpr std::size_t maxCorrections = 4096;

}

StreamVersions::StreamVersions(DataCentreHandle ownDataCentre, Send sendFunction)
    : send(std::move(sendFunction))
    , keepers(ownDataCentre)
{
}

void StreamVersions::record(const StreamNote &note, Time now)
{
    const bool isCorrection = note.version == uncertainVersion && this->notes.versionOf(note.stream, now).has_value();
    this->notes.record(note, now);
    if (isCorrection && this->corrections.size() < maxCorrections) {
        this->corrections.push_back({note, correctionRepetitions});
    }
    for (const std::string &keeper : isCorrection ? this->keepers.possibleKeepersOf(note.stream) : this->keepers.keepersOf(note.stream)) {
        this->send(keeper, {{note}, {}, {}});
    }
}

void StreamVersions::find(StreamKey stream, const std::shared_ptr<void> &token, OnFound onFound, Time now)
{
    if (const auto known = this->notes.versionOf(stream, now)) {
        onFound({known, 0});
        return;
    }
    const auto [entry, isNew] = this->questions.try_emplace(stream);
    Question &question = entry->second;
    if (isNew) {
        question.askedAt = now;
        for (const std::string &keeper : this->keepers.possibleKeepersOf(stream)) {
            question.silent.insert(keeper);
        }
    }
    if (question.silent.empty()) {
        this->questions.erase(entry);
        onFound({});
        return;
    }
    question.waiting.push_back({token, std::move(onFound)});
    if (isNew) {
        for (const std::string &keeper : std::set<std::string>(question.silent)) {
            this->send(keeper, {{}, {stream}, {}});
        }
    }
}

void StreamVersions::receive(const StreamMessage &message, const std::string &from, Time now)
{
    for (const StreamNote &note : message.notes) {
        this->notes.record(note, now);
    }
    if (!message.questions.empty()) {
        StreamMessage reply;
        for (const StreamKey stream : message.questions) {
            reply.answers.push_back({stream, this->notes.versionOf(stream, now)});
        }
        this->send(from, reply);
    }
    for (const StreamAnswer &answer : message.answers) {
        const auto asked = this->questions.find(answer.stream);
        if (asked == this->questions.end() || asked->second.silent.erase(from) == 0) {
            continue;
        }
        if (answer.version || asked->second.silent.empty()) {
            this->settle(answer.stream, {answer.version, asked->second.silent.size()});
        }
    }
}

void StreamVersions::tick(Time now)
{
    this->notes.removeExpired(now);
    for (Correction &correction : this->corrections) {
        --correction.repetitions;
        for (const std::string &keeper : this->keepers.possibleKeepersOf(correction.note.stream)) {
            this->send(keeper, {{correction.note}, {}, {}});
        }
    }
    std::erase_if(this->corrections, [](const Correction &correction) { return correction.repetitions <= 0; });
    std::vector<std::pair<StreamKey, StreamFinding>> ended;
    for (auto &[stream, question] : this->questions) {
        if (now - question.askedAt >= giveUpAfter) {
            ended.emplace_back(stream, StreamFinding {std::nullopt, question.silent.size()});
        } else if (now - question.askedAt >= repeatAfter && !std::exchange(question.isRepeated, true)) {
            for (const std::string &keeper : question.silent) {
                this->send(keeper, {{}, {stream}, {}});
            }
        }
    }
    for (const auto &[stream, finding] : ended) {
        this->settle(stream, finding);
    }
}

void StreamVersions::settle(StreamKey stream, const StreamFinding &finding)
{
    const auto node = this->questions.extract(stream);
    for (const Waiting &waiting : node.mapped().waiting) {
        if (const auto token = waiting.token.lock()) {
            waiting.onFound(finding);
        }
    }
}

}
