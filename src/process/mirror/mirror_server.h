#pragma once

/** @file Tells other daemons of the store's collections. */

#include "connection/http/listener.h"
#include "process/mirror/mirror_codec.h"

#include <array>
#include <list>

namespace eelgrassnotch::process::mirror
{

/** @brief Collections that daemons pass on. */
inline constexpr std::array mirroredCollections {store::Collection::Configuration, store::Collection::Backends,
                                                 store::Collection::TakenOutDataCentres};

/** @brief Keeps the collections and answers those who ask for what they lack; without news, after a while. */
class MirrorServer
{
public:
    /** @throws boost::system::system_error when the address can't be listened on. */
    MirrorServer(boost::asio::io_context &context, const connection::http::Endpoint &address);

    CollectionMirror &mirror(store::Collection collection)
    {
        return this->mirrors.at(collection);
    }
    /** @brief Notes that a batch has ended or the store has confirmed that nothing changed. */
    void noteConfirmed(store::Collection collection, Time now);
    /** @brief Notes whether this daemon watches the store and reaches it; otherwise it refuses. */
    void setWatching(bool isWatchingStore);
    /** @brief Notes that the store was lost, after which its entries may be missing for a while. */
    void noteOutage()
    {
        ++this->outages;
    }
    /** @brief Answers those who have waited long enough. */
    void tick(Time now);

private:
    struct Waiting {
        connection::http::ServerSessionPtr session;
        Positions known;
        Time since {0};
    };

    connection::http::SessionHooks hooks();
    void onRequest(const connection::http::ServerSessionPtr &session, const connection::http::Request &request);
    /** @returns whether what is mirrored is new enough for a follower that knows these positions. */
    bool canServe(const Positions &known, Time now) const;
    bool hasNewsFor(const Positions &known) const;
    void answer(const Waiting &waiting, Time now) const;
    void answerThose(const std::function<bool(const Waiting &)> &isReady, Time now);

    std::map<store::Collection, CollectionMirror> mirrors;
    std::list<Waiting> waiting;
    std::uint32_t outages = 0;
    bool isWatching = false;
    connection::http::Listener listener; ///< Last: its sessions use the rest.
};

}
