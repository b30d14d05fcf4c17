#pragma once

#include "core/log.h"
#include "core/time.h"
#include "net/address.h"
#include "routing/retrybudget.h"
#include "text/keyspec.h"
#include "text/problem.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::mesh
{
/// Settings of a mesh node's process. All other configuration comes from the object store and from heartbeats.
struct MeshSettings
{
    std::string name; ///< name of the VM, for logs
    std::string availabilityZone;
    std::string service; ///< service of the endpoint on this VM
    net::Address entrance; ///< listening address for requests of clients and of the endpoint on this VM
    net::Address ingress; ///< listening address for attempts of other nodes
    net::Address control; ///< listening address for the endpoint's heartbeats
    net::Address readiness; ///< listening address for readiness checks
    net::Address metrics; ///< listening address for metrics and status
    net::Address upstream; ///< address of the endpoint on this VM
    net::Address store; ///< address of the platform's object store
    core::Duration heartbeatInterval {}; ///< time between two heartbeats of the endpoint
    core::Duration grace {}; ///< maximum time between SIGTERM and the end of the process
    routing::RetryBudgetRules retryBudget;
    core::Duration limitProbeInterval {}; ///< longest interval between requests to an endpoint that states a rate limit
    std::size_t maxResponseBytes = 0; ///< longest response of an endpoint that is passed on
    core::LogLevel logLevel = core::LogLevel::Info;

    [[nodiscard]] bool operator==(const MeshSettings &) const = default;
};

/// Returns the table of the settings' keys.
[[nodiscard]] const text::SectionSpec &meshSettingsSection() noexcept;

/// Reads settings from JSON with comments.
/// @param file file name for error messages
/// @param problems receives the errors with their line and column
/// @returns nothing if there is an error
[[nodiscard]] std::optional<MeshSettings> readMeshSettings(const std::string &file, std::string_view source, text::Problems &problems);
} // namespace figpulley::mesh
