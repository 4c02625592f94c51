#include "standin/object_store.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <set>
#include <sstream>
#include <string_view>

namespace standin
{

using boost::beast::http::verb;
using nlohmann::json;

namespace
{

constexpr const char *prefix = "/-/objects/";

/** What the path and the query of a target may hold, beside escapes (RFC 3986). */
constexpr std::string_view allowedMarks = "-._~!$&'()*+,;=:@/?";

bool isTargetText(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '%'
            || allowedMarks.find(character) != std::string_view::npos;
    });
}

/** @returns the text without its escapes; nothing when one of them is none. */
std::optional<std::string> decode(const std::string &text, bool isQuery)
{
    constexpr std::size_t escapeLength = 3;
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            decoded += isQuery && text[at] == '+' ? ' ' : text[at];
            continue;
        }
        const std::string digits = text.substr(at + 1, escapeLength - 1);
        if (digits.size() + 1 < escapeLength || digits.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
            return std::nullopt;
        }
        decoded += static_cast<char>(std::stoi(digits, nullptr, hexadecimal));
        at += digits.size();
    }
    return decoded;
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        parts.push_back(part);
    }
    return parts;
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
        this->texts[kind].erase(name);
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

void ObjectStore::putText(const std::string &kind, const std::string &name, const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    this->texts[kind][name] = text;
    this->note(kind, name, nullptr, false);
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

void ObjectStore::setListFault(ListFault fault)
{
    const std::lock_guard lock(this->mutex);
    this->listFault = std::move(fault);
}

void ObjectStore::breakListsAt(const std::string &kind, const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    this->breakTexts[kind] = text;
}

std::size_t ObjectStore::toldBytes(const std::string &kind, const std::string &body) const
{
    const std::lock_guard lock(this->mutex);
    const auto text = this->breakTexts.find(kind);
    return text == this->breakTexts.end() ? body.size() : std::min(body.find(text->second), body.size());
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

std::optional<ObjectStore::Target> ObjectStore::readTarget(const std::string &text)
{
    static const std::set<std::string> known {"after_rev", "serializable", "watch", "wait_ms", "revision"};
    if (!isTargetText(text) || !text.starts_with(prefix)) {
        return std::nullopt;
    }
    const std::size_t pathEnd = std::min(text.find('?'), text.size());
    const std::vector<std::string> path = split(text.substr(std::string(prefix).size(), pathEnd - std::string(prefix).size()), '/');
    constexpr std::size_t withStatus = 3;
    if (path.empty() || path.size() > withStatus || (path.size() == withStatus && path.back() != "status")) {
        return std::nullopt;
    }
    const auto kind = decode(path[0], false);
    const auto name = path.size() > 1 ? decode(path[1], false) : std::optional<std::string>("");
    if (!kind || !name) {
        return std::nullopt;
    }
    Target target {*kind, *name, path.size() == withStatus, {}};
    for (const std::string &parameter : split(text.substr(std::min(pathEnd + 1, text.size())), '&')) {
        const std::size_t equals = std::min(parameter.find('='), parameter.size());
        const auto value = decode(parameter.substr(std::min(equals + 1, parameter.size())), true);
        const std::string key = parameter.substr(0, equals);
        if (!value || !known.contains(key) || !target.query.emplace(key, *value).second) {
            return std::nullopt;
        }
    }
    return target;
}

std::string ObjectStore::textOf(const std::string &kind, const json &object) const
{
    if (const auto ofKind = this->texts.find(kind); ofKind != this->texts.end()) {
        if (const auto text = ofKind->second.find(object.at("metadata").at("name").get<std::string>()); text != ofKind->second.end()) {
            return text->second;
        }
    }
    return object.dump();
}

std::string ObjectStore::list(const std::string &kind, const std::string &afterName) const
{
    std::string items;
    std::size_t count = 0;
    bool hasMore = false;
    if (const auto found = this->objects.find(kind); found != this->objects.end()) {
        for (auto entry = found->second.upper_bound(afterName); entry != found->second.end() && !hasMore; ++entry) {
            const std::string text = this->textOf(kind, entry->second);
            hasMore = count == this->pageLength || (count > 0 && items.size() + text.size() > this->pageBytes);
            if (!hasMore) {
                items += (count++ == 0 ? "" : ",") + text;
            }
        }
    }
    return R"({"at":)" + std::to_string(this->revision) + R"(,"items":[)" + items + R"(],"more":)" + (hasMore ? "true" : "false") + "}";
}

std::string ObjectStore::watch(const std::string &kind, std::uint64_t from, int waitMs, unsigned &status)
{
    int unset = -1;
    this->firstWaitMs.compare_exchange_strong(unset, waitMs);
    std::unique_lock lock(this->mutex);
    std::string events;
    const std::uint64_t eraAtBegin = this->era;
    const auto collect = [&] {
        events.clear();
        for (const Change &change : this->history) {
            if (change.revision > from && change.kind == kind) {
                events += (events.empty() ? "" : ",") + (R"({"object":)" + this->textOf(kind, change.event.at("object"))) + R"(,"removed":)"
                    + (change.event.at("removed").get<bool>() ? "true" : "false") + "}";
            }
        }
        return !events.empty() || from < this->oldest || from > this->revision || this->era != eraAtBegin || this->stopping;
    };
    this->changed.wait_for(lock, std::chrono::milliseconds(waitMs), collect);
    // Watches that wait are cut off by the return of the store; here they end with what the new era has.
    status = from < this->oldest || from > this->revision ? 410 : 200;
    return R"({"at":)" + std::to_string(this->revision) + R"(,"events":[)" + events + "]}";
}

std::string ObjectStore::carryOut(const Request &request, const Target &target, unsigned &status)
{
    const auto &[kind, name, isStatus, query] = target;
    if (request.method() == verb::get && query.contains("watch")) {
        return this->watch(kind, std::stoull(query.at("watch")), std::stoi(query.at("wait_ms")), status);
    }
    if (request.method() == verb::get && !name.empty()) {
        const std::lock_guard lock(this->mutex);
        const auto &ofKind = this->objects[kind];
        const auto found = ofKind.find(name);
        status = found == ofKind.end() ? 404 : 200;
        return found == ofKind.end() ? "{}" : found->second.dump();
    }
    if (request.method() == verb::get) {
        const std::string afterName = query.contains("after_rev") ? query.at("after_rev") : "";
        std::string body;
        ListFault fault;
        {
            const std::lock_guard lock(this->mutex);
            if (this->refusesUnknownCursors && !afterName.empty() && !this->objects[kind].contains(afterName)) {
                status = 404;
                return "{}";
            }
            body = this->list(kind, afterName);
            fault = this->listFault;
        }
        if (fault) {
            fault(kind, afterName, status, body);
        }
        return body;
    }
    if (request.method() == verb::post) {
        const json object = json::parse(request.body());
        const std::string created = object.at("metadata").at("name").get<std::string>();
        const std::lock_guard lock(this->mutex);
        status = this->objects[kind].contains(created) ? 409 : 200;
        if (status == 200) {
            this->note(kind, created, object.at("spec"), false);
        }
        return this->objects[kind][created].dump();
    }
    if (request.method() == verb::put && isStatus) {
        return this->writeStatus(kind, name, json::parse(request.body()), status).dump();
    }
    if (request.method() == verb::delete_ && !name.empty()) {
        this->remove(kind, name);
        return "";
    }
    status = 400;
    return "";
}

bool ObjectStore::answer(Socket &socket, const Request &request)
{
    ++this->calls;
    std::this_thread::sleep_for(std::chrono::milliseconds(this->delayMs));
    if (this->refusesAll) {
        sendBytes(socket, httpAnswer(503, "{}", this->currentEra()));
        return true;
    }
    unsigned status = 200;
    std::string body;
    std::size_t unsent = 0;
    if (const auto target = readTarget(std::string(request.target().data(), request.target().size()))) {
        body = this->carryOut(request, *target, status);
        const bool isList = request.method() == verb::get && target->name.empty() && !target->query.contains("watch");
        unsent = isList ? body.size() - this->toldBytes(target->kind, body) : 0;
    } else {
        status = 400;
    }
    const bool isWatch = request.target().find("watch=") != boost::beast::string_view::npos;
    if (isWatch) {
        std::this_thread::sleep_for(std::chrono::milliseconds(this->watchDelayMs));
    }
    if (isWatch && this->cutsWatches) {
        sendReset(socket);
        return false;
    }
    const bool isWrite = request.method() != verb::get;
    if (isWrite && this->losesNextWrite.exchange(false)) {
        sendReset(socket);
        return false;
    }
    const std::string message = httpAnswer(status, body, this->currentEra());
    sendBytes(socket, message.substr(0, message.size() - unsent));
    return unsent == 0;
}

}
