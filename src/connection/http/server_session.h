#pragma once

/** @file One connection of a caller: reads requests, writes answers, notices when the caller leaves. */

#include "connection/http/types.h"
#include "connection/one_shot_timer.h"
#include "eelgrassnotch/types.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrassnotch::connection::http
{

class ServerSession;
using ServerSessionPtr = std::shared_ptr<ServerSession>;

/** @brief Bounds on what a caller sends; asked for each request. */
struct SessionLimits {
    std::uint32_t maxHeaderBytes = 0;
    std::uint64_t maxBodyBytes = 0;
    Duration headerTimeout {0}; ///< From the first byte to the end of the request.
    Duration idleTimeout {0}; ///< Without a request.

    bool operator==(const SessionLimits &) const = default;
};

/** @brief What a server does with its connections. */
struct SessionHooks {
    std::function<SessionLimits()> limits;
    /** Answers a request by sendAnswer(), or startStream(), sendPart() and finishStream(); or gives up by abort(). */
    std::function<void(const ServerSessionPtr &, Request)> onRequest;
    /** A request that is not valid HTTP, or beyond the limits, with the status of its answer. */
    std::function<void(unsigned status, const std::string &reason)> onRejected;
    /** Whether answers ask the caller to close its connection. */
    std::function<bool()> isClosing;
};

/** @brief Serves one request at a time on one connection. */
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
    ServerSession(Socket callerSocket, std::shared_ptr<const SessionHooks> sessionHooks);

    /** @brief Begins to read requests. */
    void start();
    /** @brief Ends the connection if no request is being read or served. */
    void closeIfIdle();
    /** @returns whether a request is being served. */
    bool isServing() const
    {
        return this->serving;
    }

    /** @returns how many requests have been read from the connection, the present one included. */
    std::uint64_t requestCount() const
    {
        return this->requests;
    }

    /** @brief Sets what is called when the caller leaves before its answer is complete. */
    void watchCaller(std::function<void()> onLeft);
    /** @brief Answers the present request. */
    void sendAnswer(Answer answer);
    /** @brief Begins an answer whose length is not known. */
    void startStream(AnswerHeader header);
    /** @brief Sends a part of the answer; a caller that reads too slowly is cut off. */
    void sendPart(std::string_view part);
    /** @brief Ends the answer that startStream() began. */
    void finishStream();
    /** @brief Resets the connection, so that no answer, or none that looks complete, reaches the caller. */
    void abort();
    /** @returns whether the caller has closed, as far as the socket tells at once. */
    bool hasCallerLeft();

private:
    void waitForRequest();
    void readHeader();
    void onHeaderRead(boost::system::error_code error);
    void onRequestRead(boost::system::error_code error);
    void reject(unsigned status, const std::string &reason);
    void waitForLeaving();
    void onBytesWhileServing();
    void queue(const std::string &bytes);
    void writeQueued();
    void onAnswerWritten();
    void closeGently();
    void arm(Duration timeout, std::function<void()> onExpiry);

    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    Socket socket;
    std::shared_ptr<const SessionHooks> hooks;
    OneShotTimer timer;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    std::function<void()> onCallerLeft;
    std::string outgoing; ///< Bytes being written.
    std::string waiting; ///< Bytes to write after those.
    std::uint64_t watchNumber = 0;
    std::uint64_t requests = 0;
    bool serving = false;
    bool writing = false;
    bool answerEnds = false; ///< The answer is complete once all queued bytes are written.
    bool closeAfter = false;
    bool closed = false;
    bool reading = false;
};

}
