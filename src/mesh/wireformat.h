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
/// What a client says about its request, besides method, path and body.
struct ClientHead
{
    std::string requestId; ///< names this attempt of the client; empty if it gave none
    std::optional<core::Duration> patience; ///< how long the client will wait
};

/// What an endpoint is told about a request.
struct UpstreamHead
{
    core::Duration remaining {}; ///< until the deadline
    std::string endpointId; ///< that is meant; another endpoint must not run the request
    std::string originService; ///< of the VM where the request began
};

/// What an endpoint says about its answer, besides status and body.
struct UpstreamReply
{
    std::string requestId; ///< of the request that it answers; empty if not told
    bool isStamped = false; ///< bears the endpoint's mark, so that it is the endpoint's own answer
    bool isNotRun = false; ///< the endpoint states that it did not run the request
    bool isEncoded = false; ///< the body is not the endpoint's: something between has encoded it
};

/// Calls that reach a node's control addresses.
struct ReadinessCall
{
};
struct MalformedCall
{
    std::string reason;
};
using ControlCall = std::variant<ReadinessCall, discovery::Heartbeat, discovery::Deregistration, MalformedCall>;

/// Names and formats of the world around a mesh: clients, endpoints, and the object that holds the routes. It translates, and decides
/// nothing.
class WireFormat
{
public:
    virtual ~WireFormat() = default;

    [[nodiscard]] virtual ClientHead readClient(const net::Headers &headers) const = 0;

    /// Id of the request whose run makes this one; empty if the id tells none.
    [[nodiscard]] virtual std::string_view parentOf(std::string_view requestId) const = 0;

    /// Whether a client's header is dropped because the system sets it itself.
    [[nodiscard]] virtual bool isOwnHeader(std::string_view name) const = 0;

    /// Adds to a request what an endpoint is told.
    virtual void addUpstream(net::Headers &headers, const UpstreamHead &head) const = 0;

    [[nodiscard]] virtual UpstreamReply readReply(const net::ClientAnswerHead &head) const = 0;

    /// Name of the header that marks an endpoint's own answer.
    [[nodiscard]] virtual std::string_view stampHeader() const = 0;

    [[nodiscard]] virtual ControlCall readControl(const net::HttpRequest &request) const = 0;

    /// Collection and name of the object that holds the routes.
    [[nodiscard]] virtual std::string routesCollection() const = 0;
    [[nodiscard]] virtual std::string routesName() const = 0;

    /// Reads the routes.
    /// @param reason receives what is wrong with the text
    [[nodiscard]] virtual std::optional<routing::RouteSet> readRoutes(std::string_view text, std::string &reason) const = 0;

    WireFormat() = default;
    WireFormat(const WireFormat &) = delete;
    WireFormat &operator=(const WireFormat &) = delete;
};
} // namespace figpulley::mesh
