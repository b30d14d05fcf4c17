#pragma once

#include "mesh/localregistrar.h"
#include "mesh/meshcontext.h"
#include "net/httpserver.h"

#include <functional>
#include <memory>

namespace figpulley::mesh
{
/// Serves the endpoint's heartbeats, readiness checks, and requests for metrics and status.
class ControlServer
{
public:
    /// @param isReady returns whether the node accepts client requests
    ControlServer(MeshContext context, LocalRegistrar &registrar, std::function<bool()> isReady);
    ~ControlServer();
    ControlServer(const ControlServer &) = delete;
    ControlServer &operator=(const ControlServer &) = delete;

private:
    void accept(const std::shared_ptr<net::HttpExchange> &exchange);
    void acceptMetricsRequest(const std::shared_ptr<net::HttpExchange> &exchange);
    [[nodiscard]] std::string statusJson() const;

    MeshContext context;
    LocalRegistrar &registrar;
    std::function<bool()> isReady;
    std::unique_ptr<net::HttpServer> control;
    std::unique_ptr<net::HttpServer> readiness;
    std::unique_ptr<net::HttpServer> metrics;
};
} // namespace figpulley::mesh
