#include "net/query.h"

#include <charconv>

namespace figpulley::net
{
std::string findQueryText(std::string_view query, std::string_view name)
{
    if (query.starts_with('?')) {
        query.remove_prefix(1);
    }
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto parameter = query.substr(0, end);
        const auto equals = parameter.find('=');
        if (equals != std::string_view::npos && parameter.substr(0, equals) == name) {
            return std::string(parameter.substr(equals + 1));
        }
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    }
    return {};
}

std::optional<std::uint64_t> findQueryNumber(std::string_view query, std::string_view name)
{
    const auto text = findQueryText(query, name);
    std::uint64_t number = 0;
    const auto [parsed, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc {} || parsed != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}
} // namespace figpulley::net
