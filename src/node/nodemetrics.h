#pragma once

#include "core/envelope.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
class Registry;
} // namespace prometheus

namespace figpulley::node
{
/// Value of a gauge that is set when the metrics are read.
struct GaugeValue
{
    std::string_view name;
    double value = 0;
};

/// Metrics of a node, kept with prometheus-cpp.
class NodeMetrics
{
public:
    NodeMetrics();
    ~NodeMetrics();
    NodeMetrics(const NodeMetrics &) = delete;
    NodeMetrics &operator=(const NodeMetrics &) = delete;

    /// Counts a call that the egress has responded to.
    /// @param priority name of the priority level
    /// @param status HTTP status of the response
    void countCall(const std::string &service, const std::string &route, const std::string &priority, core::ErrorKind kind, int status,
                   core::Duration latency);

    /// Removes the series of routes that are no longer configured; those of calls without a route stay.
    void retainRoutes(const std::unordered_set<std::string> &routes);

    /// Returns the number of routes that have series.
    [[nodiscard]] std::size_t countedRoutes() const noexcept;

    /// Counts an attempt sent to an endpoint.
    void countAttempt(const std::string &service, bool isRetry);

    /// Counts a call that the ingress has responded to.
    void countIngress(const std::string &service, core::ErrorKind kind, core::Duration latency);

    /// Counts a request that was sent to the endpoint on this VM.
    /// @param kind first, nested or repeat
    /// @param wait time from the arrival of the attempt until it was sent
    void countDispatch(const std::string &service, std::string_view kind, core::Duration wait);

    /// Counts a read of the platform's store by a node of the mesh.
    /// @param call list or watch
    /// @param cause why the store was read, from a bounded set
    void countStoreRead(const std::string &collection, const std::string &call, const std::string &cause);

    void setGauge(std::string_view name, double value);

    /// Returns all metrics in the Prometheus text exposition format.
    [[nodiscard]] std::string exposition() const;

    [[nodiscard]] const prometheus::Registry &registry() const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};
} // namespace figpulley::node
