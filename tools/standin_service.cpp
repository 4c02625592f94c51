/** @file Stand-in for a plain service: runs calls and keeps a log of executions by idempotency key and request. */

#include "standin/http_server.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <list>
#include <map>

namespace
{

using eelgrassnotch::standin::after;
using eelgrassnotch::standin::Faults;
using eelgrassnotch::standin::headerOf;
using eelgrassnotch::standin::reply;
using web::http::http_request;
using web::http::http_response;
using web::http::status_codes;

class Service
{
public:
    explicit Service(Faults &faults)
        : faults(faults)
    {
    }

    void handle(http_request request)
    {
        if (request.relative_uri().path() == "/executions") {
            const std::lock_guard lock(this->mutex);
            reply(request, status_codes::OK, nlohmann::json(this->executions).dump());
            return;
        }
        request.extract_utf8string(true).then([this, request](const std::string &body) { this->execute(request, body); });
    }

private:
    void execute(http_request request, const std::string &body)
    {
        if (this->faults.take("refuse")) {
            reply(request, status_codes::TooManyRequests, "{}");
            return;
        }
        const std::string id = headerOf(request, "X-Request-Id");
        const std::string key = headerOf(request, "Idempotency-Key");
        int serial = 0;
        {
            const std::lock_guard lock(this->mutex);
            ++this->executions[key.empty() ? id : key];
            serial = ++this->lastSerial;
        }
        if (this->faults.take("loseAnswers")) {
            const std::lock_guard lock(this->mutex);
            this->lost.push_back(request);
            return;
        }
        http_response response(status_codes::OK);
        response.headers().add("X-Request-Id", this->faults.take("crossAnswers") ? "another-request" : id);
        response.headers().add("X-Engine-Generation", "1");
        response.headers().add("X-Cost", "1");
        const nlohmann::json document {{"path", request.relative_uri().path()}, {"serial", serial}, {"received", body}};
        response.set_body(document.dump(), "application/json");
        const auto pause = std::chrono::milliseconds(static_cast<int>(this->faults.number("delayMs")));
        after(pause, [request, response] { reply(request, response); });
    }

    Faults &faults;
    std::mutex mutex;
    std::map<std::string, int> executions;
    std::list<http_request> lost; ///< Executed, never answered.
    int lastSerial = 0;
};

}

int main(int argumentCount, char **arguments)
{
    try {
        TCLAP::CmdLine line("Stand-in for a plain service. Faults: refuse, loseAnswers, crossAnswers, delayMs.", ' ',
                            EELGRASSNOTCH_VERSION);
        TCLAP::ValueArg<int> port("p", "port", "Port on 127.0.0.1", true, 0, "port", line);
        line.parse(argumentCount, arguments);
        eelgrassnotch::standin::prepareSignals();
        Faults faults({{"refuse", 0}, {"loseAnswers", 0}, {"crossAnswers", 0}, {"delayMs", 5}});
        Service service(faults);
        return eelgrassnotch::standin::serve("127.0.0.1", static_cast<std::uint16_t>(port.getValue()), faults,
                                             [&service](const http_request &request) { service.handle(request); });
    } catch (const std::exception &error) {
        std::cerr << "standin-service: " << error.what() << "\n";
        return 1;
    }
}
