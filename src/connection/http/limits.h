#pragma once

/** @file Limits of HTTP connections, with their units. */

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace eelgrassnotch::connection::http
{

using namespace std::chrono_literals;

/** Bytes read at once from a backend server or the store. */
constexpr std::size_t readChunkBytes = 8192;
/** First size of a buffer for requests: a common prompt with its header in one read. */
constexpr std::size_t requestBufferBytes = 24u << 10;
/** Largest header of an answer, in bytes. */
constexpr std::size_t maxAnswerHeaderBytes = 64u << 10;
/** Bytes of an answer that are read ahead of its parser: a line, a header or a chunk's extensions may be no longer. */
constexpr std::size_t maxUnparsedBytes = maxAnswerHeaderBytes + readChunkBytes;
/** Informational answers (1xx) before an answer, and answers to other requests, that are read past before the connection is given up. */
constexpr std::uint32_t maxInformationalAnswers = 16;
constexpr std::uint32_t maxDroppedAnswers = 3;
/** Bytes of answers to other requests that are read past for one request. */
constexpr std::size_t maxDroppedBytes = 256u << 10;
/** Largest answer of the store or of another daemon, in bytes: some thousands of entries. */
constexpr std::size_t maxCallAnswerBytes = 16u << 20;
/** Bytes queued for a caller that does not read, before its answer is broken off. */
constexpr std::size_t maxQueuedAnswerBytes = 1u << 20;
/** Receive and send buffer of a caller's connection in the kernel, in bytes: a common prompt arrives in one read. Automatic sizes grow to
 * megabytes for each connection, and received bytes count toward the memory of the VM. */
constexpr int receiveBufferBytes = 32 << 10;
constexpr int sendBufferBytes = 64 << 10;
/** Bytes that an open connection takes by itself. */
constexpr std::size_t connectionBytes = 2048;
/** Fields of a request, trailers included: some hundred bytes of memory each, whatever their length. */
constexpr std::size_t maxRequestFields = 200;
constexpr std::size_t bytesPerField = 128;
/** Bytes of a request's chunk sizes, extensions and trailers: this many, and some for each byte of the body, as a chunk may have one byte.
 */
constexpr std::uint64_t maxFramingBytes = 64u << 10;
constexpr std::uint64_t maxFramingPerBodyByte = 8;
/** Copies of a body while its request is served: the request's own, and the one that an attempt sends. */
constexpr std::size_t bodyCopies = 2;
/** A request that waits for memory asks again after this time. */
constexpr auto memoryRetryPeriod = 25ms;
/** Retry-After of a request that was not read for want of memory, in seconds: a body of a few megabytes is served in a tenth of that. */
constexpr const char *memoryRetryAfter = "0.5";
/** Period of the looks for connections that stall, or whose caller takes nothing. */
constexpr auto sweepPeriod = 250ms;
/** Least space for one read of a request, and bytes of a request that are read before other work goes on. */
constexpr std::size_t minReadBytes = 4096;
constexpr std::size_t maxReceivedPerTurn = 64u << 10;
/** Keep-alive probes find a silent peer after this idle time, ... */
constexpr int keepAliveIdleSeconds = 1;
/** ... this pause between probes ... */
constexpr int keepAliveIntervalSeconds = 1;
/** ... and this many probes without an answer. */
constexpr int keepAliveProbes = 3;
/** Sent bytes that a peer has not acknowledged for this long end the connection (TCP_USER_TIMEOUT). */
constexpr auto unacknowledgedTimeout = 2500ms;
/** A caller that has received its last answer may take this long to close its side. */
constexpr auto lingerTimeout = 1s;
/** Period of the checks whether a caller still receives its last answer, and the longest time for it. */
constexpr auto closeCheckPeriod = 250ms;
constexpr auto maxClosingTime = 60s;
/** Connections that the kernel queues before they are accepted. */
constexpr int listenBacklog = 1024;
/** Connections that are accepted before other work goes on; at most a part of those that may be open, so that each is read before it gives
 * way. */
constexpr std::size_t maxAcceptsPerTurn = 64;
constexpr std::size_t acceptDivisor = 4;
/** Pause before accepting again when the process has run out of descriptors. */
constexpr auto acceptPause = 100ms;

}
