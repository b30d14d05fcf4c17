#include "alerts/knownmetrics.h"

#include <array>

namespace figpulley::alerts
{
std::span<const std::string_view> knownMetrics() noexcept
{
    static constexpr std::array<std::string_view, 19> names {
        "figpulley_attempts_total",
        "figpulley_call_duration_seconds_bucket",
        "figpulley_call_duration_seconds_count",
        "figpulley_call_duration_seconds_sum",
        "figpulley_calls_total",
        "figpulley_concurrency_limit",
        "figpulley_config_revision",
        "figpulley_control_bytes_sent",
        "figpulley_ingress_calls_total",
        "figpulley_ingress_duration_seconds_bucket",
        "figpulley_ingress_duration_seconds_count",
        "figpulley_ingress_duration_seconds_sum",
        "figpulley_isolated",
        "figpulley_members",
        "figpulley_queued_calls",
        "figpulley_running_calls",
        "figpulley_shed_threshold",
        "up",
        "ALERTS",
    };
    return names;
}
} // namespace figpulley::alerts
