#include "process/store/object_writer.h"

namespace eelgrassnotch::process::store
{

namespace http = connection::http;
using boost::beast::http::verb;

namespace
{

using namespace std::chrono_literals;

constexpr Duration connectTimeout = 500ms;
/** A write is given up after this long; the store answers in milliseconds. */
constexpr Duration writeTimeout = 1500ms;
constexpr Duration retryPause = 1s;
constexpr unsigned statusOk = 200;
constexpr unsigned statusCreated = 201;
constexpr unsigned statusConflict = 409;

}

ObjectWriter::ObjectWriter(boost::asio::io_context &ioContext, http::Endpoint storeAddress,
                           std::shared_ptr<const StoreDialect> storeDialect, Collection written, std::string objectName,
                           std::function<void(unsigned status)> callHook)
    : context(ioContext)
    , address(std::move(storeAddress))
    , dialect(std::move(storeDialect))
    , collection(written)
    , name(std::move(objectName))
    , onCall(std::move(callHook))
    , timer(ioContext)
    , retryTimer(ioContext)
{
}

void ObjectWriter::create(nlohmann::json objectContent, std::function<void()> storedHook)
{
    this->content = std::move(objectContent);
    this->onStored = std::move(storedHook);
    this->tryCreate();
}

void ObjectWriter::tryCreate()
{
    this->call(verb::post, this->dialect->objectTarget(this->collection, ""), this->dialect->writeObject(this->name, this->content),
               [this](unsigned status) {
                   // A conflict means that an earlier process of this daemon, or a call whose answer was lost, has written it.
                   if (this->isRemoved) {
                       return;
                   }
                   if (status == statusOk || status == statusCreated || status == statusConflict) {
                       this->onStored();
                       return;
                   }
                   this->retryTimer.expires_after(retryPause);
                   this->retryTimer.async_wait([this](boost::system::error_code error) {
                       if (!error && !this->isRemoved) {
                           this->tryCreate();
                       }
                   });
               });
}

void ObjectWriter::remove(std::function<void()> onDone)
{
    this->isRemoved = true;
    this->retryTimer.cancel();
    this->call(verb::delete_, this->dialect->objectTarget(this->collection, this->name), "",
               [onDone = std::move(onDone)](unsigned) { onDone(); });
}

void ObjectWriter::call(verb method, const std::string &target, std::string body, std::function<void(unsigned status)> onDone)
{
    const std::uint64_t number = ++this->callNumber;
    if (this->link) {
        this->link->cancel();
    }
    this->link = std::make_shared<http::ClientConnection>(this->context.get_executor(), this->address);
    const auto request = std::make_shared<http::Request>(method, target, 11);
    request->set(boost::beast::http::field::host, this->address.address().to_string());
    if (!body.empty()) {
        request->set(boost::beast::http::field::content_type, "application/json");
    }
    request->body() = std::move(body);
    request->prepare_payload();
    const auto status = std::make_shared<unsigned>(0);
    const auto finish = [this, number, onDone = std::move(onDone)](unsigned result) {
        if (number == this->callNumber) {
            ++this->callNumber;
            this->timer.cancel();
            this->onCall(result);
            onDone(result);
        }
    };
    http::ExchangeHooks exchange;
    exchange.onHeader = [status](const http::AnswerHeader &header) {
        *status = header.result_int();
        return true;
    };
    exchange.onBody = [](std::string_view) {};
    exchange.onEnd = [status, finish](const http::ExchangeEnd &end) { finish(end.kind == http::EndKind::Complete ? *status : 0); };
    this->timer.expires_after(writeTimeout);
    this->timer.async_wait([this, number, finish](boost::system::error_code error) {
        if (!error && number == this->callNumber) {
            this->link->cancel();
            finish(0);
        }
    });
    this->link->send(request, connectTimeout, std::move(exchange));
}

}
