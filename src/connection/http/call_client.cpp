#include "connection/http/call_client.h"

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
    if (!this->link) {
        this->link = std::make_shared<ClientConnection>(this->context.get_executor(), this->server);
    }
    request.set(boost::beast::http::field::host, this->server.address().to_string());
    request.prepare_payload();
    const std::uint64_t number = ++this->callNumber;
    const auto result = std::make_shared<CallResult>();

    ExchangeHooks exchange;
    exchange.onHeader = [result](const AnswerHeader &header) {
        result->status = header.result_int();
        result->header = std::make_shared<const AnswerHeader>(header);
        return true;
    };
    exchange.onBody = [this, result, onDone](std::string_view part) {
        result->body += part;
        if (result->body.size() > maxCallAnswerBytes) {
            const OnDone done = onDone; // Cancelling destroys this hook.
            this->cancel();
            done({0, "", "answer is too large", nullptr});
        }
    };
    exchange.onEnd = [this, number, result, onDone](const ExchangeEnd &end) {
        if (number != this->callNumber) {
            return;
        }
        this->timer.cancel();
        if (end.kind != EndKind::Complete) {
            *result = {0, "", end.detail, nullptr};
        }
        onDone(*result);
    };
    this->timer.start(timeouts.whole, [this, onDone] {
        this->cancel();
        onDone({0, "", "no answer in time", nullptr});
    });
    this->link->send(std::make_shared<const Request>(std::move(request)), timeouts.connect, std::move(exchange));
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
