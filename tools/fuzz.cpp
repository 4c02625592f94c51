/** @file Fuzzing target for what comes from outside: frames, configurations, VM lists, answers. */

#include "connection/frame_codec.h"
#include "request/answer_check.h"
#include "version/configuration.h"
#include "version/vm_list.h"

#include <cstdint>
#include <string>

using namespace eelgrassnotch;

namespace
{

/** Runs a parser; its own error is the expected answer to garbage. */
template <class Error, class Parse>
void accept(Parse &&parse)
{
    try {
        parse();
    } catch (const Error &) {
        return;
    }
}

}

// The library asks for this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size == 0) {
        return 0;
    }
    const std::uint8_t kind = data[0] % 4;
    const std::string text(reinterpret_cast<const char *>(data) + 1, size - 1);
    switch (kind) {
    case 0:
        accept<connection::FrameError>([&] { connection::decodeFrame(std::vector<std::uint8_t>(data + 1, data + size)); });
        break;
    case 1:
        accept<version::ConfigurationError>([&] { version::parseConfiguration(text); });
        break;
    case 2:
        accept<version::ConfigurationError>([&] { version::parseVmList(text); });
        break;
    default:
        request::AnswerCheck("id").accept("0", text);
    }
    return 0;
}
