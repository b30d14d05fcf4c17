#include "mesh/endpointprobe.h"

#include "core/log.h"
#include "mesh/meshboard.h"
#include "mesh/meshsettings.h"
#include "mesh/wireformat.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using namespace std::chrono_literals;

constexpr core::Duration checkInterval = 200ms; // the configuration, which gives the path of the health check, may not be known yet
constexpr int quickRequests = 3; // at the interval of the checks
constexpr core::Duration minRequestInterval = 1s; // after these, doubled with each request, as health checks have a price
constexpr core::Duration maxRequestInterval = 3s;
constexpr int maxDoublings = 2;
constexpr core::Duration healthTimeout = 1s; // a busy endpoint lets a health check wait for a slot
constexpr int httpOk = 200;
constexpr std::size_t maxHealthBytes = 64UL * 1024UL;
} // namespace

EndpointProbe::EndpointProbe(MeshContext context, HealthCallback onInService)
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
    const auto &record = this->context.board.local.read().record();
    if (record && (record->id != this->endpointId || record->incarnation != this->incarnation)) {
        this->endpointId = record->id;
        this->incarnation = record->incarnation;
        this->requests = 0;
        this->nextRequestAt = {};
        this->context.loop.cancel(std::exchange(this->timer, net::EventLoop::noTimer));
    }
    if (this->timer == net::EventLoop::noTimer) {
        this->check();
    }
}

void EndpointProbe::check()
{
    if (!this->context.board.local.read().needsConfirmation()) {
        return;
    }
    const auto &table = this->context.board.config.read().table;
    if (table && !this->isAsking && core::steadyNow() >= this->nextRequestAt) {
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
    ++this->requests;
    const auto now = core::steadyNow();
    const auto doublings = std::clamp(this->requests - quickRequests, 0, maxDoublings);
    const auto interval = this->requests < quickRequests ? checkInterval : minRequestInterval * (1 << doublings);
    this->nextRequestAt = now + std::min(maxRequestInterval, interval);
    net::ClientRequest request;
    request.url = fmt::format("http://{}{}", this->context.settings.upstream.toString(), healthPath);
    request.timeout = healthTimeout;
    request.needsNewConnection = true;
    this->context.client.fetch(request, maxHealthBytes, [weak = this->weak_from_this(), now](const net::ClientResponse &response) {
        if (const auto self = weak.lock()) {
            self->isAsking = false;
            self->handleResponse(response, now);
        }
    });
}

void EndpointProbe::handleResponse(const net::ClientResponse &response, core::TimePoint askedAt)
{
    const bool isAnswered = response.result.kind == core::ErrorKind::None;
    const auto endpointId = isAnswered ? this->context.wire.readHealthyEndpoint(response.head) : std::string();
    core::log(core::LogLevel::Info, "local_endpoint.health",
              {{"kind", std::string(core::errorProperties(response.result.kind).name)},
               {"status", fmt::to_string(response.head.status)},
               {"endpoint", endpointId}});
    if (!endpointId.empty()) {
        this->onInService(endpointId, askedAt);
    } else if (isAnswered && response.head.status == httpOk) {
        // It is leaving, or does not say which endpoint it is.
        this->nextRequestAt = core::steadyNow() + maxRequestInterval;
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
