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
/** Time for a whole answer, beyond the time that the store may hold the call: large ones take a small VM seconds to read. */
constexpr Duration longestAnswer = 10s;
constexpr Duration connectTimeout = 500ms;
/** Pauses after failed calls, doubling: calls to a store that refuses them cost as much as others. */
constexpr Duration firstPause = 50ms;
constexpr Duration longestPause = 800ms;
constexpr std::uint32_t mostDoublings = 4;
/** Failures in a row after which the store counts as lost, or the rest of a list as unreadable. */
constexpr std::uint32_t failuresUntilLost = 2;
/** Pause before a list that could not be read to its end is read again. */
constexpr Duration incompleteListPause = 2s;
/** Objects and pages of one list: many times the daemons and backend servers of the largest deployment. */
constexpr std::size_t maxListedObjects = 20'000;
constexpr std::size_t maxPages = 200;

constexpr unsigned statusOk = 200;
constexpr unsigned firstCallerErrorStatus = 400;
constexpr unsigned statusRequestTimeout = 408;
constexpr unsigned statusGone = 410;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned firstServerErrorStatus = 500;

/** @returns whether the store would refuse the same call again. */
bool isFinalRefusal(unsigned status)
{
    return status >= firstCallerErrorStatus && status < firstServerErrorStatus && status != statusRequestTimeout
        && status != statusTooManyRequests;
}

Duration pauseAfter(std::uint32_t failures)
{
    const std::uint32_t doublings = std::min(failures - 1, mostDoublings);
    return std::min(firstPause * (1 << doublings), longestPause);
}

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

void CollectionWatcher::startSearch(std::uint32_t failedCalls)
{
    if (this->isStopped) {
        this->isStopped = false;
        this->failures = std::max(failedCalls, failuresUntilLost);
        this->isReachable = false;
        this->again(failedCalls == 0 ? Duration(0) : std::max(pauseAfter(this->failures), this->pace.searchPause));
    }
}

void CollectionWatcher::stop()
{
    this->isStopped = true;
    this->timer.cancel();
    this->client.cancel();
    this->listing.reset();
}

void CollectionWatcher::skipTo(const Position &knownPosition)
{
    // What is known from elsewhere is whole, also where it is older than an incomplete list.
    const bool isWholeInstead = this->isIncomplete && this->position && knownPosition.era >= this->position->era;
    if (!this->position || isWholeInstead || knownPosition >= *this->position) {
        this->position = knownPosition;
        this->isIncomplete = false;
    }
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
    const Time sentAt = readClock();
    const bool isWatch = !this->isListDue(sentAt);
    // After a failure the question is whether the store is back, and the answer must not wait for a change.
    const Duration wait = this->failures > 0 ? Duration(0) : this->pace.longestWait;
    const std::string after = this->listing ? this->cursor.next() : "";
    const auto target = isWatch ? this->dialect->watchTarget(this->collection, this->position->revision, wait)
                                : this->dialect->listTarget(this->collection, after, this->isPolling());
    const Duration held = isWatch ? wait : Duration(0);
    const http::CallTimeouts timeouts {connectTimeout, held + longestAnswer, held + answerTimeout, answerTimeout};
    this->changesReader = isWatch ? this->dialect->changesReader(this->collection) : nullptr;
    this->pageReader = isWatch ? nullptr : this->dialect->pageReader(this->collection);
    this->client.call(
        http::Request(boost::beast::http::verb::get, target, 11), timeouts,
        [this](const http::AnswerHeader &header, std::string_view part) {
            if (header.result_int() == statusOk) {
                this->takePart(part);
            }
        },
        [this, isWatch, sentAt](const http::CallResult &result) {
            this->hooks.onCall(result.status);
            // An answer that breaks off after its header tells what came before, and that the store answers.
            if (result.status != 0 || (result.header && result.header->result_int() == statusOk)) {
                this->onAnswer(result, isWatch, sentAt);
            } else {
                this->onFailure(result.failure);
            }
        });
}

void CollectionWatcher::takePart(std::string_view part)
{
    if (this->changesReader) {
        this->changesReader->take(part);
    } else {
        this->pageReader->take(part);
    }
}

bool CollectionWatcher::isListDue(Time now) const
{
    return this->listing || !this->position || (this->isIncomplete && now >= this->listAgainAt);
}

void CollectionWatcher::listAgain()
{
    this->position.reset();
    this->listing.reset();
    // A store that keeps no history, or names another era in each answer, would be asked without a pause.
    const Duration pause = this->restarts == 0 ? Duration(0) : pauseAfter(this->restarts);
    this->again(this->isIncomplete ? std::max(pause, this->listAgainAt - readClock()) : pause);
    ++this->restarts;
}

void CollectionWatcher::onAnswer(const http::CallResult &result, bool isWatch, Time sentAt)
{
    if (result.status == statusGone && isWatch) {
        // The store dropped the changes since our position.
        this->listAgain();
        return;
    }
    const bool isFinal = isFinalRefusal(result.status);
    if (result.status != 0 && result.status != statusOk && !isFinal) {
        this->onFailure("status " + std::to_string(result.status));
        return;
    }
    const std::uint64_t answerEra = this->dialect->readEra(*result.header).value_or(this->era.value_or(0));
    if (!isFinal && this->era && answerEra < *this->era) {
        this->onFailure("answer of an earlier era");
        return;
    }
    const std::uint64_t expectedEra = this->listing ? this->listing->era : (this->position ? this->position->era : answerEra);
    if (!isFinal && answerEra != expectedEra) {
        // Revisions of different eras can't be compared, whether the store has ours again or not.
        this->listAgain();
        return;
    }
    const std::string failure = isFinal ? "status " + std::to_string(result.status) : result.failure;
    if (isWatch) {
        const ChangePage changes = this->changesReader->finish();
        if (failure.empty() && changes.isWhole()) {
            this->takeChanges(changes, sentAt);
        } else {
            this->onUnusableChanges(failure.empty() ? changes.failure : failure);
        }
        return;
    }
    ObjectPage page = this->pageReader->finish();
    page.failure = failure.empty() ? page.failure : failure;
    if (page.isWhole()) {
        this->takePage(page, answerEra, sentAt);
    } else {
        this->onUnusablePage(page, isFinal ? expectedEra : answerEra, sentAt, isFinal);
    }
}

void CollectionWatcher::beginList(std::uint64_t listedEra, Time begun)
{
    if (!this->listing) {
        Listing listed;
        listed.era = listedEra;
        listed.begun = begun;
        this->listing = std::move(listed);
        this->cursor.restart();
    }
}

void CollectionWatcher::takePage(const ObjectPage &page, std::uint64_t answerEra, Time sentAt)
{
    this->noteReachable();
    this->unusableAnswers = 0;
    this->beginList(answerEra, sentAt);
    if (!this->listing->revision) {
        this->listing->revision = page.revision;
        if (page.hasMore) {
            this->tellEra(answerEra, page.revision);
        }
    }
    if (this->cursor.isSearching()) {
        this->takeSearchAnswer(page);
        return;
    }
    if (!page.hasMore && this->listing->spoiltBy.empty()) {
        this->addObjects(page);
        this->cursor.forgetSearches();
        this->finishList();
        return;
    }
    const bool isNew = this->takeObjects(page);
    if (!page.hasMore) {
        this->endIncompleteList(std::string(this->listing->spoiltBy));
        return;
    }
    std::vector<std::string> names;
    std::transform(page.objects.begin(), page.objects.end(), std::back_inserter(names),
                   [](const StoredObject &object) { return object.name; });
    if (this->cursor.goOnBehind(names, isNew) || (!names.empty() && this->cursor.fallBack())) {
        this->goOn();
    } else {
        this->skipUnreadable("the page after \"" + this->cursor.next() + "\" brings nothing new");
    }
}

void CollectionWatcher::onUnusablePage(const ObjectPage &page, std::uint64_t answerEra, Time sentAt, bool isRefused)
{
    this->noteReachable();
    this->beginList(answerEra, sentAt);
    if (this->cursor.isSearching()) {
        this->takeSearchAnswer(page);
        return;
    }
    if (isRefused && !this->cursor.isKnownStuck() && this->cursor.fallBack()) {
        this->goOn();
        return;
    }
    if (!this->cursor.isKnownStuck() && ++this->unusableAnswers < failuresUntilLost) {
        this->again(std::max(pauseAfter(this->unusableAnswers), this->isPolling() ? this->pace.pause : Duration(0)));
        return;
    }
    this->unusableAnswers = 0;
    this->takeObjects(page);
    if (this->cursor.leadsTo(page.lastName)) {
        this->listing->spoiltBy = page.failure;
        this->cursor.goOnAfter(page.lastName);
        this->goOn();
    } else {
        this->skipUnreadable(page.failure);
    }
}

bool CollectionWatcher::addObjects(const ObjectPage &page)
{
    const std::size_t known = this->listing->objects.size();
    for (const StoredObject &object : page.objects) {
        this->listing->objects.insert_or_assign(object.name, object);
    }
    return this->listing->objects.size() > known;
}

bool CollectionWatcher::takeObjects(const ObjectPage &page)
{
    const bool isNew = this->addObjects(page);
    if (!page.objects.empty()) {
        this->hooks.onPart(page.objects);
    }
    return isNew;
}

void CollectionWatcher::goOn()
{
    const bool isTooLong = this->cursor.pages() >= maxPages || this->listing->objects.size() > maxListedObjects;
    if (isTooLong && !this->cursor.isSearching()) {
        this->endIncompleteList("the list is too long");
    } else {
        this->again(Duration(0));
    }
}

void CollectionWatcher::skipUnreadable(const std::string &cause)
{
    this->listing->spoiltBy = cause;
    if (this->cursor.skipUnreadable(this->listing->objects.empty(), readClock())) {
        this->goOn();
    } else {
        this->endIncompleteList(cause);
    }
}

void CollectionWatcher::takeSearchAnswer(const ObjectPage &page)
{
    const bool isReadable = page.isWhole() && (!page.hasMore || !page.lastName.empty());
    this->cursor.noteAnswer(isReadable, page.lastName);
    this->takeObjects(page);
    this->skipUnreadable(std::string(this->listing->spoiltBy));
}

void CollectionWatcher::tellEra(std::uint64_t listedEra, std::uint64_t revision)
{
    if (this->isPolling() || !this->era || listedEra <= *this->era) {
        return;
    }
    logEvent("store_came_back_older",
             {{"collection", nameOf(this->collection)},
              {"era", std::to_string(listedEra)},
              {"era_before", std::to_string(*this->era)},
              {"revision", std::to_string(revision)}});
    this->era = listedEra;
    this->hooks.onEraChange();
}

void CollectionWatcher::finishList()
{
    const Listing ended = *std::exchange(this->listing, std::nullopt);
    std::vector<StoredObject> objects;
    objects.reserve(ended.objects.size());
    for (const auto &[name, object] : ended.objects) {
        objects.push_back(object);
    }
    this->isIncomplete = false;
    if (this->isPolling()) {
        this->hooks.onList(objects);
        this->again(this->pace.pause);
        return;
    }
    this->tellEra(ended.era, *ended.revision);
    this->hooks.onList(objects);
    this->era = ended.era;
    this->position = Position {ended.era, *ended.revision};
    this->hooks.onConfirmed(ended.begun, *this->position);
    this->again(Duration(0));
}

bool CollectionWatcher::isAllOfUseListed() const
{
    const auto only = this->dialect->onlyObject(this->collection);
    return only && this->listing->revision && this->listing->objects.contains(*only);
}

void CollectionWatcher::endIncompleteList(const std::string &cause)
{
    logWarning("list_incomplete",
               {{"collection", nameOf(this->collection)}, {"cause", cause}, {"objects", std::to_string(this->listing->objects.size())}});
    if (this->isAllOfUseListed()) {
        this->finishList();
        this->listLater();
        return;
    }
    this->listLater();
    const Listing ended = *std::exchange(this->listing, std::nullopt);
    this->hooks.onIncomplete();
    if (this->isPolling()) {
        this->again(std::max(this->pace.pause, incompleteListPause));
        return;
    }
    if (ended.revision && !this->position) {
        this->position = Position {ended.era, *ended.revision};
        this->era = ended.era;
    }
    this->again(this->position ? Duration(0) : incompleteListPause);
}

void CollectionWatcher::listLater()
{
    this->isIncomplete = true;
    this->listAgainAt = readClock() + incompleteListPause;
}

void CollectionWatcher::takeChanges(const ChangePage &page, Time sentAt)
{
    this->noteReachable();
    this->unusableAnswers = 0;
    this->restarts = 0;
    for (const ObjectChange &change : page.changes) {
        this->hooks.onChange(change);
    }
    const bool isFutile = page.changes.empty() && page.revision <= this->position->revision && readClock() - sentAt < firstPause;
    this->position->revision = std::max(this->position->revision, page.revision);
    if (!this->isIncomplete) {
        this->hooks.onConfirmed(sentAt, *this->position);
    }
    this->again(isFutile ? firstPause : (page.changes.empty() ? Duration(0) : this->pace.pause));
}

void CollectionWatcher::onFailure(const std::string &cause)
{
    ++this->failures;
    if (this->failures >= failuresUntilLost && this->listing) {
        if (this->listing->revision || !this->listing->objects.empty()) {
            this->endIncompleteList(cause);
            return;
        }
        this->listing.reset();
    }
    if (this->failures >= failuresUntilLost) {
        this->isReachable = false;
        this->hooks.onReachability(false, cause);
    }
    const Duration least = this->isPolling() ? this->pace.pause : (this->isReachable ? Duration(0) : this->pace.searchPause);
    this->again(std::max(pauseAfter(this->failures), least));
}

void CollectionWatcher::onUnusableChanges(const std::string &cause)
{
    this->noteReachable();
    if (++this->unusableAnswers < failuresUntilLost) {
        this->again(pauseAfter(this->unusableAnswers));
        return;
    }
    this->unusableAnswers = 0;
    // A list brings the state after the changes that can't be read.
    logWarning("changes_unreadable", {{"collection", nameOf(this->collection)}, {"cause", cause}});
    this->listAgain();
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
        this->listAgainAt = Time(0);
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
