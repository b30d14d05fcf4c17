#pragma once

#include "mesh/localrecorder.h"
#include "mesh/meshcontext.h"
#include "net/httpserver.h"

#include <functional>
#include <memory>

namespace figpulley::mesh
{
/// Answers the endpoint's heartbeats, questions for readiness, and reads of metrics and status.
class ControlFace
{
public:
    /// @param isReady tells whether the node takes clients
    ControlFace(MeshContext context, LocalRecorder &recorder, std::function<bool()> isReady);
    ~ControlFace();
    ControlFace(const ControlFace &) = delete;
    ControlFace &operator=(const ControlFace &) = delete;

private:
    void accept(const std::shared_ptr<net::HttpExchange> &exchange);
    void acceptReading(const std::shared_ptr<net::HttpExchange> &exchange);
    [[nodiscard]] std::string statusJson() const;

    MeshContext context;
    LocalRecorder &recorder;
    std::function<bool()> isReady;
    std::unique_ptr<net::HttpServer> control;
    std::unique_ptr<net::HttpServer> readiness;
    std::unique_ptr<net::HttpServer> metrics;
};
} // namespace figpulley::mesh
