#pragma once

/** @file Follows one collection of the store: a list, then watches from its revision on. */

#include "connection/http/call_client.h"
#include "process/store/list_cursor.h"
#include "process/store/objects.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassnotch::process::store
{

/** @brief Reads one answer while it arrives, in bounded memory: contents that are of no use to the daemon are not kept. */
template <class Result>
class AnswerReader
{
public:
    virtual ~AnswerReader() = default;

    virtual void take(std::string_view part) = 0;
    /** @returns what was read; called once, when nothing more comes. */
    virtual Result finish() = 0;
};

/** @brief The store's language; implemented where the platform is spoken. */
class StoreDialect
{
public:
    virtual ~StoreDialect() = default;

    /** @param mayBeStale Whether an answer that is some seconds old will do; such calls cost the store less. */
    virtual std::string listTarget(Collection collection, const std::string &afterName, bool mayBeStale) const = 0;
    virtual std::string watchTarget(Collection collection, std::uint64_t revision, Duration wait) const = 0;
    virtual std::string objectTarget(Collection collection, const std::string &name) const = 0;
    /** @returns the name of the only object of the collection that is of use; nullopt where all are. */
    virtual std::optional<std::string> onlyObject(Collection collection) const = 0;
    virtual std::unique_ptr<AnswerReader<ObjectPage>> pageReader(Collection collection) const = 0;
    virtual std::unique_ptr<AnswerReader<ChangePage>> changesReader(Collection collection) const = 0;
    /** @returns the era that an answer of the store names; nullopt when it names none. */
    virtual std::optional<std::uint64_t> readEra(const connection::http::AnswerHeader &answer) const = 0;
    virtual std::string statusTarget(Collection collection, const std::string &name) const = 0;
    /** @returns the body of a write that the store refuses when the object has another revision. */
    virtual std::string writeStatus(const std::string &name, std::uint64_t revision, const nlohmann::json &status) const = 0;
    /** @returns the object that the store told in answer to a write; nullopt when the body is none. */
    virtual std::optional<StoredObject> readStored(const std::string &body) const = 0;
    virtual std::string writeObject(const std::string &name, const nlohmann::json &content) const = 0;
};

/** @brief What a watcher tells its owner. */
struct WatcherHooks {
    /** All objects of the collection; earlier knowledge is replaced. */
    std::function<void(const std::vector<StoredObject> &)> onList;
    /** Objects of a list whose end is not read yet. What is known of others stays as it is. */
    std::function<void(const std::vector<StoredObject> &)> onPart;
    /** The list can't be read as a whole for now: what onPart told, and the changes that follow, are all that can be known. */
    std::function<void()> onIncomplete;
    std::function<void(const ObjectChange &)> onChange;
    /** The store came back from an older copy. The next list may lack what is known, or hold what has been replaced. */
    std::function<void()> onEraChange;
    /** All changes that the store had accepted at this time are known; later ones follow this position. Not told after onIncomplete, until
     * a list was read to its end. */
    std::function<void(Time asOf, const Position &reached)> onConfirmed;
    /** The store stopped answering, told with each call that fails from then on, or answers again. */
    std::function<void(bool isReachable, const std::string &cause)> onReachability;
    /** One call was made, with its status; zero without an answer. */
    std::function<void(unsigned status)> onCall;
};

/** @brief How often a collection is asked for. Each call costs, so changes that may wait are taken together. */
struct WatchPace {
    Duration longestWait {0}; ///< How long the store may hold a watch that has no change to tell; zero to list again instead.
    Duration pause {0}; ///< After an answer with changes, or between lists.
    Duration searchPause {0}; ///< Least pause between calls while the store is lost.

    bool operator==(const WatchPace &) const = default;
};

/**
 * @brief One kept connection to the store, with one call at a time.
 * @remarks A list goes on behind what can't be read of it, and is read again from its beginning after a pause. In the meantime, changes are
 * followed from where its first pages were read.
 */
class CollectionWatcher
{
public:
    CollectionWatcher(boost::asio::io_context &context, connection::http::Endpoint storeAddress,
                      std::shared_ptr<const StoreDialect> storeDialect, Collection watched, WatchPace watchPace, WatcherHooks watcherHooks);

    /** @brief Begins, or goes on where it stopped. */
    void start();
    /** @brief Begins after calls that failed elsewhere: the store may not hold this one, and onReachability tells when it answers.
     * @param failedCalls In a row; the more, the longer are the pauses. Zero to call at once. */
    void startSearch(std::uint32_t failedCalls);
    void stop();
    /** @brief Goes on after a position that is known from elsewhere, if it is a later one. */
    void skipTo(const Position &knownPosition);
    std::uint32_t failedCalls() const
    {
        return this->failures;
    }
    /** @brief Takes another pace with the next call. @returns whether it differs from the last one. */
    bool setPace(WatchPace newPace);

private:
    void call();
    void takePart(std::string_view part);
    void onAnswer(const connection::http::CallResult &result, bool isWatch, Time sentAt);
    /** A list that is being read, page by page. */
    struct Listing {
        std::uint64_t era = 0;
        Time begun {0};
        std::map<std::string, StoredObject> objects; ///< By name, so that a page that comes again adds nothing.
        std::optional<std::uint64_t> revision; ///< Of the first whole page: changes after it may concern pages that were read before.
        std::string spoiltBy; ///< Why a part could not be read; empty while all could.
    };

    bool isListDue(Time now) const;
    /** @brief The store did not answer, or refused a call that it may accept later. */
    void onFailure(const std::string &cause);
    /** @brief The store answered a watch, but what it told can't be read, or it doesn't accept such a call. */
    void onUnusableChanges(const std::string &cause);
    /** @brief The same of a list. @param page What was read of it. @param answerEra As the answer names it; the last one known, where it
     * names none. @param isRefused Whether the store doesn't accept the call. */
    void onUnusablePage(const ObjectPage &page, std::uint64_t answerEra, Time sentAt, bool isRefused);
    void listAgain();
    /** @brief Begins a list, unless one is being read. */
    void beginList(std::uint64_t listedEra, Time begun);
    void takePage(const ObjectPage &page, std::uint64_t answerEra, Time sentAt);
    /** @returns whether the page has an object that no page before it has told. */
    bool addObjects(const ObjectPage &page);
    /** @brief Adds the objects of a page, or of a part of one, and tells them as a part of the list. @returns whether one is new. */
    bool takeObjects(const ObjectPage &page);
    /** @brief Asks for the next page, unless the list is too long. */
    void goOn();
    /** @brief Goes on behind what can't be read, or ends the list. */
    void skipUnreadable(const std::string &cause);
    void takeSearchAnswer(const ObjectPage &page);
    void finishList();
    /** @returns whether the collection has a single object of use, and the list has told it. */
    bool isAllOfUseListed() const;
    /** @brief Goes on without the rest of the list. */
    void endIncompleteList(const std::string &cause);
    /** @brief Lets the list be read again after a pause. */
    void listLater();
    void tellEra(std::uint64_t listedEra, std::uint64_t revision);
    void takeChanges(const ChangePage &page, Time sentAt);
    bool isPolling() const;
    void noteReachable();
    void again(Duration pause);

    connection::http::CallClient client;
    std::shared_ptr<const StoreDialect> dialect;
    Collection collection;
    WatchPace pace;
    WatcherHooks hooks;
    connection::OneShotTimer timer;
    std::optional<Position> position; ///< Watch from here; list first without it.
    std::optional<std::uint64_t> era; ///< Of the last position.
    std::optional<Listing> listing;
    ListCursor cursor; ///< Of the list that is being read.
    std::unique_ptr<AnswerReader<ObjectPage>> pageReader; ///< Of the list call in progress.
    std::unique_ptr<AnswerReader<ChangePage>> changesReader; ///< Of the watch in progress.
    bool isIncomplete = false; ///< The last list was not read to its end.
    Time listAgainAt {0}; ///< After an incomplete list.
    std::uint32_t restarts = 0; ///< Lists that were begun since changes were read.
    std::uint32_t failures = 0; ///< In a row.
    std::uint32_t unusableAnswers = 0; ///< In a row.
    bool isReachable = true;
    bool isStopped = true;
};

}
