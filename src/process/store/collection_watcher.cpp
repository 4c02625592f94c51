#include "process/store/collection_watcher.h"

#include "process/clock.h"
#include "process/event_log.h"

#include <algorithm>

namespace eelgrassnotch::process::store
{

namespace http = connection::http;

namespace
{

using namespace std::chrono_literals;

/** Time for an answer beyond the time that the store may hold the call: many times its usual few milliseconds. */
constexpr Duration answerTimeout = 900ms;
constexpr Duration connectTimeout = 500ms;
/** Pauses after failed calls, doubling: calls to a store that refuses them cost as much as others. */
constexpr Duration firstPause = 50ms;
constexpr Duration longestPause = 800ms;
constexpr std::uint32_t mostDoublings = 4;
/** Failures in a row after which the store counts as lost. */
constexpr std::uint32_t failuresUntilLost = 2;

constexpr unsigned statusOk = 200;
constexpr unsigned statusGone = 410;

}

const char *nameOf(Collection collection)
{
    switch (collection) {
    case Collection::Configuration:
        return "configuration";
    case Collection::Backends:
        return "backends";
    case Collection::TakenOutDataCentres:
        return "taken_out";
    case Collection::Daemons:
        return "daemons";
    case Collection::Rollouts:
        return "rollouts";
    case Collection::count:
        break;
    }
    return "unknown";
}

CollectionWatcher::CollectionWatcher(boost::asio::io_context &ioContext, http::Endpoint storeAddress,
                                     std::shared_ptr<const StoreDialect> storeDialect, Collection watched, WatchPace watchPace,
                                     WatcherHooks watcherHooks)
    : client(ioContext, std::move(storeAddress))
    , dialect(std::move(storeDialect))
    , collection(watched)
    , pace(watchPace)
    , hooks(std::move(watcherHooks))
    , timer(ioContext.get_executor())
{
}

void CollectionWatcher::start()
{
    if (this->isStopped) {
        this->isStopped = false;
        this->failures = 0;
        this->isReachable = true;
        this->call();
    }
}

void CollectionWatcher::stop()
{
    this->isStopped = true;
    this->timer.cancel();
    this->client.cancel();
    this->listed.clear();
}

void CollectionWatcher::skipTo(const Position &knownPosition)
{
    this->position = std::max(this->position.value_or(Position {}), knownPosition);
    this->era = this->position->era;
}

bool CollectionWatcher::setPace(WatchPace newPace)
{
    return std::exchange(this->pace, newPace) != newPace;
}

void CollectionWatcher::call()
{
    if (this->isStopped) {
        return;
    }
    const bool isWatch = this->position.has_value();
    // After a failure the question is whether the store is back, and the answer must not wait for a change.
    const Duration wait = this->failures > 0 ? Duration(0) : this->pace.longestWait;
    const std::string after = this->listed.empty() ? "" : this->listed.back().name;
    const auto target = isWatch ? this->dialect->watchTarget(this->collection, this->position->revision, wait)
                                : this->dialect->listTarget(this->collection, after, this->isPolling());
    const Time sentAt = readClock();
    const http::CallTimeouts timeouts {connectTimeout, (isWatch ? wait : Duration(0)) + answerTimeout};
    this->client.call(http::Request(boost::beast::http::verb::get, target, 11), timeouts, [this, sentAt](const http::CallResult &result) {
        this->hooks.onCall(result.status);
        if (result.status != 0) {
            this->onAnswer(result, sentAt);
        } else {
            this->onFailure(result.failure);
        }
    });
}

void CollectionWatcher::listAgain()
{
    this->position.reset();
    this->listed.clear();
    this->again(Duration(0));
}

void CollectionWatcher::onAnswer(const http::CallResult &result, Time sentAt)
{
    if (result.status == statusGone && this->position) {
        // The store dropped the changes since our position.
        this->listAgain();
        return;
    }
    if (result.status != statusOk) {
        this->onFailure("status " + std::to_string(result.status));
        return;
    }
    const std::uint64_t answerEra = this->dialect->readEra(*result.header).value_or(this->era.value_or(0));
    if (this->era && answerEra < *this->era) {
        this->onFailure("answer of an earlier era");
        return;
    }
    const std::uint64_t expectedEra = this->position ? this->position->era : (this->listed.empty() ? answerEra : this->listedEra);
    if (answerEra != expectedEra) {
        // Revisions of different eras can't be compared, whether the store has ours again or not.
        this->listAgain();
        return;
    }
    try {
        if (this->position) {
            this->takeChanges(result.body, sentAt);
        } else {
            this->takePage(result.body, answerEra, sentAt);
        }
    } catch (const std::exception &error) {
        this->onFailure(error.what());
    }
}

void CollectionWatcher::takePage(const std::string &body, std::uint64_t answerEra, Time sentAt)
{
    const ObjectPage page = this->dialect->readPage(body);
    if (this->listed.empty()) {
        this->listBegun = sentAt;
    }
    this->listedEra = answerEra;
    this->listed.insert(this->listed.end(), page.objects.begin(), page.objects.end());
    this->noteReachable();
    if (page.hasMore && !page.objects.empty()) {
        this->again(Duration(0));
        return;
    }
    const auto objects = std::exchange(this->listed, {});
    if (this->isPolling()) {
        this->hooks.onList(objects);
        this->again(this->pace.pause);
        return;
    }
    if (this->era && answerEra > *this->era) {
        logEvent("store_came_back_older",
                 {{"collection", nameOf(this->collection)},
                  {"era", std::to_string(answerEra)},
                  {"era_before", std::to_string(*this->era)},
                  {"revision", std::to_string(page.revision)}});
        this->hooks.onEraChange();
    }
    this->hooks.onList(objects);
    this->era = answerEra;
    this->position = Position {answerEra, page.revision};
    this->hooks.onConfirmed(this->listBegun, *this->position);
    this->again(Duration(0));
}

void CollectionWatcher::takeChanges(const std::string &body, Time sentAt)
{
    const ChangePage page = this->dialect->readChanges(body);
    this->noteReachable();
    for (const ObjectChange &change : page.changes) {
        this->hooks.onChange(change);
    }
    this->position->revision = std::max(this->position->revision, page.revision);
    this->hooks.onConfirmed(sentAt, *this->position);
    this->again(page.changes.empty() ? Duration(0) : this->pace.pause);
}

void CollectionWatcher::onFailure(const std::string &cause)
{
    ++this->failures;
    if (this->failures >= failuresUntilLost && this->isReachable) {
        this->isReachable = false;
        this->hooks.onReachability(false, cause);
    }
    const std::uint32_t doublings = std::min(this->failures - 1, mostDoublings);
    const Duration pause = std::min(firstPause * (1 << doublings), longestPause);
    const Duration least = this->isPolling() ? this->pace.pause : (this->isReachable ? Duration(0) : this->pace.searchPause);
    this->again(std::max(pause, least));
}

bool CollectionWatcher::isPolling() const
{
    return this->pace.longestWait == Duration(0);
}

void CollectionWatcher::noteReachable()
{
    this->failures = 0;
    if (!this->isReachable) {
        this->isReachable = true;
        this->hooks.onReachability(true, "answered");
    }
}

void CollectionWatcher::again(Duration pause)
{
    if (this->isStopped) {
        return;
    }
    this->timer.start(pause, [this] { this->call(); });
}

}
