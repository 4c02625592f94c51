#pragma once

/** @file One connection of a caller: reads requests, writes answers, notices when the caller leaves. */

#include "connection/http/answer_writer.h"
#include "connection/http/types.h"
#include "connection/one_shot_timer.h"
#include "eelgrassnotch/types.h"
#include "process/budget/closing_order.h"
#include "process/budget/memory_budget.h"

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
    /** Budget for what connections hold; none means no limit. */
    process::budget::MemoryBudgetPtr memory;
    /** Workspace of a request whose head has been read; asked for large bodies only. */
    std::function<WorkspaceHandle(const Request &)> workspaceOf;
    /** Connections that were closed for want of memory or descriptors, or since their caller took nothing; the cause is one word. */
    std::function<void(const char *cause, std::size_t connections, std::size_t heldBytes)> onClosedEarly;
};

/** @brief Serves one request at a time on one connection. */
class ServerSession : public AnswerWriter, public std::enable_shared_from_this<ServerSession>
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
        return this->state == State::serving;
    }

    /** @returns whether the connection has ended here; handlers may still hold the session. */
    bool isClosed() const
    {
        return this->state == State::closed;
    }

    /** @returns how many requests have been read from the connection, the present one included. */
    std::uint64_t requestCount() const override
    {
        return this->requests;
    }

    /** @brief Sets what is called when the caller leaves before its answer is complete. */
    void watchCaller(std::function<void()> onLeft) override;
    /** @brief Answers the present request. */
    void sendAnswer(Answer answer) override;
    /** @brief Begins an answer whose length is not known. */
    void startStream(AnswerHeader header) override;
    /** @brief Sends a part of the answer; a caller that reads too slowly is cut off. */
    void sendPart(std::string_view part) override;
    /** @brief Ends the answer that startStream() began. */
    void finishStream() override;
    /** @brief Resets the connection, so that no answer, or none that looks complete, reaches the caller. */
    void abort() override;
    /**
     * @brief Hands over the count of the bytes that the present request holds: its head, its body and the copy that an attempt sends.
     * @remarks Who takes it sets it to what is still held. Otherwise it lasts until the answer has been written.
     */
    process::budget::MemoryBudget::Holding takeRequestHolding() override;
    /** @returns what the session does, for the choice of connections to close. */
    process::budget::Activity activity() const;
    /** @returns bytes that the connection holds. */
    std::size_t heldBytes() const;
    /** @returns bytes that a request waits for; zero when none does. */
    std::size_t wantedBytes() const
    {
        return this->wanted;
    }
    /** @returns bytes that the caller has sent and taken so far; each whole request counts as progress, too. */
    std::uint64_t movedBytes() const;
    /** @brief Refuses the request that is being read, or breaks its answer off, to free its memory. */
    void giveWay();
    /** @returns whether the caller has closed, as far as the socket tells at once. */
    bool hasCallerLeft() override;
    /** @returns whether the connection closes after the present answer. */
    bool closesAfterAnswer();
    /** @brief Writes bytes of an answer that another daemon made, with its framing; a caller that reads too slowly is cut off. */
    void relay(std::string_view bytes);
    /** @brief Ends the answer whose bytes relay() wrote. */
    void finishRelay();

private:
    /** What the session does; what was started in one state doesn't go on in another. */
    enum class State {
        idle, ///< Waits for a request.
        receiving, ///< Reads a request.
        serving, ///< Has handed a request on, whose answer is being made or written.
        refusing, ///< Writes its own answer; nothing of the request is handed on.
        closing, ///< Waits until the caller has received the last answer.
        closed,
    };

    /** @brief Ends what the present state waits for. */
    void enter(State next);
    /** @returns a handler that does nothing once the session has left its present state. */
    template <class Handler>
    auto inThisState(Handler handler);
    /** @brief Calls a function when bytes have arrived or the caller has closed, unless the state changes before. */
    void whenReadable(std::function<void()> onReadable);
    /** @brief Calls a function after this time, unless the state changes before. */
    void whenExpired(Duration timeout, std::function<void()> onExpiry);
    void waitForRequest();
    void beginRequest();
    /** @brief Reads what has arrived of a request, up to a bound for one turn of the event loop. */
    void receive();
    /** @brief Reads bytes that have arrived. @returns how many; the connection may have been closed. */
    std::size_t readArrived();
    /** @brief Parses what has been read. @returns whether more bytes are needed; otherwise the request was handed on or refused. */
    bool parseReceived();
    /** @brief Checks a head that has just been parsed. @returns false when the request was refused. */
    bool checkHead();
    /** @returns false when a request has too many fields or too much framing, and was refused. */
    bool checkFraming();
    /** @returns bytes that the request holds once this much of its body has been read. */
    std::size_t requestBytes(std::size_t bodyBytes) const;
    /** @brief Reserves memory for what is read next. @returns false while there is none; the request waits or was refused. */
    bool reserveForReading();
    /** @brief Stops reading until there are this many bytes, or refuses the request when too many wait. */
    void waitForMemory(std::size_t bytes);
    void onRequestTimeout();
    void handOn();
    /** @param isBusy Tells the caller when to come back. */
    void reject(unsigned status, const std::string &reason, bool isBusy = false);
    /** @brief Counts the bytes to be written. @returns false when there is no memory for them, and the caller was left. */
    bool reserveQueue(std::size_t addedBytes);
    void waitForLeaving();
    /** @returns whether an answer may be sent. */
    bool isAnswering() const;
    /** @brief Ends the connection with a reset, and tells whom watchCaller() named. */
    void leaveCaller();
    void queue(std::string_view bytes);
    void writeQueued();
    void onWritten(boost::system::error_code error, std::size_t size);
    /** @brief Frees what the connection holds, the last answer's queue included. */
    void releaseMemory();
    void onAnswerWritten();
    /** @brief Closes once the caller has received the last answer, or has stopped receiving it. */
    void closeGently();
    /** @brief Reads on while the connection closes: bytes that are left unread would reset it, and take the answer from the caller. */
    void dropReceived();
    void checkClosing();
    void close();

    /** How far the close of the connection has come. */
    struct Closing {
        std::size_t unsentBytes = 0; ///< At the last check.
        std::uint64_t droppableBytes = 0; ///< That the caller may still send.
        Duration total {0};
        Duration quiet {0}; ///< Without progress in either direction.

        bool operator==(const Closing &) const = default;
    };

    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    Socket socket;
    std::shared_ptr<const SessionHooks> hooks;
    OneShotTimer timer;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    std::size_t maxUnparsedBytes = 0; ///< Of the request being read.
    std::uint64_t maxBodyBytes = 0; ///< Of the same.
    std::uint64_t parsedBytes = 0; ///< Of the same.
    std::size_t headBytes = 0; ///< Memory of its head.
    std::uint64_t headLength = 0; ///< Bytes of its head, as they were sent.
    std::unique_ptr<OneShotTimer> memoryTimer; ///< Only of a request that waits for memory.
    process::budget::MemoryBudget::Holding holding; ///< Connection and the request that is being read.
    process::budget::MemoryBudget::Holding requestHolding; ///< The request that is being served.
    process::budget::MemoryBudget::Holding queueHolding; ///< Bytes to be written.
    std::uint64_t moved = 0;
    std::size_t written = 0; ///< Of outgoing.
    std::function<void()> onCallerLeft;
    std::string outgoing; ///< Bytes being written.
    std::string waiting; ///< Bytes to write after those.
    Closing closing;
    State state = State::idle;
    std::uint64_t stateNumber = 0; ///< Of the states that the session has been in.
    std::uint64_t requests = 0;
    bool writing = false;
    std::size_t wanted = 0; ///< Bytes that the request waits for.
    bool answerEnds = false; ///< The answer is complete once all queued bytes are written.
    bool closeAfter = false;
};

}
