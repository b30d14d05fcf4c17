#pragma once

#include "mesh/wireformat.h"

namespace figpulley::platform
{
/// Encodes and decodes the platform's headers, heartbeats, deregistrations and configuration.
class PlatformWireFormat : public mesh::WireFormat
{
public:
    [[nodiscard]] mesh::ClientHead readClientHead(const net::Headers &headers) const override;
    [[nodiscard]] std::string_view parentRequestId(std::string_view requestId) const override;
    [[nodiscard]] bool isReservedHeader(std::string_view name) const override;
    void addUpstreamHeaders(net::Headers &headers, const mesh::UpstreamHead &head) const override;
    [[nodiscard]] mesh::UpstreamReply readUpstreamReply(const net::ClientResponseHead &head) const override;
    [[nodiscard]] std::string readHealthyEndpoint(const net::ClientResponseHead &head) const override;
    [[nodiscard]] std::string_view stampHeader() const override;
    [[nodiscard]] mesh::ControlCall readControlCall(const net::HttpRequest &request) const override;
    [[nodiscard]] std::string routesCollection() const override;
    [[nodiscard]] std::string routesName() const override;
    [[nodiscard]] std::optional<routing::RouteSet> readRoutes(std::string_view text, std::string &reason) const override;
};
} // namespace figpulley::platform
