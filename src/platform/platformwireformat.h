#pragma once

#include "mesh/wireformat.h"

namespace figpulley::platform
{
/// Encodes and decodes the platform's headers, heartbeats, deregistrations and configuration.
class PlatformWireFormat : public mesh::WireFormat
{
public:
    [[nodiscard]] mesh::ClientHead readClient(const net::Headers &headers) const override;
    [[nodiscard]] std::string_view parentOf(std::string_view requestId) const override;
    [[nodiscard]] bool isOwnHeader(std::string_view name) const override;
    void addUpstream(net::Headers &headers, const mesh::UpstreamHead &head) const override;
    [[nodiscard]] mesh::UpstreamReply readReply(const net::ClientAnswerHead &head) const override;
    [[nodiscard]] std::string_view stampHeader() const override;
    [[nodiscard]] mesh::ControlCall readControl(const net::HttpRequest &request) const override;
    [[nodiscard]] std::string routesCollection() const override;
    [[nodiscard]] std::string routesName() const override;
    [[nodiscard]] std::optional<routing::RouteSet> readRoutes(std::string_view text, std::string &reason) const override;
};
} // namespace figpulley::platform
