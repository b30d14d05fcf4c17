#include "mesh/controlserver.h"

#include "core/log.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"
#include "mesh/wireformat.h"

#include <nlohmann/json.hpp>

namespace figpulley::mesh
{
namespace
{
constexpr int httpOk = 200;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;
constexpr int httpServiceUnavailable = 503;

// The calls of the endpoint and of the platform are small, and few of them come at a time.
constexpr net::HttpServerLimits controlLimits {.connections = 256, .bodyBytes = 64UL * 1024UL};

net::HttpResponse emptyResponse(int status)
{
    return {status, {{"Content-Type", "application/json"}}, "{}"};
}
} // namespace

ControlServer::ControlServer(MeshContext context, LocalRegistrar &registrar, std::function<bool()> isReady)
    : context(context)
    , registrar(registrar)
    , isReady(std::move(isReady))
{
    const auto serve = [this](const std::shared_ptr<net::HttpExchange> &exchange) { this->accept(exchange); };
    this->control = std::make_unique<net::HttpServer>(context.loop, context.settings.control, serve, controlLimits);
    this->readiness = std::make_unique<net::HttpServer>(context.loop, context.settings.readiness, serve, controlLimits);
    this->metrics = std::make_unique<net::HttpServer>(
        context.loop, context.settings.metrics,
        [this](const std::shared_ptr<net::HttpExchange> &exchange) { this->acceptMetricsRequest(exchange); }, controlLimits);
}

ControlServer::~ControlServer() = default;

void ControlServer::accept(const std::shared_ptr<net::HttpExchange> &exchange)
{
    const auto call = this->context.wire.readControlCall(exchange->request());
    if (std::holds_alternative<ReadinessCall>(call)) {
        exchange->respond(emptyResponse(this->isReady() ? httpOk : httpServiceUnavailable));
        return;
    }
    const auto respond = [exchange](int status) { exchange->respond(emptyResponse(status)); };
    if (const auto *heartbeat = std::get_if<discovery::Heartbeat>(&call)) {
        this->registrar.handleHeartbeat(*heartbeat, respond);
    } else if (const auto *deregistration = std::get_if<discovery::Deregistration>(&call)) {
        this->registrar.handleDeparture(*deregistration, respond);
    } else {
        core::log(core::LogLevel::Warning, "control.malformed",
                  {{"path", exchange->request().path}, {"reason", std::get<MalformedCall>(call).reason}});
        respond(httpBadRequest);
    }
}

void ControlServer::acceptMetricsRequest(const std::shared_ptr<net::HttpExchange> &exchange)
{
    const auto &path = exchange->request().path;
    if (path == "/metrics") {
        exchange->respond({httpOk, {{"Content-Type", "text/plain; version=0.0.4"}}, this->context.metrics.exposition()});
    } else if (path == "/status") {
        exchange->respond({httpOk, {{"Content-Type", "application/json"}}, this->statusJson()});
    } else {
        exchange->respond(emptyResponse(httpNotFound));
    }
}

std::string ControlServer::statusJson() const
{
    const auto &board = this->context.board;
    const auto &config = board.config.read();
    const auto &local = board.local.read();
    nlohmann::json status {
        {"name", this->context.settings.name},           {"availability_zone", this->context.settings.availabilityZone},
        {"service", this->context.settings.service},     {"ready", this->isReady()},
        {"stopping", board.lifecycle.read().isStopping}, {"config_version", config.table ? config.table->version() : 0},
        {"store_era", this->context.storeEra.current()}, {"endpoints_known", board.directory.read().size()},
    };
    if (local.record()) {
        status["endpoint"] = {
            {"id", local.record()->id},
            {"state", discovery::name(local.record()->state)},
            {"open", local.acceptsRequests()},
            {"slots", local.record()->slots},
        };
        if (const auto limit = board.condition.read().limit.value()) {
            status["endpoint"]["limit_per_second"] = *limit;
        }
    }
    return status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}
} // namespace figpulley::mesh
