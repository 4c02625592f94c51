#include "connection/http/call_client.h"

#include "process/clock.h"

#include <algorithm>

namespace eelgrassnotch::connection::http
{

CallClient::CallClient(boost::asio::io_context &ioContext, Endpoint serverAddress)
    : context(ioContext)
    , server(std::move(serverAddress))
    , timer(ioContext.get_executor())
{
}

void CallClient::setServer(const Endpoint &serverAddress)
{
    this->cancel();
    this->server = serverAddress;
}

void CallClient::call(Request request, const CallTimeouts &timeouts, const OnDone &onDone)
{
    this->call(std::move(request), timeouts, nullptr, onDone);
}

void CallClient::call(Request request, const CallTimeouts &timeouts, const OnBody &onBody, const OnDone &onDone)
{
    if (!this->link) {
        this->link = std::make_shared<ClientConnection>(this->context.get_executor(), this->server);
    }
    request.set(boost::beast::http::field::host, this->server.address().to_string());
    request.prepare_payload();
    const std::uint64_t number = ++this->callNumber;
    const auto exchange = std::make_shared<Exchange>(Exchange {timeouts, onBody, onDone, process::readClock() + timeouts.whole, {}});

    ExchangeHooks hooks;
    hooks.onHeader = [exchange](const AnswerHeader &header) {
        exchange->result.status = header.result_int();
        exchange->result.header = std::make_shared<const AnswerHeader>(header);
        return true;
    };
    hooks.onBody = [this, exchange](std::string_view part) { this->takePart(exchange, part); };
    hooks.onEnd = [this, number, exchange](const ExchangeEnd &end) {
        if (number != this->callNumber) {
            return;
        }
        this->timer.cancel();
        if (end.kind != EndKind::Complete) {
            exchange->result = failureOf(*exchange, end.detail);
        }
        exchange->onDone(exchange->result);
    };
    this->setTimer(exchange, timeouts.begin);
    this->link->send(std::make_shared<const Request>(std::move(request)), timeouts.connect, std::move(hooks));
}

CallResult CallClient::failureOf(const Exchange &exchange, const std::string &cause)
{
    return {0, "", cause, exchange.onBody ? exchange.result.header : nullptr};
}

void CallClient::takePart(const std::shared_ptr<Exchange> &exchange, std::string_view part)
{
    if (exchange->onBody) {
        exchange->onBody(*exchange->result.header, part);
        this->setTimer(exchange, exchange->timeouts.pause);
        return;
    }
    exchange->result.body += part;
    if (exchange->result.body.size() > maxCallAnswerBytes) {
        this->giveUp(exchange, "answer is too large");
    }
}

void CallClient::setTimer(const std::shared_ptr<Exchange> &exchange, Duration longest)
{
    this->timer.start(std::min(longest, exchange->until - process::readClock()),
                      [this, exchange] { this->giveUp(exchange, "no answer in time"); });
}

void CallClient::giveUp(const std::shared_ptr<Exchange> &exchange, const std::string &cause)
{
    const OnDone done = exchange->onDone; // Cancelling destroys the hooks that hold it.
    const CallResult result = failureOf(*exchange, cause);
    this->cancel();
    done(result);
}

void CallClient::cancel()
{
    ++this->callNumber;
    this->timer.cancel();
    if (this->link) {
        this->link->cancel();
        this->link.reset();
    }
}

}
