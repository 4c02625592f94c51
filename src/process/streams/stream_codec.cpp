#include "process/streams/stream_codec.h"

#include "process/streams/wire/generated/streams_generated.h"

namespace eelgrassnotch::process::streams
{

namespace
{

/** Longer ones are not sent by any daemon. */
constexpr flatbuffers::uoffset_t maxEntries = 1024;
constexpr std::uint64_t maxLifetimeUs = 3'600'000'000;

template <class Vector>
bool isTooLong(const Vector *entries)
{
    return entries != nullptr && entries->size() > maxEntries;
}

}

std::vector<std::uint8_t> encode(const StreamMessage &message)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<wire::Note> notes;
    for (const StreamNote &note : message.notes) {
        notes.emplace_back(note.stream, note.version, static_cast<std::uint64_t>(note.lifetime.count()));
    }
    std::vector<wire::Answer> answers;
    for (const StreamAnswer &answer : message.answers) {
        answers.emplace_back(answer.stream, answer.version.value_or(uncertainVersion), answer.version ? 1 : 0);
    }
    const auto notesOffset = builder.CreateVectorOfStructs(notes);
    const auto questionsOffset = builder.CreateVector(message.questions);
    const auto answersOffset = builder.CreateVectorOfStructs(answers);
    builder.Finish(wire::CreateMessage(builder, notesOffset, questionsOffset, answersOffset));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::optional<StreamMessage> decode(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!verifier.VerifyBuffer<wire::Message>(nullptr)) {
        return std::nullopt;
    }
    const auto *root = flatbuffers::GetRoot<wire::Message>(bytes.data());
    if (isTooLong(root->notes()) || isTooLong(root->questions()) || isTooLong(root->answers())) {
        return std::nullopt;
    }
    StreamMessage message;
    if (root->notes() != nullptr) {
        for (const wire::Note *note : *root->notes()) {
            if (note->lifetime_us() > maxLifetimeUs) {
                return std::nullopt;
            }
            message.notes.push_back({note->stream(), note->version(), Duration(static_cast<std::int64_t>(note->lifetime_us()))});
        }
    }
    if (root->questions() != nullptr) {
        message.questions.assign(root->questions()->begin(), root->questions()->end());
    }
    if (root->answers() != nullptr) {
        for (const wire::Answer *answer : *root->answers()) {
            message.answers.push_back({answer->stream(), answer->is_known() == 0 ? std::nullopt : std::optional(answer->version())});
        }
    }
    return message;
}

}
