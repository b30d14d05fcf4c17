#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::net
{
/// An IPv4 address and a port.
struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string toString() const;
    [[nodiscard]] bool operator==(const Address &) const = default;
};

/// Parses `ip:port`; host names are not resolved.
/// @returns no value if the text is malformed
///
/// Example: `parseAddress("127.0.0.1:8080")->port == 8080`
[[nodiscard]] std::optional<Address> parseAddress(std::string_view text);
} // namespace figpulley::net
