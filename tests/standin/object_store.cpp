#include "standin/object_store.h"

#include <chrono>

namespace standin
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

std::string httpAnswer(unsigned status, const std::string &body, std::uint64_t era)
{
    return "HTTP/1.1 " + std::to_string(status) + " -\r\nStore-Era: " + std::to_string(era)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}

ObjectStore::ObjectStore()
    : server([this](Socket &socket, const Request &request) { return this->answer(socket, request); })
{
}

ObjectStore::~ObjectStore()
{
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
}

void ObjectStore::note(const std::string &kind, const std::string &name, const json &spec, bool isRemoved)
{
    ++this->revision;
    const json object = {{"metadata", {{"name", name}, {"revision", this->revision}}}, {"spec", spec}, {"status", nullptr}};
    if (isRemoved) {
        this->objects[kind].erase(name);
    } else {
        this->objects[kind][name] = object;
    }
    this->history.push_back({this->revision, kind, {{"removed", isRemoved}, {"object", object}}});
    this->changed.notify_all();
}

void ObjectStore::put(const std::string &kind, const std::string &name, const json &spec)
{
    const std::lock_guard lock(this->mutex);
    this->note(kind, name, spec, false);
}

void ObjectStore::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    this->note(kind, name, nullptr, true);
}

ObjectStore::Copy ObjectStore::copy() const
{
    const std::lock_guard lock(this->mutex);
    return {this->revision, this->objects};
}

void ObjectStore::restore(const Copy &older)
{
    const std::lock_guard lock(this->mutex);
    this->objects = older.objects;
    this->revision = older.revision;
    std::erase_if(this->history, [&older](const Change &change) { return change.revision > older.revision; });
    this->oldest = std::min(this->oldest, older.revision);
    ++this->era;
    this->changed.notify_all();
}

void ObjectStore::compact()
{
    const std::lock_guard lock(this->mutex);
    this->history.clear();
    this->oldest = ++this->revision;
    this->changed.notify_all();
}

json ObjectStore::statusOf(const std::string &kind, const std::string &name) const
{
    const std::lock_guard lock(this->mutex);
    return this->objects.at(kind).at(name).at("status");
}

json ObjectStore::writeStatus(const std::string &kind, const std::string &name, const json &written, unsigned &status)
{
    const std::lock_guard lock(this->mutex);
    if (!this->objects[kind].contains(name)) {
        status = 404;
        return json::object();
    }
    json &object = this->objects[kind][name];
    if (object.at("metadata").at("revision") != written.at("metadata").at("revision")) {
        status = 409;
        return object;
    }
    object["metadata"]["revision"] = ++this->revision;
    object["status"] = written.at("status");
    this->history.push_back({this->revision, kind, {{"removed", false}, {"object", object}}});
    this->changed.notify_all();
    return object;
}

bool ObjectStore::has(const std::string &kind, const std::string &name) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->objects.find(kind);
    return found != this->objects.end() && found->second.contains(name);
}

std::uint64_t ObjectStore::currentEra() const
{
    const std::lock_guard lock(this->mutex);
    return this->era;
}

json ObjectStore::list(const std::string &kind) const
{
    json items = json::array();
    if (const auto found = this->objects.find(kind); found != this->objects.end()) {
        for (const auto &[name, object] : found->second) {
            items.push_back(object);
        }
    }
    return {{"items", items}, {"more", false}, {"at", this->revision}};
}

std::string ObjectStore::watch(const std::string &kind, std::uint64_t from, int waitMs, unsigned &status)
{
    int unset = -1;
    this->firstWaitMs.compare_exchange_strong(unset, waitMs);
    std::unique_lock lock(this->mutex);
    json events = json::array();
    const std::uint64_t eraAtBegin = this->era;
    const auto collect = [&] {
        events.clear();
        for (const Change &change : this->history) {
            if (change.revision > from && change.kind == kind) {
                events.push_back(change.event);
            }
        }
        return !events.empty() || from < this->oldest || from > this->revision || this->era != eraAtBegin || this->stopping;
    };
    this->changed.wait_for(lock, std::chrono::milliseconds(waitMs), collect);
    // Watches that wait are cut off by the return of the store; here they end with what the new era has.
    status = from < this->oldest || from > this->revision ? 410 : 200;
    return json {{"events", events}, {"at", this->revision}}.dump();
}

bool ObjectStore::answer(Socket &socket, const Request &request)
{
    ++this->calls;
    std::this_thread::sleep_for(std::chrono::milliseconds(this->delayMs));
    if (this->refusesAll) {
        sendBytes(socket, httpAnswer(503, "{}", this->currentEra()));
        return true;
    }
    const std::string target(request.target().data(), request.target().size());
    const std::string path = target.substr(std::string(prefix).size(), target.find('?') - std::string(prefix).size());
    const std::string kind = path.substr(0, path.find('/'));
    const std::string name = path.size() > kind.size() ? path.substr(kind.size() + 1) : "";
    unsigned status = 200;
    std::string body;
    if (request.method() == verb::get && !queryValue(target, "watch").empty()) {
        body = this->watch(kind, std::stoull(queryValue(target, "watch")), std::stoi(queryValue(target, "wait_ms")), status);
    } else if (request.method() == verb::get) {
        const std::lock_guard lock(this->mutex);
        body = this->list(kind).dump();
    } else if (request.method() == verb::post) {
        const json object = json::parse(request.body());
        const std::string created = object.at("metadata").at("name").get<std::string>();
        const std::lock_guard lock(this->mutex);
        status = this->objects[kind].contains(created) ? 409 : 200;
        if (status == 200) {
            this->note(kind, created, object.at("spec"), false);
        }
        body = this->objects[kind][created].dump();
    } else if (request.method() == verb::put) {
        body = this->writeStatus(kind, name.substr(0, name.find('/')), json::parse(request.body()), status).dump();
    } else if (request.method() == verb::delete_) {
        this->remove(kind, name);
    }
    const bool isWrite = request.method() != verb::get;
    if (isWrite && this->losesNextWrite.exchange(false)) {
        sendReset(socket);
        return false;
    }
    sendBytes(socket, httpAnswer(status, body, this->currentEra()));
    return true;
}

}
