#include "standin/http_server.h"

#include <boost/asio.hpp>
#include <pplx/threadpool.h>

#include <csignal>
#include <iostream>

namespace eelgrassnotch::standin
{

using web::http::http_request;
using web::http::http_response;

Faults::Faults(nlohmann::json initial)
    : values(std::move(initial))
{
}

double Faults::number(const std::string &name) const
{
    const std::lock_guard lock(this->mutex);
    return this->values.at(name).get<double>();
}

bool Faults::take(const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    const double left = this->values.at(name).get<double>();
    if (left <= 0) {
        return false;
    }
    this->values[name] = left - 1;
    return true;
}

void Faults::set(const nlohmann::json &changes)
{
    const std::lock_guard lock(this->mutex);
    for (const auto &[name, value] : changes.items()) {
        if (!this->values.contains(name) || !value.is_number()) {
            throw std::invalid_argument("unknown switch or not a number: " + name);
        }
        this->values[name] = value;
    }
}

nlohmann::json Faults::all() const
{
    const std::lock_guard lock(this->mutex);
    return this->values;
}

void prepareSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

std::string headerOf(const http_request &request, const std::string &name)
{
    const auto found = request.headers().find(name);
    return found == request.headers().end() ? std::string() : found->second;
}

void reply(const http_request &request, const http_response &response)
{
    request.reply(response).then([](const pplx::task<void> &task) {
        try {
            task.get();
        } catch (const std::exception &) {
            return;
        }
    });
}

void reply(const http_request &request, int status, const std::string &body, const std::string &contentType)
{
    http_response response(static_cast<web::http::status_code>(status));
    response.set_body(body, contentType);
    reply(request, response);
}

void after(std::chrono::milliseconds pause, std::function<void()> action)
{
    auto &context = crossplat::threadpool::shared_instance().service();
    const auto timer = std::make_shared<boost::asio::steady_timer>(context, pause);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &) { action(); });
}

namespace
{

void setFaults(http_request request, Faults &faults)
{
    request.extract_utf8string(true).then([request, &faults](const std::string &body) {
        try {
            faults.set(nlohmann::json::parse(body));
            reply(request, 200, faults.all().dump());
        } catch (const std::exception &error) {
            reply(request, 400, nlohmann::json {{"error", error.what()}}.dump());
        }
    });
}

}

int serve(const std::string &address, std::uint16_t port, Faults &faults, const std::function<void(const http_request &)> &handler)
{
    web::http::experimental::listener::http_listener listener(web::uri("http://" + address + ":" + std::to_string(port)));
    listener.support([&](const http_request &request) {
        const bool isFaults = request.relative_uri().path() == "/faults";
        if (isFaults && request.method() == web::http::methods::PUT) {
            setFaults(request, faults);
        } else if (isFaults) {
            reply(request, 200, faults.all().dump());
        } else {
            handler(request);
        }
    });
    listener.open().wait();
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int signal = 0;
    sigwait(&signals, &signal);
    listener.close().wait();
    return 0;
}

}
