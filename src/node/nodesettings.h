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
/// What a node's process is told at start: addresses, zone, keys. Everything else comes by configuration.
struct NodeSettings
{
    std::string availabilityZone;
    std::string service; ///< of the upstream on this VM; empty for a node that only takes clients' calls
    net::Address entrance; ///< for clients
    net::Address nested; ///< for the upstream on this VM
    net::Address ingress; ///< for calls from other nodes
    net::Address control; ///< datagrams between nodes, and HTTP for configuration, status and metrics
    std::optional<net::Address> upstream;
    std::optional<net::Address> platform;
    std::vector<std::string> seeds; ///< control addresses to join by when the platform does not answer
    trust::KeyRing keys;
    core::LogLevel logLevel = core::LogLevel::Info;
    std::uint64_t seed = 0; ///< of the random source; 0 takes one from the system
    std::size_t largestBody = 0; ///< bytes of a request body
};

/// Table of the settings' keys.
[[nodiscard]] const text::SectionSpec &nodeSettingsSection() noexcept;

/// Table of one shared key's keys.
[[nodiscard]] const text::SectionSpec &sharedKeySection() noexcept;

/// Reads settings from JSON with comments.
/// @param file name for messages
/// @param source the text
/// @param problems receives the errors with line and column
/// @returns nothing after an error
[[nodiscard]] std::optional<NodeSettings> readNodeSettings(const std::string &file, std::string_view source, text::Problems &problems);
} // namespace figpulley::node
