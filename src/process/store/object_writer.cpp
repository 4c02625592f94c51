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
    : client(ioContext, std::move(storeAddress))
    , dialect(std::move(storeDialect))
    , collection(written)
    , name(std::move(objectName))
    , onCall(std::move(callHook))
    , retryTimer(ioContext.get_executor())
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
                   this->retryTimer.start(retryPause, [this] { this->tryCreate(); });
               });
}

void ObjectWriter::remove()
{
    this->isRemoved = true;
    this->retryTimer.cancel();
    this->call(verb::delete_, this->dialect->objectTarget(this->collection, this->name), "", [](unsigned) {});
}

void ObjectWriter::call(verb method, const std::string &target, std::string body, std::function<void(unsigned status)> onDone)
{
    // Calls are far apart, so a kept connection may have gone stale.
    this->client.cancel();
    http::Request request(method, target, 11);
    if (!body.empty()) {
        request.set(boost::beast::http::field::content_type, "application/json");
    }
    request.body() = std::move(body);
    this->client.call(std::move(request), {connectTimeout, writeTimeout},
                      [this, onDone = std::move(onDone)](const http::CallResult &result) {
                          this->onCall(result.status);
                          onDone(result.status);
                      });
}

}
