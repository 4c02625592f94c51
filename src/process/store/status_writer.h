#pragma once

/** @file Writes the status of objects that others have created. */

#include "process/store/collection_watcher.h"

#include <functional>
#include <optional>

namespace eelgrassnotch::process::store
{

/**
 * @brief Writes a status under the revision that the decision was based on, one after the other.
 * @remarks A call is made once. When its outcome is unknown, the collection's watch tells it, and the owner decides anew.
 */
class StatusWriter
{
public:
    /** The object as the store has it now; nullopt when it told none. */
    using OnDone = std::function<void(unsigned status, const std::optional<StoredObject> &current)>;

    StatusWriter(boost::asio::io_context &ioContext, connection::http::Endpoint storeAddress,
                 std::shared_ptr<const StoreDialect> storeDialect, Collection written, std::function<void(unsigned status)> callHook);

    /** @returns whether a call is in progress; others are refused until it ends. */
    bool isBusy() const
    {
        return this->isCalling;
    }
    /** @brief Makes one call. @param doneHook Called once it has ended; status 0 without an answer. */
    void write(const std::string &name, std::uint64_t revision, const nlohmann::json &status, OnDone doneHook);

private:
    connection::http::CallClient client;
    std::shared_ptr<const StoreDialect> dialect;
    Collection collection;
    std::function<void(unsigned status)> onCall;
    bool isCalling = false;
};

}
