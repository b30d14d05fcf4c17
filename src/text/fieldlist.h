#pragma once

#include <array>
#include <charconv>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>

namespace figpulley::text
{
/// Writes fields separated by semicolons, for headers that are read once for each request.
/// Every list ends with a semicolon, so that a cut one is noticed.
class FieldWriter
{
public:
    /// Adds a text; separators and bytes that a header cannot hold are escaped.
    void add(std::string_view text);

    template<std::integral Number>
    void add(Number number)
    {
        std::array<char, 24> digits;
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
        this->list.append(digits.data(), end);
        this->list += ';';
    }

    [[nodiscard]] std::string take()
    {
        return std::move(this->list);
    }

private:
    std::string list;
};

/// Undoes what FieldWriter::add has escaped.
[[nodiscard]] std::string unescape(std::string_view field);

/// Splits a list of exactly `count` fields.
template<std::size_t count>
[[nodiscard]] std::optional<std::array<std::string_view, count>> splitFields(std::string_view list)
{
    std::array<std::string_view, count> fields;
    for (auto &field : fields) {
        const auto end = list.find(';');
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        field = list.substr(0, end);
        list.remove_prefix(end + 1);
    }
    return list.empty() ? std::optional(fields) : std::nullopt;
}

/// Reads a whole field as a number.
template<std::integral Number>
[[nodiscard]] bool readNumber(std::string_view field, Number &number)
{
    const auto [end, error] = std::from_chars(field.data(), field.data() + field.size(), number);
    return error == std::errc() && end == field.data() + field.size() && !field.empty();
}
} // namespace figpulley::text
