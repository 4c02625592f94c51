#include "process/store/status_writer.h"

namespace eelgrassnotch::process::store
{

namespace http = connection::http;

namespace
{

using namespace std::chrono_literals;

constexpr Duration connectTimeout = 500ms;
/** A write is given up after this long; the store answers in milliseconds. */
constexpr Duration writeTimeout = 1500ms;

}

StatusWriter::StatusWriter(boost::asio::io_context &ioContext, http::Endpoint storeAddress,
                           std::shared_ptr<const StoreDialect> storeDialect, Collection written,
                           std::function<void(unsigned status)> callHook)
    : client(ioContext, std::move(storeAddress))
    , dialect(std::move(storeDialect))
    , collection(written)
    , onCall(std::move(callHook))
{
}

void StatusWriter::write(const std::string &name, std::uint64_t revision, const nlohmann::json &status, OnDone doneHook)
{
    if (this->isCalling) {
        return;
    }
    this->isCalling = true;
    // Calls are far apart, so a kept connection may have gone stale.
    this->client.cancel();
    http::Request request(boost::beast::http::verb::put, this->dialect->statusTarget(this->collection, name), 11);
    request.set(boost::beast::http::field::content_type, "application/json");
    request.body() = this->dialect->writeStatus(name, revision, status);
    this->client.call(std::move(request), {connectTimeout, writeTimeout},
                      [this, onDone = std::move(doneHook)](const http::CallResult &result) {
                          this->isCalling = false;
                          this->onCall(result.status);
                          onDone(result.status, result.status == 0 ? std::nullopt : this->dialect->readStored(result.body));
                      });
}

}
