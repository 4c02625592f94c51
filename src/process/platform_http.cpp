#include "process/platform_http.h"

#include <cpprest/http_client.h>

#include <charconv>

namespace eelgrassnotch::process
{

using web::http::http_request;
using web::http::http_response;

namespace
{

constexpr auto callTimeout = std::chrono::seconds(2);
constexpr auto watchTimeout = std::chrono::seconds(15);
/** How long the platform may hold a watch without news. */
constexpr int watchPeriodMs = 5000;

std::string quoteVersion(std::uint64_t version)
{
    return "\"" + std::to_string(version) + "\"";
}

std::uint64_t versionOf(const http_response &response)
{
    std::uint64_t version = 0;
    if (const auto found = response.headers().find("ETag"); found != response.headers().end() && found->second.size() > 2) {
        const std::string &tag = found->second;
        std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, version);
    }
    return version;
}

StoreStatus statusFor(int code)
{
    switch (code) {
    case web::http::status_codes::OK:
    case web::http::status_codes::Created:
    case web::http::status_codes::NoContent:
    case web::http::status_codes::NotModified:
        return StoreStatus::Ok;
    case web::http::status_codes::PreconditionFailed:
    case web::http::status_codes::Conflict:
        return StoreStatus::Conflict;
    case web::http::status_codes::NotFound:
        return StoreStatus::NotFound;
    default:
        return StoreStatus::Unknown;
    }
}

}

class PlatformHttp::Client
{
public:
    explicit Client(const Endpoint &platform)
        : base("http://" + platform.address + ":" + std::to_string(platform.port))
        , calls(this->base, this->settings(callTimeout))
        , watches(this->base, this->settings(watchTimeout))
    {
    }

    static web::http::client::http_client_config settings(std::chrono::seconds timeout)
    {
        web::http::client::http_client_config settings;
        settings.set_timeout(timeout);
        return settings;
    }

    void send(const http_request &request, bool isWatch, const Poster &post, Callback callback)
    {
        auto &client = isWatch ? this->watches : this->calls;
        const auto finish = [post, callback = std::move(callback)](const pplx::task<StoreAnswer> &task) {
            StoreAnswer answer;
            try {
                answer = task.get();
            } catch (const std::exception &) {
                answer.status = StoreStatus::Unknown;
            }
            post([callback, answer] { callback(answer); });
        };
        client.request(request)
            .then([](const http_response &response) {
                return response.extract_utf8string(true).then([response](const std::string &body) {
                    return StoreAnswer {statusFor(response.status_code()), versionOf(response), body};
                });
            })
            .then(finish);
    }

private:
    web::uri base;
    web::http::client::http_client calls;
    web::http::client::http_client watches;
};

PlatformHttp::PlatformHttp(const Endpoint &platform, Poster post)
    : client(std::make_unique<Client>(platform))
    , post(std::move(post))
{
}

PlatformHttp::~PlatformHttp() = default;

namespace
{

http_request requestFor(const web::http::method &method, const std::string &key)
{
    http_request request(method);
    request.set_request_uri(web::uri("/objects/" + key));
    return request;
}

}

void PlatformHttp::read(const std::string &key, Callback callback)
{
    ++this->callCount;
    this->client->send(requestFor(web::http::methods::GET, key), false, this->post, std::move(callback));
}

void PlatformHttp::create(const std::string &key, const std::string &value, Callback callback)
{
    ++this->callCount;
    http_request request = requestFor(web::http::methods::PUT, key);
    request.headers().add("If-None-Match", "*");
    request.set_body(value, "application/json");
    this->client->send(request, false, this->post, std::move(callback));
}

void PlatformHttp::update(const std::string &key, const std::string &value, std::uint64_t version, Callback callback)
{
    ++this->callCount;
    http_request request = requestFor(web::http::methods::PUT, key);
    request.headers().add("If-Match", quoteVersion(version));
    request.set_body(value, "application/json");
    this->client->send(request, false, this->post, std::move(callback));
}

void PlatformHttp::remove(const std::string &key, std::uint64_t version, Callback callback)
{
    ++this->callCount;
    http_request request = requestFor(web::http::methods::DEL, key);
    request.headers().add("If-Match", quoteVersion(version));
    this->client->send(request, false, this->post, std::move(callback));
}

void PlatformHttp::watch(const std::string &key, std::uint64_t knownVersion, Callback callback)
{
    ++this->callCount;
    http_request request(web::http::methods::GET);
    web::uri_builder uri("/objects/" + key);
    uri.append_query("watch", watchPeriodMs);
    uri.append_query("known", knownVersion);
    request.set_request_uri(uri.to_uri());
    this->client->send(request, true, this->post, std::move(callback));
}

}
