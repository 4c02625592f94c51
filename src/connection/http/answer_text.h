#pragma once

/** @file Answers as they are written to a caller's connection. */

#include "connection/http/types.h"

#include <string>
#include <string_view>

namespace eelgrassnotch::connection::http
{

/** @returns a whole answer with its length. @param closes Whether the connection closes after it. */
std::string answerText(Answer answer, bool closes);
/** @returns the header of an answer in chunks. @param closes Whether the connection closes after it. */
std::string streamHeaderText(AnswerHeader header, bool closes);
/** @returns a part of an answer as one chunk. */
std::string chunkText(std::string_view part);
/** End of an answer in chunks. */
constexpr std::string_view lastChunkText = "0\r\n\r\n";

}
