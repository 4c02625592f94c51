#include "process/mirror/mirror_client.h"

#include "process/clock.h"
#include "process/mirror/limits.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace eelgrassnotch::process::mirror
{

namespace http = connection::http;

namespace
{

constexpr unsigned statusOk = 200;
constexpr const char *syncTarget = "/sync";

}

MirrorClient::MirrorClient(boost::asio::io_context &ioContext, MirrorHooks mirrorHooks)
    : context(ioContext)
    , hooks(std::move(mirrorHooks))
    , client(ioContext, http::Endpoint())
{
}

void MirrorClient::follow(const http::Endpoint &relay)
{
    this->stop();
    this->client.setServer(relay);
    this->call();
}

void MirrorClient::stop()
{
    ++this->turn;
    this->client.cancel();
}

void MirrorClient::call()
{
    http::Request request(boost::beast::http::verb::post, syncTarget, 11);
    request.body() = encodeRequest(this->hooks.positions());
    const Time sentAt = readClock();
    ++this->turn;
    this->client.call(std::move(request), {connectTimeout, longestHold + replyTimeout}, [this, sentAt](const http::CallResult &result) {
        if (result.status != 0) {
            this->onAnswer(result.status, result.body, sentAt);
        } else {
            this->fail(RelayFailure::Silent, result.failure);
        }
    });
}

void MirrorClient::onAnswer(unsigned status, const std::string &body, Time sentAt)
{
    if (status != statusOk) {
        this->fail(RelayFailure::Refused, "status " + std::to_string(status));
        return;
    }
    const auto reply = decodeReply(body);
    if (!reply) {
        this->fail(RelayFailure::Silent, "unreadable reply");
        return;
    }
    // The relay got the request after it was sent, so this is never later than the time of the reply.
    const Time composedAt = sentAt + reply->held;
    const Time now = readClock();
    const bool isOld = std::any_of(reply->updates.begin(), reply->updates.end(),
                                   [now, composedAt](const CollectionUpdate &update) { return now - (composedAt - update.age) > maxAge; });
    if (isOld) {
        this->fail(RelayFailure::Refused, "knowledge is too old");
        return;
    }
    const std::uint64_t answered = this->turn;
    try {
        this->hooks.onReply(*reply, composedAt);
    } catch (const std::exception &error) {
        this->fail(RelayFailure::Silent, error.what());
        return;
    }
    boost::asio::post(this->context, [this, answered] {
        if (answered == this->turn) {
            this->call();
        }
    });
}

void MirrorClient::fail(RelayFailure failure, const std::string &cause)
{
    this->stop();
    this->hooks.onFailure(failure, cause);
}

}
