#pragma once

#include "core/time.h"
#include "discovery/heartbeat.h"
#include "net/header.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "routing/routeset.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace figpulley::mesh
{
/// Metadata of a client's request.
struct ClientHead
{
    std::string requestId; ///< id of this attempt of the client; empty if the client sent none
    std::optional<core::Duration> clientTimeout; ///< how long the client waits for the response; empty if the client does not send it
};

/// Metadata that is added to a request for an endpoint.
struct UpstreamHead
{
    core::Duration remaining {}; ///< time left until the deadline
    std::string endpointId; ///< only endpoint that may run the request
    std::string originService; ///< service of the VM that sent the request
};

/// Metadata of an endpoint's response.
struct UpstreamReply
{
    std::string requestId; ///< id of the request that is answered; empty if the response has none
    bool isStamped = false; ///< has the stamp header, so that the response is the endpoint's own
    bool isNotRun = false; ///< the endpoint states that it did not run the request
    bool isEncoded = false; ///< the body was encoded by an intermediary, so that it is not the endpoint's
    std::optional<double> rateLimit; ///< requests per second that the endpoint accepts from all nodes together; empty for no limit
    bool isRateLimitInvalid = false; ///< the response states a limit that is not a finite number of at least 0
    bool isLeaving = false; ///< the endpoint states that it is leaving
};

/// Requests at a node's control and readiness addresses.
struct ReadinessCall
{
};
struct MalformedCall
{
    std::string reason;
};
using ControlCall = std::variant<ReadinessCall, discovery::Heartbeat, discovery::Deregistration, MalformedCall>;

/// Translates the header names and formats of clients, endpoints and the object that holds the routes. It contains no policy.
class WireFormat
{
public:
    virtual ~WireFormat() = default;

    [[nodiscard]] virtual ClientHead readClientHead(const net::Headers &headers) const = 0;

    /// Returns the id of the request whose run makes this one; empty if the id does not contain it.
    [[nodiscard]] virtual std::string_view parentRequestId(std::string_view requestId) const = 0;

    /// Returns whether a client's header is dropped because the system sets it itself.
    [[nodiscard]] virtual bool isReservedHeader(std::string_view name) const = 0;

    /// Adds the headers that an endpoint expects to a request.
    virtual void addUpstreamHeaders(net::Headers &headers, const UpstreamHead &head) const = 0;

    [[nodiscard]] virtual UpstreamReply readUpstreamReply(const net::ClientResponseHead &head) const = 0;

    /// Returns the id of the endpoint that has answered a health check, if it is healthy and not leaving; otherwise an empty string.
    [[nodiscard]] virtual std::string readHealthyEndpoint(const net::ClientResponseHead &head) const = 0;

    /// Returns the name of the header that marks an endpoint's own response.
    [[nodiscard]] virtual std::string_view stampHeader() const = 0;

    [[nodiscard]] virtual ControlCall readControlCall(const net::HttpRequest &request) const = 0;

    /// Collection and name of the object that holds the routes.
    [[nodiscard]] virtual std::string routesCollection() const = 0;
    [[nodiscard]] virtual std::string routesName() const = 0;

    /// Reads the routes.
    /// @param reason receives the error if the text is invalid
    /// @returns nothing if the text is invalid
    [[nodiscard]] virtual std::optional<routing::RouteSet> readRoutes(std::string_view text, std::string &reason) const = 0;

    WireFormat() = default;
    WireFormat(const WireFormat &) = delete;
    WireFormat &operator=(const WireFormat &) = delete;
};
} // namespace figpulley::mesh
