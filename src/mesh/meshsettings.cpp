#include "mesh/meshsettings.h"

#include "text/objectreader.h"
#include "text/parse.h"

#include <array>
#include <chrono>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
using text::KeySpec;
using text::KeyType;

constexpr std::array keys {
    KeySpec {"name", KeyType::String, "", 1, 64, "name of this VM, as used in logs"},
    KeySpec {"availability_zone", KeyType::String, "", 1, 64, "availability zone of this VM"},
    KeySpec {"service", KeyType::String, "", 1, 64, "service of the endpoint on this VM"},
    KeySpec {"entrance", KeyType::String, "", 9, 21, "ip:port for requests from clients and from the endpoint on this VM"},
    KeySpec {"ingress", KeyType::String, "", 9, 21, "ip:port for attempts from other nodes"},
    KeySpec {"control", KeyType::String, "", 9, 21, "ip:port for heartbeats of the endpoint"},
    KeySpec {"readiness", KeyType::String, "", 9, 21, "ip:port that reports whether the node accepts requests from clients"},
    KeySpec {"metrics", KeyType::String, "", 9, 21, "ip:port for metrics and status"},
    KeySpec {"upstream", KeyType::String, "", 9, 21, "ip:port of the endpoint on this VM"},
    KeySpec {"store", KeyType::String, "", 9, 21, "ip:port of the platform's object store"},
    KeySpec {"heartbeat_interval_s", KeyType::Number, "1.5", 0.05, 60, "interval between heartbeats of the endpoint, in seconds"},
    KeySpec {"grace_s", KeyType::Number, "6", 1, 600, "maximum time from SIGTERM to the end of the process, in seconds"},
    KeySpec {"retry_ratio", KeyType::Number, "0.2", 0, 1, "retries per request that all nodes together may send to a service"},
    KeySpec {"retry_slack", KeyType::Number, "48", 0, 100000,
             "retries per window that all nodes together may send to a service in addition to the ratio"},
    KeySpec {"retry_window_s", KeyType::Number, "10", 0.1, 600, "length of the window over which retries are counted, in seconds"},
    KeySpec {
        "limit_probe_interval_s", KeyType::Number, "5", 0.5, 60,
        "longest interval between requests to an endpoint that states a rate limit, in seconds; a limit that allows fewer is exceeded, so "
        "that its end is noticed"},
    KeySpec {"max_response_mb", KeyType::Number, "64", 1, 4096,
             "longest response of an endpoint that is passed on, in MB; a longer one is cut"},
    KeySpec {"log_level", KeyType::String, "\"info\"", 3, 8, "debug, info, warning, error or off"},
};

const text::SectionSpec section {"mesh settings", "Settings that the process of a mesh node reads at start.", keys};

net::Address address(const text::ObjectReader &reader, std::string_view key)
{
    const auto parsed = net::parseAddress(reader.string(key));
    if (!parsed && reader.find(key) != nullptr) {
        reader.report(key, fmt::format("\"{}\" must be ip:port, such as 127.0.0.1:7001", key));
    }
    return parsed.value_or(net::Address {});
}

// Reports listening addresses that are used twice. The node listens on all of them, and the endpoint on the upstream address.
void checkDistinct(const text::ObjectReader &reader)
{
    constexpr std::array<std::string_view, 6> addressKeys {"entrance", "ingress", "control", "readiness", "metrics", "upstream"};
    for (std::size_t at = 1; at < addressKeys.size(); ++at) {
        for (std::size_t earlier = 0; earlier < at; ++earlier) {
            const auto text = reader.string(addressKeys[at]);
            if (!text.empty() && text == reader.string(addressKeys[earlier])) {
                reader.report(addressKeys[at],
                              fmt::format("\"{}\" must not have the address of \"{}\"", addressKeys[at], addressKeys[earlier]));
            }
        }
    }
}

core::Duration seconds(const text::ObjectReader &reader, std::string_view key)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(reader.number(key)));
}
} // namespace

const text::SectionSpec &meshSettingsSection() noexcept
{
    return section;
}

std::optional<MeshSettings> readMeshSettings(const std::string &file, std::string_view source, text::Problems &problems)
{
    const auto root = text::parse(file, source, problems);
    if (!root) {
        return std::nullopt;
    }
    const text::ObjectReader reader(file, *root, section, problems);
    MeshSettings settings;
    settings.name = reader.string("name");
    settings.availabilityZone = reader.string("availability_zone");
    settings.service = reader.string("service");
    settings.entrance = address(reader, "entrance");
    settings.ingress = address(reader, "ingress");
    settings.control = address(reader, "control");
    settings.readiness = address(reader, "readiness");
    settings.metrics = address(reader, "metrics");
    settings.upstream = address(reader, "upstream");
    settings.store = address(reader, "store");
    checkDistinct(reader);
    settings.heartbeatInterval = seconds(reader, "heartbeat_interval_s");
    settings.grace = seconds(reader, "grace_s");
    settings.retryBudget = {reader.number("retry_ratio"), reader.number("retry_slack"), seconds(reader, "retry_window_s")};
    settings.limitProbeInterval = seconds(reader, "limit_probe_interval_s");
    constexpr double bytesPerMb = 1e6;
    settings.maxResponseBytes = static_cast<std::size_t>(reader.number("max_response_mb") * bytesPerMb);
    const auto level = core::logLevelFromName(reader.string("log_level"));
    if (level) {
        settings.logLevel = *level;
    } else {
        reader.report("log_level", "\"log_level\" must be debug, info, warning, error or off");
    }
    if (text::hasErrors(problems)) {
        return std::nullopt;
    }
    return settings;
}
} // namespace figpulley::mesh
