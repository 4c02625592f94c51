#include "process/mirror/mirror_server.h"

#include "process/clock.h"
#include "process/event_log.h"
#include "process/mirror/limits.h"

#include <algorithm>

namespace eelgrassnotch::process::mirror
{

namespace http = connection::http;
using store::Collection;

MirrorServer::MirrorServer(boost::asio::io_context &context, const http::Endpoint &address)
    : listener(context, address, this->hooks(), maxFollowers)
{
    for (const Collection collection : mirroredCollections) {
        this->mirrors.emplace(collection, CollectionMirror(collection));
    }
}

http::SessionHooks MirrorServer::hooks()
{
    http::SessionHooks hooks;
    hooks.limits = [] { return http::SessionLimits {maxRequestHeaderBytes, maxRequestBytes, requestTimeout, idleTimeout}; };
    hooks.onRequest = [this](const http::ServerSessionPtr &session, const http::Request &request) { this->onRequest(session, request); };
    hooks.onRejected = [](unsigned status, const std::string &reason) {
        logWarning("relay_request_rejected", {{"status", std::to_string(status)}, {"reason", reason}});
    };
    hooks.isClosing = [] { return false; };
    return hooks;
}

void MirrorServer::onRequest(const http::ServerSessionPtr &session, const http::Request &request)
{
    const Time now = readClock();
    const auto known = decodeRequest(request.body());
    if (!known) {
        session->sendAnswer(http::Answer(boost::beast::http::status::bad_request, 11));
        return;
    }
    const Waiting asked {session, *known, now};
    if (!this->canServe(*known, now) || this->hasNewsFor(*known)) {
        this->answer(asked, now);
        return;
    }
    const auto place = this->waiting.insert(this->waiting.end(), asked);
    session->watchCaller([this, place] { this->waiting.erase(place); });
}

bool MirrorServer::canServe(const Positions &known, Time now) const
{
    return this->isWatching && std::all_of(this->mirrors.begin(), this->mirrors.end(), [&known, now](const auto &entry) {
               const auto position = known.find(entry.first);
               const bool isBehind = position != known.end() && entry.second.isBehind(position->second);
               return entry.second.isComplete() && !isBehind && now - entry.second.confirmedAt() <= maxAge;
           });
}

bool MirrorServer::hasNewsFor(const Positions &known) const
{
    return std::any_of(this->mirrors.begin(), this->mirrors.end(), [&known](const auto &entry) {
        const auto position = known.find(entry.first);
        return position == known.end() || entry.second.hasNewsSince(position->second);
    });
}

void MirrorServer::answer(const Waiting &asked, Time now) const
{
    http::Answer answer(boost::beast::http::status::ok, 11);
    if (this->canServe(asked.known, now)) {
        SyncReply reply {now - asked.since, this->outages, {}};
        for (const auto &[collection, mirror] : this->mirrors) {
            const auto position = asked.known.find(collection);
            reply.updates.push_back(mirror.since(position == asked.known.end() ? std::nullopt : std::optional(position->second), now));
        }
        answer.body() = encodeReply(reply);
    } else {
        answer.result(boost::beast::http::status::service_unavailable);
    }
    asked.session->sendAnswer(std::move(answer));
}

void MirrorServer::answerThose(const std::function<bool(const Waiting &)> &isReady, Time now)
{
    std::list<Waiting> ready;
    for (auto asked = this->waiting.begin(); asked != this->waiting.end();) {
        const auto next = std::next(asked);
        if (isReady(*asked)) {
            ready.splice(ready.end(), this->waiting, asked);
        }
        asked = next;
    }
    for (const Waiting &asked : ready) {
        this->answer(asked, now);
    }
}

void MirrorServer::noteConfirmed(Collection collection, Time now)
{
    this->answerThose(
        [this, collection, now](const Waiting &asked) {
            const bool isFresh = collection == Collection::Configuration && now - asked.since >= shortestHold;
            return isFresh || this->hasNewsFor(asked.known);
        },
        now);
}

void MirrorServer::setWatching(bool isWatchingStore)
{
    this->isWatching = isWatchingStore;
    if (!isWatchingStore) {
        this->answerThose([](const Waiting &) { return true; }, readClock());
    }
}

void MirrorServer::tick(Time now)
{
    this->answerThose([now](const Waiting &asked) { return now - asked.since >= longestHold; }, now);
}

}
