#pragma once

#include "core/log.h"
#include "core/time.h"
#include "net/address.h"
#include "text/keyspec.h"
#include "text/problem.h"
#include "trust/keyring.h"

#include <optional>
#include <string>
#include <vector>

namespace figpulley::node
{
/// Settings that a node's process reads at its start: addresses, zone and keys. Everything else is part of the configuration.
struct NodeSettings
{
    std::string availabilityZone;
    std::string service; ///< service of the upstream on this VM; empty for a node that only accepts clients' calls
    net::Address entrance; ///< listening address for clients
    net::Address nested; ///< listening address for the upstream on this VM
    net::Address ingress; ///< listening address for calls from other nodes
    net::Address control; ///< listening address for datagrams between nodes, and for configuration, status and metrics over HTTP
    std::optional<net::Address> upstream;
    std::optional<net::Address> platform;
    std::vector<std::string> seeds; ///< control addresses of nodes to join through when the platform does not respond
    trust::KeyRing keys;
    core::LogLevel logLevel = core::LogLevel::Info;
    std::uint64_t randomSeed = 0; ///< seed of the random number generator; 0 takes one from the operating system
    std::size_t maxBodyBytes = 0; ///< maximum size of a request body, in bytes
};

/// Returns the specification of the settings' keys.
[[nodiscard]] const text::SectionSpec &nodeSettingsSection() noexcept;

/// Returns the specification of the keys that describe one shared key.
[[nodiscard]] const text::SectionSpec &sharedKeySection() noexcept;

/// Reads settings from JSON with comments.
/// @param file name of the file, for messages
/// @param source text of the file
/// @param problems receives the errors with line and column
/// @returns the settings, or nothing if there is an error
[[nodiscard]] std::optional<NodeSettings> readNodeSettings(const std::string &file, std::string_view source, text::Problems &problems);
} // namespace figpulley::node
