#include "process/platform_http.h"

#include "connection/http/call_client.h"
#include "process/loop_thread.h"

#include <boost/asio/post.hpp>

#include <charconv>
#include <memory>
#include <set>

namespace eelgrassnotch::process
{

namespace http = connection::http;
using boost::beast::http::field;
using boost::beast::http::status;
using boost::beast::http::verb;

namespace
{

constexpr Duration callTimeout = std::chrono::seconds(2);
constexpr Duration watchTimeout = std::chrono::seconds(15);
/** How long the platform may hold a watch without news. */
constexpr int watchPeriodMs = 5000;

std::string quoteVersion(std::uint64_t version)
{
    return "\"" + std::to_string(version) + "\"";
}

std::uint64_t versionOf(const http::AnswerHeader &header)
{
    std::uint64_t version = 0;
    if (const auto tag = header[field::etag]; tag.size() > 2) {
        std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
    }
    return version;
}

StoreStatus statusFor(unsigned code)
{
    switch (static_cast<status>(code)) {
    case status::ok:
    case status::created:
    case status::no_content:
    case status::not_modified:
        return StoreStatus::Ok;
    case status::precondition_failed:
    case status::conflict:
        return StoreStatus::Conflict;
    case status::not_found:
        return StoreStatus::NotFound;
    default:
        return StoreStatus::Unknown;
    }
}

}

/** Each call has a connection of its own: one that the platform had closed would lose a call that may have taken effect. */
class PlatformHttp::Client
{
public:
    Client(const Endpoint &endpoint, Poster answerPost)
        : platform(boost::asio::ip::make_address(endpoint.address), endpoint.port)
        , post(std::move(answerPost))
    {
    }
    ~Client()
    {
        this->thread.stop();
    }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    void send(http::Request request, Duration timeout, Callback callback)
    {
        boost::asio::post(this->thread.context(), [this, request = std::move(request), timeout, callback = std::move(callback)]() mutable {
            const auto call = std::make_shared<http::CallClient>(this->thread.context(), this->platform);
            this->running.insert(call);
            call->call(std::move(request), {timeout, timeout}, [this, call = call.get(), callback](const auto &result) {
                this->post([callback, answer = toAnswer(result)] { callback(answer); });
                boost::asio::post(this->thread.context(),
                                  [this, call] { std::erase_if(this->running, [call](const auto &each) { return each.get() == call; }); });
            });
        });
    }

private:
    static StoreAnswer toAnswer(const http::CallResult &result)
    {
        if (!result.header) {
            return {};
        }
        return {statusFor(result.status), versionOf(*result.header), result.body};
    }

    http::Endpoint platform;
    Poster post;
    process::LoopThread thread;
    std::set<std::shared_ptr<http::CallClient>> running; ///< Used on the thread only.
};

PlatformHttp::PlatformHttp(const Endpoint &platform, Poster post)
    : client(std::make_unique<Client>(platform, std::move(post)))
{
}

PlatformHttp::~PlatformHttp() = default;

namespace
{

http::Request requestFor(verb method, const std::string &key)
{
    return {method, "/objects/" + key, 11};
}

void setValue(http::Request &request, const std::string &value)
{
    request.set(field::content_type, "application/json");
    request.body() = value;
}

}

void PlatformHttp::read(const std::string &key, Callback callback)
{
    ++this->callCount;
    this->client->send(requestFor(verb::get, key), callTimeout, std::move(callback));
}

void PlatformHttp::create(const std::string &key, const std::string &value, Callback callback)
{
    ++this->callCount;
    http::Request request = requestFor(verb::put, key);
    request.set(field::if_none_match, "*");
    setValue(request, value);
    this->client->send(std::move(request), callTimeout, std::move(callback));
}

void PlatformHttp::update(const std::string &key, const std::string &value, std::uint64_t version, Callback callback)
{
    ++this->callCount;
    http::Request request = requestFor(verb::put, key);
    request.set(field::if_match, quoteVersion(version));
    setValue(request, value);
    this->client->send(std::move(request), callTimeout, std::move(callback));
}

void PlatformHttp::remove(const std::string &key, std::uint64_t version, Callback callback)
{
    ++this->callCount;
    http::Request request = requestFor(verb::delete_, key);
    request.set(field::if_match, quoteVersion(version));
    this->client->send(std::move(request), callTimeout, std::move(callback));
}

void PlatformHttp::watch(const std::string &key, std::uint64_t knownVersion, Callback callback)
{
    ++this->callCount;
    const std::string query = "?watch=" + std::to_string(watchPeriodMs) + "&known=" + std::to_string(knownVersion);
    this->client->send(requestFor(verb::get, key + query), watchTimeout, std::move(callback));
}

}
