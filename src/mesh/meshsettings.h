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
/// What the process of a mesh node is told at start. Everything else comes from the object store and from heartbeats.
struct MeshSettings
{
    std::string name; ///< of the VM, for logs
    std::string availabilityZone;
    std::string service; ///< of the endpoint on this VM
    net::Address entrance; ///< for requests of clients and of the endpoint on this VM
    net::Address ingress; ///< for attempts of other nodes
    net::Address control; ///< for the endpoint's heartbeats
    net::Address readiness; ///< asked whether the node takes clients
    net::Address metrics; ///< metrics and status
    net::Address upstream; ///< the endpoint on this VM
    net::Address store; ///< the platform's object store
    core::Duration heartbeatInterval {}; ///< between two heartbeats of the endpoint
    core::Duration grace {}; ///< between SIGTERM and the end of the process
    routing::RetryBudgetRules retryBudget;
    core::LogLevel logLevel = core::LogLevel::Info;

    [[nodiscard]] bool operator==(const MeshSettings &) const = default;
};

/// Table of the settings' keys.
[[nodiscard]] const text::SectionSpec &meshSettingsSection() noexcept;

/// Reads settings from JSON with comments.
/// @param file name for messages
/// @param problems receives the errors with line and column
/// @returns nothing after an error
[[nodiscard]] std::optional<MeshSettings> readMeshSettings(const std::string &file, std::string_view source, text::Problems &problems);
} // namespace figpulley::mesh
