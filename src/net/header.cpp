#include "net/header.h"

#include <algorithm>
#include <array>

namespace figpulley::net
{
namespace
{
constexpr std::array<std::string_view, 9> hopByHopNames {
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer",
    "transfer-encoding", "upgrade",
};

constexpr char toLower(char character) noexcept
{
    constexpr char caseOffset = 'a' - 'A';
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character + caseOffset) : character;
}
} // namespace

bool equalsIgnoreCase(std::string_view left, std::string_view right) noexcept
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) { return toLower(a) == toLower(b); });
}

std::string_view findHeader(const Headers &headers, std::string_view name) noexcept
{
    for (const auto &header : headers) {
        if (equalsIgnoreCase(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

bool isHopByHop(std::string_view name) noexcept
{
    return std::any_of(hopByHopNames.begin(), hopByHopNames.end(),
                       [name](std::string_view known) { return equalsIgnoreCase(known, name); });
}
} // namespace figpulley::net
