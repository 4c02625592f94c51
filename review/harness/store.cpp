#include "store.h"

#include <chrono>

namespace harness
{

using boost::beast::http::verb;
using nlohmann::json;

namespace
{

constexpr const char *prefix = "/-/objects/";

std::string queryValue(const std::string &target, const std::string &key)
{
    const std::size_t start = target.find(key + "=");
    if (start == std::string::npos) {
        return "";
    }
    const std::size_t from = start + key.size() + 1;
    return target.substr(from, target.find('&', from) - from);
}

}

Store::Store()
    : server([this](Socket &socket, const Request &request) { return this->answer(socket, request); })
{
}

Store::~Store()
{
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
}

json Store::write(const std::string &kind, const std::string &name, const json &spec)
{
    ++this->revision;
    json object = {{"metadata", {{"name", name}, {"revision", this->revision}, {"finalizers", json::array()}, {"deleting", false}}},
                   {"spec", spec},
                   {"status", nullptr}};
    this->objects[kind][name] = object;
    this->history.push_back({this->revision, kind, {{"removed", false}, {"object", object}}});
    this->changed.notify_all();
    return object;
}

void Store::erase(const std::string &kind, const std::string &name)
{
    if (const auto found = this->objects[kind].find(name); found != this->objects[kind].end()) {
        ++this->revision;
        this->history.push_back({this->revision, kind, {{"removed", true}, {"object", found->second}}});
        this->objects[kind].erase(found);
        this->changed.notify_all();
    }
}

void Store::put(const std::string &kind, const std::string &name, const json &spec)
{
    const std::lock_guard lock(this->mutex);
    this->write(kind, name, spec);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    this->erase(kind, name);
}

Store::Copy Store::copy()
{
    const std::lock_guard lock(this->mutex);
    return {this->revision, this->objects};
}

void Store::leave()
{
    const std::lock_guard lock(this->mutex);
    this->away = true;
    this->changed.notify_all();
}

void Store::comeBack(const Copy &older)
{
    const std::lock_guard lock(this->mutex);
    this->objects = older.objects;
    this->revision = older.revision;
    std::erase_if(this->history, [&older](const Change &change) { return change.revision > older.revision; });
    ++this->era;
    this->away = false;
}

bool Store::isAway()
{
    const std::lock_guard lock(this->mutex);
    return this->away;
}

std::uint64_t Store::currentEra()
{
    const std::lock_guard lock(this->mutex);
    return this->era;
}

json Store::list(const std::string &kind)
{
    const std::lock_guard lock(this->mutex);
    json items = json::array();
    for (const auto &[name, object] : this->objects[kind]) {
        items.push_back(object);
    }
    return {{"items", items}, {"more", false}, {"at", this->revision}};
}

json Store::watch(const std::string &kind, std::uint64_t from, int waitMs)
{
    std::unique_lock lock(this->mutex);
    if (from > this->revision) {
        return nullptr;
    }
    json events = json::array();
    this->changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] {
        events.clear();
        for (const Change &change : this->history) {
            if (change.revision > from && change.kind == kind) {
                events.push_back(change.event);
            }
        }
        return !events.empty() || this->away || this->stopping;
    });
    return {{"events", events}, {"at", this->revision}};
}

bool Store::answer(Socket &socket, const Request &request)
{
    if (this->isAway()) {
        return false;
    }
    const std::string target(request.target().data(), request.target().size());
    const std::string path = target.substr(std::string(prefix).size(), target.find('?') - std::string(prefix).size());
    const std::string kind = path.substr(0, path.find('/'));
    const std::string name = path.size() > kind.size() ? path.substr(kind.size() + 1) : "";
    unsigned status = 200;
    json body;
    if (request.method() == verb::get && !queryValue(target, "watch").empty()) {
        body = this->watch(kind, std::stoull(queryValue(target, "watch")), std::stoi(queryValue(target, "wait_ms")));
    } else if (request.method() == verb::get) {
        body = this->list(kind);
    } else if (request.method() == verb::post) {
        const json object = json::parse(request.body());
        const std::string created = object.at("metadata").at("name").get<std::string>();
        const std::lock_guard lock(this->mutex);
        status = this->objects[kind].contains(created) ? 409 : 200;
        body = status == 200 ? this->write(kind, created, object.at("spec")) : this->objects[kind][created];
    } else if (request.method() == verb::delete_) {
        this->remove(kind, name);
    }
    if (this->isAway()) {
        return false;
    }
    if (body.is_null() && request.method() == verb::get) {
        status = 410;
    }
    const std::string text = body.dump();
    sendBytes(socket,
              "HTTP/1.1 " + std::to_string(status) + " -\r\nStore-Era: " + std::to_string(this->currentEra())
                  + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
    return true;
}

}
