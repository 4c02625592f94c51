#pragma once

/** @file Attributes of requests and answers, decoded from their headers. */

#include "eelgrassnotch/types.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace eelgrassnotch::request
{

/** @brief One part of a prompt; requests with the same leading parts share a cached prefix. */
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/** @brief Size and parts of a prompt. */
struct Prompt {
    std::uint32_t tokens = 0; ///< Tokens of the whole prompt.
    std::uint32_t maxOutputTokens = 0; ///< Maximum number of tokens to generate.
    std::vector<PromptPart> parts; ///< In order; the last one is specific to the request.
    std::optional<std::uint32_t> outputHint {}; ///< Caller's estimate of the tokens to generate; often far off.

    /** @returns all parts except the last, which other requests may share. */
    std::span<const PromptPart> sharedParts() const;
    /** @returns tokens of all parts except the last, which other requests may share. */
    std::uint32_t sharedTokens() const;
    /** @returns the id of the last shared part, which identifies the shared prefix; zero without one. */
    std::uint64_t sharedPrefixId() const;
    bool operator==(const Prompt &) const = default;
};

/** @brief Attributes of a caller's request. */
struct RequestAttributes {
    std::string id; ///< Request id; a caller that sends a request again uses a new one.
    std::string apiKey; ///< API key; empty without one.
    std::optional<Duration> callerTimeout; ///< How long the caller waits for the answer.
    std::optional<std::uint64_t> lastEventId; ///< Last event that the caller received, if it resumes a stream.
    std::string
        resumes; ///< Id of the attempt that brought the first event of the stream that is resumed; empty where the caller names none.
    Prompt prompt;

    bool operator==(const RequestAttributes &) const = default;
};

/** @brief Attributes of a backend server's answer. */
struct AnswerAttributes {
    std::string id; ///< Id of the request that it answers; empty if the backend server named none.
    bool isSigned = false; ///< Whether the answer carries the backend server's signature.
    bool isNotRun = false; ///< Whether the backend server states that it did not run the request.
    bool isWrongInstance = false; ///< Whether another instance than expected answered at the address.
    bool isEventStream = false;
    bool isDraining = false; ///< Whether the backend server announced that it accepts no new requests.
    bool hasContentEncoding = false; ///< Whether the body has a content coding, which the proxy never requests.
    std::optional<Duration> retryAfter; ///< Time for which the backend server, which refused, asks for no requests.
    std::optional<Duration> coldLeft; ///< How much longer the backend server stays cold.
    std::optional<double> rateLimit; ///< Requests per second that the backend server announced to accept from all daemons together.
    bool hasInvalidRateLimit = false; ///< Whether it announced a rate that can't be one, which says nothing about a limit.
    std::optional<std::uint32_t> running; ///< Requests running at the backend server when it answered.
    std::optional<std::uint32_t> waiting; ///< Requests queued at the backend server when it answered.
    std::optional<double> slowness; ///< How long work took there, as a multiple of the usual, when it answered.

    bool operator==(const AnswerAttributes &) const = default;
};

}
