#pragma once

/** @file What a caller's request says of itself, decoded from its header. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace eelgrassnotch::request
{

/** @brief One part of a prompt; requests with the same leading parts share their cached prefix. */
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/** @brief Size and parts of a prompt. */
struct Prompt {
    std::uint32_t tokens = 0; ///< Tokens of the whole prompt.
    std::uint32_t maxOutputTokens = 0; ///< Most tokens that may be generated.
    std::vector<PromptPart> parts; ///< In order; the last one is the request's own.

    /** @returns tokens of all parts but the last, which other requests may share. */
    std::uint32_t sharedTokens() const;
    /** @returns the id of the last shared part, which names the session; zero without one. */
    std::uint64_t session() const;
    bool operator==(const Prompt &) const = default;
};

/** @brief Attributes of a caller's request. */
struct RequestAttributes {
    std::string id; ///< Unique for each attempt of the caller.
    std::string apiKey; ///< API key; empty without one.
    std::optional<Duration> callerTimeout; ///< How long the caller waits.
    std::optional<std::uint64_t> lastEventId; ///< Last event that the caller has of a stream it resumes.
    Prompt prompt;

    bool operator==(const RequestAttributes &) const = default;
};

/** @brief What a backend server's answer says of itself. */
struct AnswerAttributes {
    std::string id; ///< Attempt that it answers; empty when the backend server did not say.
    bool isSigned = false; ///< Whether the backend server vouches for the body.
    bool isNotRun = false; ///< Whether the backend server states that it did not run the request.
    bool isWrongInstance = false; ///< The address belongs to another instance than expected.
    bool isEventStream = false;
    bool isLeaving = false; ///< The backend server wants no new requests any more.
    bool hasContentEncoding = false; ///< The body went through a coding that nobody asked for.
    std::optional<Duration> retryAfter; ///< It refused, and wants nothing for so long.
    std::optional<Duration> coldLeft; ///< How long the backend server stays cold.
    std::optional<std::uint32_t> running; ///< Requests running there when it answered.
    std::optional<std::uint32_t> waiting; ///< Requests queued there when it answered.

    bool operator==(const AnswerAttributes &) const = default;
};

}
