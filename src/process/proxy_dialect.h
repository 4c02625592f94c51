#pragma once

/** @file Interface that converts between the platform's wire formats and the daemon's types; implemented in platform/. */

#include "connection/http/types.h"
#include "process/directory/backend_record.h"
#include "process/rollout/rollout_order.h"
#include "process/store/collection_watcher.h"
#include "request/attributes.h"
#include "version/route_table.h"

#include <optional>
#include <string>

namespace eelgrassnotch::process
{

/** @brief Values that the daemon adds to a request before it sends it to a backend server. */
struct BackendRequestFields {
    std::string expectedInstance; ///< Id of the intended instance; any other instance refuses the request.
    std::string workspace; ///< Name of the caller's workspace; empty on public routes.
    Duration remainingTime {0}; ///< Time limit after which the backend server stops working on the request.
    std::string prefixSourceAddress; ///< IP:PORT of a backend server that has the prompt's shared prefix cached; empty for none.
    std::optional<std::uint64_t> resumeAfterEventId; ///< Id of the last event that the caller has received; set when a stream is resumed.

    bool operator==(const BackendRequestFields &) const = default;
};

/** @brief A daemon's entry in the list of daemons in the platform's store. */
struct DaemonRecord {
    std::string name;
    std::string address; ///< IP address, without a port.
    std::string dataCentre;
    double cores = 1; ///< CPU cores of its VM.

    bool operator==(const DaemonRecord &) const = default;
};

/** @brief Converts between the platform's wire formats and the daemon's types; contains no policy. */
class ProxyDialect : public store::StoreDialect
{
public:
    /** @returns the attributes of a caller's request that routing, admission and placement use. */
    virtual request::RequestAttributes readRequest(const connection::http::Request &request) const = 0;
    /** @returns the request without the caller's credentials and hop-by-hop headers, with the given fields added. */
    virtual connection::http::Request toBackendRequest(const connection::http::Request &request,
                                                       const BackendRequestFields &call) const = 0;
    /** @returns the attributes that a backend server's answer header states. */
    virtual request::AnswerAttributes readAnswer(const connection::http::AnswerHeader &header) const = 0;
    /** @returns the header for the caller, without the hop-by-hop headers of the backend server's connection. */
    virtual connection::http::AnswerHeader toCallerHeader(const connection::http::AnswerHeader &header) const = 0;
    /** @brief Adds the request id to an answer that the daemon generates itself. */
    virtual void markLocalAnswer(connection::http::AnswerHeader &header, const std::string &attemptId) const = 0;
    /** @returns whether the request is a readiness probe, which asks whether the daemon accepts connections. */
    virtual bool isReadinessProbe(const connection::http::Request &request) const = 0;
    /** @throws std::exception when the object is not a valid configuration. */
    virtual version::RouteTableParts readConfiguration(const store::StoredObject &object) const = 0;
    /** @returns nullopt when the object describes no usable backend server. */
    virtual std::optional<directory::BackendRecord> readBackend(const store::StoredObject &object) const = 0;
    /** @returns nullopt when the object is no order. */
    virtual std::optional<rollout::RolloutOrder> readRollout(const store::StoredObject &object) const = 0;
    virtual nlohmann::json writeRolloutStatus(const rollout::RolloutOrder &order, rollout::RolloutState state) const = 0;
    virtual nlohmann::json writeDaemon(const DaemonRecord &daemon) const = 0;
    /** @returns nullopt when the object describes no daemon. */
    virtual std::optional<DaemonRecord> readDaemon(const store::StoredObject &object) const = 0;
};

}
