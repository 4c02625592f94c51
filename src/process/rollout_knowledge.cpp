#include "process/rollout_knowledge.h"

#include "process/clock.h"
#include "process/event_log.h"

namespace eelgrassnotch::process
{

namespace http = connection::http;
using store::Collection;

namespace
{

using namespace std::chrono_literals;

/** Changes come in one answer at once. The wait bounds the time after which a store that has gone silent is noticed. */
constexpr store::WatchPace idlePace {5s, 100ms};
/** While a rollout may advance, a daemon has to notice sooner that it doesn't reach the store. */
constexpr store::WatchPace activePace {1s, 100ms};
/** A status that the store has not taken, or whose write got no answer, is written again after this time. */
constexpr Duration rewritePause = 1s;
/** A daemon that can't read the orders after it has started serves without them, at the version that most backend servers have. */
constexpr Duration maxListWait = 3s;
constexpr unsigned firstNonSuccessStatus = 300;
constexpr unsigned statusOk = 200;

}

RolloutKnowledge::RolloutKnowledge(boost::asio::io_context &context, const std::string &storeAddress,
                                   std::shared_ptr<const ProxyDialect> proxyDialect, rollout::Rollouts &knownRollouts,
                                   std::function<void(const std::string &collection, unsigned status)> countCall)
    : dialect(std::move(proxyDialect))
    , rollouts(knownRollouts)
    , onCall(std::move(countCall))
    , watcher(context, http::parseEndpoint(storeAddress), this->dialect, Collection::Rollouts, idlePace, this->hooks())
    , writer(context, http::parseEndpoint(storeAddress), this->dialect, Collection::Rollouts,
             [this](unsigned status) { this->onCall(store::nameOf(Collection::Rollouts), status); })
{
}

void RolloutKnowledge::start()
{
    this->startedAt = readClock();
    if (this->rollouts.isEnabled()) {
        this->watcher.start();
    }
}

bool RolloutKnowledge::isComplete(Time now) const
{
    return this->hasList || !this->rollouts.isEnabled() || (this->startedAt && now - *this->startedAt > maxListWait);
}

void RolloutKnowledge::setReachable(bool isStoreReachable, const std::string &cause)
{
    if (this->isReachable == isStoreReachable) {
        return;
    }
    this->isReachable = isStoreReachable;
    this->rollouts.setStoreReachable(isStoreReachable);
    logEvent(isStoreReachable ? "rollouts_resumed" : "rollouts_held", {{"cause", cause}});
}

store::WatcherHooks RolloutKnowledge::hooks()
{
    store::WatcherHooks hooks;
    hooks.onList = [this](const std::vector<store::StoredObject> &objects) {
        std::vector<rollout::RolloutOrder> orders;
        for (const store::StoredObject &object : objects) {
            if (auto order = this->dialect->readRollout(object)) {
                orders.push_back(std::move(*order));
            } else {
                logBounded("rollout_unreadable", {{"object", object.name}, {"revision", std::to_string(object.revision)}});
            }
        }
        this->rollouts.replaceAll(orders, readClock());
        this->hasList = true;
    };
    hooks.onPart = [this](const std::vector<store::StoredObject> &objects) {
        for (const store::StoredObject &object : objects) {
            this->apply(object);
        }
    };
    hooks.onIncomplete = [this] { this->hasList = true; };
    hooks.onChange = [this](const store::ObjectChange &change) {
        if (change.isRemoved) {
            this->rollouts.remove(change.object.name);
        } else {
            this->apply(change.object);
        }
    };
    hooks.onEraChange = [this] { this->rollouts.forgetRevisions(); };
    hooks.onConfirmed = [this](Time, const store::Position &) { this->setReachable(true, "the store answers"); };
    hooks.onReachability = [this](bool isStoreReachable, const std::string &cause) { this->setReachable(isStoreReachable, cause); };
    hooks.onCall = [this](unsigned status) { this->onCall(store::nameOf(Collection::Rollouts), status); };
    return hooks;
}

void RolloutKnowledge::apply(const store::StoredObject &object)
{
    if (const auto order = this->dialect->readRollout(object)) {
        this->rollouts.apply(*order, readClock());
    } else {
        logBounded("rollout_unreadable", {{"object", object.name}, {"revision", std::to_string(object.revision)}});
        this->rollouts.remove(object.name);
    }
}

void RolloutKnowledge::tick(Time now)
{
    if (!this->rollouts.isEnabled()) {
        return;
    }
    this->watcher.setPace(this->rollouts.hasActive() ? activePace : idlePace);
    if (this->writer.isBusy() || now < this->writeAgainAt) {
        return;
    }
    const std::vector<rollout::StatusWrite> writes = this->rollouts.dueWrites(now);
    if (writes.empty()) {
        return;
    }
    const rollout::StatusWrite &write = writes.front();
    this->writeAgainAt = now + rewritePause;
    this->writer.write(
        write.order.name, write.order.revision, this->dialect->writeRolloutStatus(write.order, write.state),
        [this, write](unsigned status, const std::optional<store::StoredObject> &current) { this->onWritten(write, status, current); });
}

void RolloutKnowledge::onWritten(const rollout::StatusWrite &write, unsigned status, const std::optional<store::StoredObject> &current)
{
    logEvent("rollout_status_written",
             {{"service", write.order.service},
              {"target", write.order.target},
              {"state", nameOf(write.state)},
              {"reason", write.reason},
              {"revision", std::to_string(write.order.revision)},
              {"status", std::to_string(status)}});
    const bool isWritten = status >= statusOk && status < firstNonSuccessStatus;
    if (isWritten) {
        rollout::RolloutOrder written = write.order;
        written.state = write.state;
        this->rollouts.apply(written, readClock());
    } else if (current) {
        // Another daemon was first, or the order has changed: the store's object counts.
        this->apply(*current);
    }
}

}
