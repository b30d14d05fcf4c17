#include "node/nodemetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <fmt/format.h>

#include <unordered_map>
#include <unordered_set>

namespace figpulley::node
{
namespace
{
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

const Histogram::BucketBoundaries latencyBucketsSeconds {0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

Family<Counter> &counterFamily(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

Family<Histogram> &histogramFamily(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}
} // namespace

class NodeMetrics::Implementation
{
public:
    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    Family<Counter> &calls = counterFamily(*this->registry, "figpulley_calls_total", "Calls answered by the egress");
    Family<Histogram> &callSeconds =
        histogramFamily(*this->registry, "figpulley_call_duration_seconds", "Time from a call's arrival at the egress to its answer");
    Family<Counter> &attempts = counterFamily(*this->registry, "figpulley_attempts_total", "Attempts sent to endpoints");
    Family<Counter> &ingress = counterFamily(*this->registry, "figpulley_ingress_calls_total", "Calls answered by the ingress");
    Family<Histogram> &ingressSeconds =
        histogramFamily(*this->registry, "figpulley_ingress_duration_seconds", "Time from a call's arrival at the ingress to its answer");
    Family<Counter> &dispatches =
        counterFamily(*this->registry, "figpulley_dispatched_requests_total", "Requests sent to the endpoint on this VM");
    Family<Histogram> &dispatchWaitSeconds =
        histogramFamily(*this->registry, "figpulley_dispatch_wait_seconds",
                        "Time from an attempt's arrival at the ingress until it was sent to the endpoint");
    Family<Counter> &storeReads =
        counterFamily(*this->registry, "figpulley_store_reads_total", "Lists and watches that were sent to the platform's store");
    std::map<std::string, Gauge *, std::less<>> gauges;

    struct RouteSeries
    {
        std::unordered_set<Counter *> calls;
        std::unordered_set<Histogram *> callSeconds;
    };
    std::unordered_map<std::string, RouteSeries> seriesByRoute;
};

NodeMetrics::NodeMetrics()
    : implementation(std::make_unique<Implementation>())
{
}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::countCall(const std::string &service, const std::string &route, const std::string &priority, core::ErrorKind kind,
                            int status, core::Duration latency)
{
    const std::string kindName(core::errorProperties(kind).name);
    auto &counter = this->implementation->calls.Add(
        {{"service", service}, {"route", route}, {"priority", priority}, {"kind", kindName}, {"code", fmt::to_string(status)}});
    counter.Increment();
    auto &seconds = this->implementation->callSeconds.Add({{"service", service}, {"route", route}}, latencyBucketsSeconds);
    seconds.Observe(core::toSeconds(latency));
    auto &series = this->implementation->seriesByRoute[route];
    series.calls.insert(&counter);
    series.callSeconds.insert(&seconds);
}

void NodeMetrics::retainRoutes(const std::unordered_set<std::string> &routes)
{
    std::erase_if(this->implementation->seriesByRoute, [&](const auto &entry) {
        const auto &[route, series] = entry;
        if (route.empty() || routes.contains(route)) {
            return false;
        }
        for (auto *counter : series.calls) {
            this->implementation->calls.Remove(counter);
        }
        for (auto *histogram : series.callSeconds) {
            this->implementation->callSeconds.Remove(histogram);
        }
        return true;
    });
}

std::size_t NodeMetrics::countedRoutes() const noexcept
{
    return this->implementation->seriesByRoute.size();
}

void NodeMetrics::countAttempt(const std::string &service, bool isRetry)
{
    this->implementation->attempts.Add({{"service", service}, {"retry", isRetry ? "true" : "false"}}).Increment();
}

void NodeMetrics::countStoreRead(const std::string &collection, const std::string &call, const std::string &cause)
{
    this->implementation->storeReads.Add({{"collection", collection}, {"call", call}, {"cause", cause}}).Increment();
}

void NodeMetrics::countIngress(const std::string &service, core::ErrorKind kind, core::Duration latency)
{
    this->implementation->ingress.Add({{"service", service}, {"kind", std::string(core::errorProperties(kind).name)}}).Increment();
    this->implementation->ingressSeconds.Add({{"service", service}}, latencyBucketsSeconds).Observe(core::toSeconds(latency));
}

void NodeMetrics::countDispatch(const std::string &service, std::string_view kind, core::Duration wait)
{
    this->implementation->dispatches.Add({{"service", service}, {"kind", std::string(kind)}}).Increment();
    this->implementation->dispatchWaitSeconds.Add({{"service", service}}, latencyBucketsSeconds).Observe(core::toSeconds(wait));
}

void NodeMetrics::setGauge(std::string_view name, double value)
{
    auto found = this->implementation->gauges.find(name);
    if (found == this->implementation->gauges.end()) {
        auto &family = prometheus::BuildGauge().Name(std::string(name)).Help("State of the node").Register(*this->implementation->registry);
        found = this->implementation->gauges.emplace(std::string(name), &family.Add({})).first;
    }
    found->second->Set(value);
}

std::string NodeMetrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(this->implementation->registry->Collect());
}

const prometheus::Registry &NodeMetrics::registry() const noexcept
{
    return *this->implementation->registry;
}
} // namespace figpulley::node
