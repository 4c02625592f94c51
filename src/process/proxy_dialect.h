#pragma once

/** @file How requests, answers and objects are spoken outside; implemented where the platform is spoken. */

#include "connection/http/types.h"
#include "process/directory/backend_record.h"
#include "process/store/collection_watcher.h"
#include "request/attributes.h"
#include "version/route_table.h"

#include <optional>
#include <string>

namespace eelgrassnotch::process
{

/** @brief What the daemon adds to a request that it sends to a backend server. */
struct BackendRequestFields {
    std::string expectedInstance; ///< Any other instance refuses.
    std::string workspace; ///< Empty when the route needs no key.
    Duration remainingTime {0}; ///< The backend server stops work after this.
    std::string prefixSourceAddress; ///< IP:PORT of a backend server that keeps the shared prefix; empty for none.
    std::optional<std::uint64_t> resumeAfterEventId; ///< Last event that the caller has.

    bool operator==(const BackendRequestFields &) const = default;
};

/** @brief A daemon as the others see it. */
struct DaemonRecord {
    std::string name;
    std::string address; ///< IP.
    std::string dataCentre;
    double cores = 1; ///< Of its VM.

    bool operator==(const DaemonRecord &) const = default;
};

/** @brief Translates between the wire and the daemon's types; decides nothing. */
class ProxyDialect : public store::StoreDialect
{
public:
    virtual request::RequestAttributes readRequest(const connection::http::Request &request) const = 0;
    /** @returns the request without what concerns the caller's connection or key alone, with what the daemon adds. */
    virtual connection::http::Request toBackendRequest(const connection::http::Request &request,
                                                       const BackendRequestFields &call) const = 0;
    virtual request::AnswerAttributes readAnswer(const connection::http::AnswerHeader &header) const = 0;
    /** @returns the header for the caller, without what concerns the backend server's connection alone. */
    virtual connection::http::AnswerHeader toCallerHeader(const connection::http::AnswerHeader &header) const = 0;
    /** @brief Names the attempt in an answer that the daemon makes itself. */
    virtual void markLocalAnswer(connection::http::AnswerHeader &header, const std::string &attemptId) const = 0;
    /** @returns whether a target asks if the daemon takes connections. */
    virtual bool isReadinessProbe(const connection::http::Request &request) const = 0;
    /** @throws std::exception when the object is no configuration. */
    virtual version::RouteTableParts readConfiguration(const store::StoredObject &object) const = 0;
    /** @returns nothing when the object names no usable backend server. */
    virtual std::optional<directory::BackendRecord> readBackend(const store::StoredObject &object) const = 0;
    virtual nlohmann::json writeDaemon(const DaemonRecord &daemon) const = 0;
    /** @returns nothing when the object names no daemon. */
    virtual std::optional<DaemonRecord> readDaemon(const store::StoredObject &object) const = 0;
};

}
