#pragma once

/** @file Writes this daemon's object to the store. */

#include "process/store/collection_watcher.h"

#include <functional>

namespace eelgrassnotch::process::store
{

/** @brief Creates and removes one object; repeats calls whose outcome is unknown, which both bear. */
class ObjectWriter
{
public:
    ObjectWriter(boost::asio::io_context &ioContext, connection::http::Endpoint storeAddress,
                 std::shared_ptr<const StoreDialect> storeDialect, Collection written, std::string objectName,
                 std::function<void(unsigned status)> callHook);

    /** @brief Creates the object, and tries until the store has it. @param storedHook Called once it has. */
    void create(nlohmann::json objectContent, std::function<void()> storedHook);
    /** @brief Removes the object once; a lost call leaves it behind. */
    void remove();

private:
    void tryCreate();
    void call(boost::beast::http::verb method, const std::string &target, std::string body, std::function<void(unsigned status)> onDone);

    connection::http::CallClient client;
    std::shared_ptr<const StoreDialect> dialect;
    Collection collection;
    std::string name;
    nlohmann::json content;
    std::function<void()> onStored;
    std::function<void(unsigned status)> onCall;
    connection::OneShotTimer retryTimer;
    bool isRemoved = false;
};

}
