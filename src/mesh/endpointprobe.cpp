#include "mesh/endpointprobe.h"

#include "core/log.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"
#include "mesh/wireformat.h"

#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;

constexpr core::Duration checkInterval = 200ms;
constexpr int maxChecks = 20; // until the configuration is known; heartbeats confirm the endpoint later
constexpr int maxRequests = 3; // a busy endpoint may refuse a health check
constexpr core::Duration healthTimeout = 1s; // a busy endpoint lets a health check wait for a slot
constexpr int httpOk = 200;
constexpr std::size_t maxHealthBytes = 64UL * 1024UL;
} // namespace

EndpointProbe::EndpointProbe(MeshContext context, std::function<void(const std::string &)> onInService)
    : context(context)
    , onInService(std::move(onInService))
{
}

EndpointProbe::~EndpointProbe()
{
    this->context.loop.cancel(this->timer);
}

void EndpointProbe::start()
{
    if (this->checksLeft == 0) {
        this->checksLeft = maxChecks;
        this->requestsLeft = maxRequests;
        this->check();
    }
}

void EndpointProbe::check()
{
    if (this->checksLeft == 0 || this->requestsLeft == 0 || !this->context.board.local.read().needsConfirmation()) {
        this->checksLeft = 0;
        return;
    }
    --this->checksLeft;
    // The path of the health check is part of the configuration, which may not be known yet.
    const auto &table = this->context.board.config.read().table;
    if (table && !this->isAsking) {
        const auto &services = table->services();
        const auto service = services.find(this->context.settings.service);
        if (service != services.end() && !service->second.healthPath.empty()) {
            this->ask(service->second.healthPath);
        }
    }
    this->scheduleCheck();
}

void EndpointProbe::ask(const std::string &healthPath)
{
    this->isAsking = true;
    --this->requestsLeft;
    net::ClientRequest request;
    request.url = fmt::format("http://{}{}", this->context.settings.upstream.toString(), healthPath);
    request.timeout = healthTimeout;
    request.needsNewConnection = true;
    this->context.client.fetch(request, maxHealthBytes, [weak = this->weak_from_this()](const net::ClientResponse &response) {
        if (const auto self = weak.lock()) {
            self->isAsking = false;
            self->handleResponse(response);
        }
    });
}

void EndpointProbe::handleResponse(const net::ClientResponse &response)
{
    const bool isAnswered = response.result.kind == core::ErrorKind::None;
    const auto endpointId = isAnswered ? this->context.wire.readHealthyEndpoint(response.head) : std::string();
    core::log(core::LogLevel::Info, "local_endpoint.health",
              {{"kind", std::string(core::errorProperties(response.result.kind).name)},
               {"status", fmt::to_string(response.head.status)},
               {"endpoint", endpointId}});
    if (!endpointId.empty()) {
        this->onInService(endpointId);
    } else if (isAnswered && response.head.status == httpOk) {
        this->requestsLeft = 0; // it is leaving, or does not say which endpoint it is
    }
}

void EndpointProbe::scheduleCheck()
{
    this->timer = this->context.loop.callAfter(checkInterval, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->timer = net::EventLoop::noTimer;
            self->check();
        }
    });
}
} // namespace figpulley::mesh
