#include "connection/http/listener.h"

#include "connection/http/limits.h"
#include "process/budget/descriptor_budget.h"
#include "process/clock.h"

#include <algorithm>

namespace eelgrassnotch::connection::http
{

namespace budget = process::budget;
using budget::Activity;
using process::readClock;

Listener::Listener(boost::asio::io_context &ioContext, const Endpoint &address, SessionHooks sessionHooks, std::size_t mostConnections)
    : context(ioContext)
    , acceptor(ioContext)
    , pause(ioContext.get_executor())
    , hooks(std::make_shared<const SessionHooks>(std::move(sessionHooks)))
    , maxConnections(mostConnections)
    , sweepTimer(ioContext.get_executor())
{
    this->acceptor.open(address.protocol());
    this->acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    // Accepted connections inherit both sizes without a call for each.
    this->acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes));
    this->acceptor.set_option(boost::asio::socket_base::send_buffer_size(sendBufferBytes));
    this->acceptor.bind(address);
    this->acceptor.listen(listenBacklog);
    this->acceptor.non_blocking(true);
    this->accept();
    this->sweepTimer.start(sweepPeriod, [this] { this->sweep(); });
}

void Listener::accept()
{
    this->acceptor.async_wait(boost::asio::ip::tcp::acceptor::wait_read, [this](boost::system::error_code error) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            error = this->acceptWaiting();
        }
        if (!error || error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
            this->accept();
            return;
        }
        // The process has run out of descriptors or memory; a connection that waits would make the acceptor ready again and again.
        this->makeRoom(readClock());
        this->pause.start(acceptPause, [this] { this->accept(); });
    });
}

boost::system::error_code Listener::acceptWaiting()
{
    // One connection a turn of the event loop would let callers wait for as long as a turn takes, each.
    const std::size_t most = std::clamp(this->maxConnections / acceptDivisor, std::size_t {1}, maxAcceptsPerTurn);
    boost::system::error_code error;
    const Time now = readClock();
    bool mayMakeRoom = true; // A look at all connections that finds none to close isn't repeated in the same turn.
    for (std::size_t count = 0; count < most; ++count) {
        Socket socket(this->context);
        this->acceptor.accept(socket, error);
        if (error) {
            return error;
        }
        if (this->sessions.size() >= this->maxConnections) {
            this->forgetEnded();
        }
        if (mayMakeRoom && this->sessions.size() >= this->maxConnections) {
            mayMakeRoom = this->makeRoom(now);
        }
        if (this->sessions.size() < this->maxConnections) {
            const auto session = std::make_shared<ServerSession>(std::move(socket), this->hooks);
            this->sessions.push_back({session, budget::Progress(now)});
            session->start();
            ++this->accepted;
        }
    }
    return error;
}

void Listener::forgetEnded()
{
    this->sessions.remove_if([](const Entry &entry) {
        const auto session = entry.session.lock();
        return !session || session->isClosed(); // Handlers that have yet to run keep a closed one.
    });
}

Listener::Candidates Listener::describe(Time now)
{
    Candidates candidates;
    candidates.sessions.reserve(this->sessions.size());
    candidates.described.reserve(this->sessions.size());
    for (Entry &entry : this->sessions) {
        ServerSessionPtr session = entry.session.lock();
        if (!session) {
            continue;
        }
        const Activity activity = session->activity();
        if (activity == Activity::Waiting) {
            entry.progress.restart(session->movedBytes(), now);
        } else {
            entry.progress.update(session->movedBytes(), now);
        }
        candidates.described.push_back({activity, session->heldBytes(), entry.progress.standstill(now)});
        candidates.sessions.push_back(std::move(session));
    }
    return candidates;
}

bool Listener::makeRoom(Time now)
{
    const Candidates candidates = this->describe(now);
    const std::vector<std::size_t> chosen = budget::chooseForDescriptors(candidates.described, budget::closedAtOnce);
    for (const std::size_t place : chosen) {
        // An orderly end of a request or an answer would keep the descriptor for seconds.
        if (candidates.described[place].activity == Activity::Idle) {
            candidates.sessions[place]->closeIfIdle();
        } else {
            candidates.sessions[place]->abort();
        }
    }
    this->report(candidates, chosen, "descriptors");
    this->forgetEnded();
    return this->sessions.size() < this->maxConnections;
}

void Listener::sweep()
{
    this->sweepTimer.start(sweepPeriod, [this] { this->sweep(); });
    this->forgetEnded();
    const Candidates candidates = this->describe(readClock());
    std::vector<std::size_t> untaken;
    for (std::size_t place = 0; place < candidates.described.size(); ++place) {
        if (budget::isUntaken(candidates.described[place])) {
            untaken.push_back(place);
        }
    }
    this->giveWay(candidates, untaken, "untaken");
    std::size_t shortage = this->hooks->memory ? this->hooks->memory->takeShortage() : 0;
    for (const ServerSessionPtr &session : candidates.sessions) {
        shortage += session->wantedBytes();
    }
    if (shortage > 0) {
        this->giveWay(candidates, budget::chooseForMemory(candidates.described, shortage), "memory");
    }
}

void Listener::giveWay(const Candidates &candidates, const std::vector<std::size_t> &chosen, const char *cause)
{
    this->report(candidates, chosen, cause);
    for (const std::size_t place : chosen) {
        candidates.sessions[place]->giveWay();
    }
}

void Listener::report(const Candidates &candidates, const std::vector<std::size_t> &chosen, const char *cause) const
{
    if (chosen.empty() || !this->hooks->onClosedEarly) {
        return;
    }
    std::size_t held = 0;
    for (const std::size_t place : chosen) {
        held += candidates.described[place].heldBytes;
    }
    this->hooks->onClosedEarly(cause, chosen.size(), held);
}

std::size_t Listener::connectionCount()
{
    this->forgetEnded();
    return this->sessions.size();
}

std::size_t Listener::servingCount()
{
    this->forgetEnded();
    std::size_t serving = 0;
    for (const Entry &entry : this->sessions) {
        if (const auto session = entry.session.lock(); session && session->isServing()) {
            ++serving;
        }
    }
    return serving;
}

void Listener::closeIdle()
{
    this->forgetEnded();
    for (const Entry &entry : this->sessions) {
        if (const auto session = entry.session.lock()) {
            session->closeIfIdle();
        }
    }
}

}
