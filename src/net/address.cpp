#include "net/address.h"

#include <charconv>

#include <arpa/inet.h>
#include <fmt/format.h>

namespace figpulley::net
{
std::string Address::toString() const
{
    return fmt::format("{}:{}", this->ip, this->port);
}

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    Address address;
    address.ip = std::string(text.substr(0, colon));
    const auto port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    in_addr binary {};
    const bool isValid = error == std::errc {} && end == port.data() + port.size() && inet_pton(AF_INET, address.ip.c_str(), &binary) == 1;
    if (!isValid) {
        return std::nullopt;
    }
    return address;
}
} // namespace figpulley::net
