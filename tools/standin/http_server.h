#pragma once

/** @file What all stand-ins share: listening, faults set over HTTP, and waiting for the stop signal. */

#include <cpprest/http_listener.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <mutex>
#include <string>

namespace eelgrassnotch::standin
{

/** @brief Switches of a stand-in, set by PUT /faults with a JSON object and read by GET /faults. */
class Faults
{
public:
    /** @param initial All known switches with their values at the start. */
    explicit Faults(nlohmann::json initial);

    /** @returns a number switch. */
    double number(const std::string &name) const;
    /** @returns whether a counted switch is above zero, and counts it down. */
    bool take(const std::string &name);
    /** @throws std::invalid_argument for an unknown switch. */
    void set(const nlohmann::json &changes);
    nlohmann::json all() const;

private:
    mutable std::mutex mutex;
    nlohmann::json values;
};

/** @brief Listens until SIGTERM or SIGINT. @returns the process's exit code. */
int serve(const std::string &address, std::uint16_t port, Faults &faults,
          const std::function<void(const web::http::http_request &)> &handler);

/** @brief Blocks the stop signals; to be called before any thread starts. */
void prepareSignals();

/** @returns a header's value, empty without it. */
std::string headerOf(const web::http::http_request &request, const std::string &name);

/** @brief Sends a response and ignores that the other side went away. */
void reply(const web::http::http_request &request, const web::http::http_response &response);
void reply(const web::http::http_request &request, int status, const std::string &body,
           const std::string &contentType = "application/json");

/** @brief Calls a function after a pause on a timer thread. */
void after(std::chrono::milliseconds pause, std::function<void()> action);

}
