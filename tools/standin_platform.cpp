/** @file Stand-in for the platform: objects with versions, conditional updates, watches, call counts, and faults. */

#include "standin/http_server.h"

#include <tclap/CmdLine.h>

#include <iostream>
#include <list>
#include <map>
#include <optional>

namespace
{

using eelgrassnotch::standin::after;
using eelgrassnotch::standin::Faults;
using eelgrassnotch::standin::headerOf;
using eelgrassnotch::standin::reply;
using web::http::http_request;
using web::http::http_response;
using web::http::status_codes;

struct Object {
    std::uint64_t version = 0;
    std::string value;
};

struct Watch {
    std::uint64_t id = 0;
    std::string key;
    std::uint64_t known = 0;
    http_request request;
};

/** Objects and waiting watches; every call is counted. */
class Platform
{
public:
    explicit Platform(Faults &faults)
        : faults(faults)
    {
    }

    void handle(http_request request)
    {
        const std::string path = request.relative_uri().path();
        if (path == "/calls") {
            this->describeCalls(request);
            return;
        }
        if (this->faults.number("outage") > 0) {
            reply(request, status_codes::ServiceUnavailable, "{}");
            return;
        }
        const auto pause = std::chrono::milliseconds(static_cast<int>(this->faults.number("delayMs")));
        if (pause.count() > 0) {
            after(pause, [this, request, path] { this->dispatch(request, path); });
        } else {
            this->dispatch(request, path);
        }
    }

private:
    void dispatch(http_request request, const std::string &path)
    {
        const std::string prefix = "/objects/";
        if (!path.starts_with(prefix)) {
            reply(request, status_codes::NotFound, "{}");
            return;
        }
        const std::string key = path.substr(prefix.size());
        if (request.method() == web::http::methods::GET) {
            this->get(request, key);
        } else if (request.method() == web::http::methods::PUT) {
            request.extract_utf8string(true).then([this, request, key](const std::string &body) { this->put(request, key, body); });
        } else if (request.method() == web::http::methods::DEL) {
            this->remove(request, key);
        } else {
            reply(request, status_codes::MethodNotAllowed, "{}");
        }
    }

    void get(const http_request &request, const std::string &key)
    {
        const auto query = web::uri::split_query(request.relative_uri().query());
        const std::lock_guard lock(this->mutex);
        ++this->calls[query.contains("watch") ? "watch" : "read"];
        const auto found = this->objects.find(key);
        const std::uint64_t version = found == this->objects.end() ? 0 : found->second.version;
        const std::uint64_t known = query.contains("known") ? std::stoull(query.at("known")) : 0;
        if (query.contains("watch") && version == known) {
            this->wait(request, key, known, std::chrono::milliseconds(std::stoi(query.at("watch"))));
            return;
        }
        this->answer(request, found == this->objects.end() ? nullptr : &found->second);
    }

    void wait(const http_request &request, const std::string &key, std::uint64_t known, std::chrono::milliseconds period)
    {
        const std::uint64_t id = ++this->nextWatch;
        this->watches.push_back({id, key, known, request});
        after(period, [this, id] {
            const std::lock_guard lock(this->mutex);
            const auto found
                = std::find_if(this->watches.begin(), this->watches.end(), [id](const Watch &watch) { return watch.id == id; });
            if (found == this->watches.end()) {
                return;
            }
            http_response response(found->known == 0 ? status_codes::NotFound : status_codes::NotModified);
            response.headers().add("ETag", "\"" + std::to_string(found->known) + "\"");
            reply(found->request, response);
            this->watches.erase(found);
        });
    }

    void put(http_request request, const std::string &key, const std::string &body)
    {
        const std::lock_guard lock(this->mutex);
        ++this->calls["write"];
        const auto found = this->objects.find(key);
        const bool exists = found != this->objects.end();
        const std::string ifMatch = headerOf(request, "If-Match");
        const bool mustBeNew = headerOf(request, "If-None-Match") == "*";
        const bool mismatch = !ifMatch.empty() && (!exists || ifMatch != "\"" + std::to_string(found->second.version) + "\"");
        if ((mustBeNew && exists) || mismatch) {
            reply(request, status_codes::PreconditionFailed, "{}");
            return;
        }
        Object &object = this->objects[key];
        object.version = ++this->lastVersion;
        object.value = body;
        this->wake(key);
        if (this->faults.take("loseAnswers")) {
            this->lost.push_back(request);
            return;
        }
        http_response response(exists ? status_codes::OK : status_codes::Created);
        response.headers().add("ETag", "\"" + std::to_string(object.version) + "\"");
        reply(request, response);
    }

    void remove(const http_request &request, const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        ++this->calls["write"];
        const auto found = this->objects.find(key);
        if (found == this->objects.end()) {
            reply(request, status_codes::NotFound, "{}");
            return;
        }
        const std::string ifMatch = headerOf(request, "If-Match");
        if (!ifMatch.empty() && ifMatch != "\"" + std::to_string(found->second.version) + "\"") {
            reply(request, status_codes::PreconditionFailed, "{}");
            return;
        }
        this->objects.erase(found);
        reply(request, status_codes::OK, "{}");
    }

    void wake(const std::string &key)
    {
        for (auto position = this->watches.begin(); position != this->watches.end();) {
            if (position->key != key) {
                ++position;
                continue;
            }
            this->answer(position->request, &this->objects[key]);
            position = this->watches.erase(position);
        }
    }

    void answer(const http_request &request, const Object *object)
    {
        if (object == nullptr) {
            reply(request, status_codes::NotFound, "{}");
            return;
        }
        http_response response(status_codes::OK);
        response.headers().add("ETag", "\"" + std::to_string(object->version) + "\"");
        response.set_body(object->value, "application/json");
        reply(request, response);
    }

    void describeCalls(const http_request &request)
    {
        const std::lock_guard lock(this->mutex);
        nlohmann::json document(this->calls);
        document["waitingWatches"] = this->watches.size();
        document["objects"] = this->objects.size();
        reply(request, status_codes::OK, document.dump());
    }

    Faults &faults;
    std::mutex mutex;
    std::map<std::string, Object> objects;
    std::list<Watch> watches;
    std::list<http_request> lost; ///< Never answered.
    std::map<std::string, std::uint64_t> calls;
    std::uint64_t lastVersion = 0;
    std::uint64_t nextWatch = 0;
};

}

int main(int argumentCount, char **arguments)
{
    try {
        TCLAP::CmdLine line("Stand-in for the platform's object service. Faults: outage, delayMs, loseAnswers.", ' ',
                            EELGRASSNOTCH_VERSION);
        TCLAP::ValueArg<int> port("p", "port", "Port on 127.0.0.1", true, 0, "port");
        line.add(port);
        line.parse(argumentCount, arguments);
        eelgrassnotch::standin::prepareSignals();
        Faults faults({{"outage", 0}, {"delayMs", 0}, {"loseAnswers", 0}});
        Platform platform(faults);
        return eelgrassnotch::standin::serve("127.0.0.1", static_cast<std::uint16_t>(port.getValue()), faults,
                                             [&platform](const http_request &request) { platform.handle(request); });
    } catch (const std::exception &error) {
        std::cerr << "standin-platform: " << error.what() << "\n";
        return 1;
    }
}
