#pragma once

#include "alerts/labels.h"

#include <cstdint>
#include <memory>
#include <regex>
#include <string>

namespace figpulley::alerts
{
/// Comparison of a label matcher, in the order of the operators `=`, `!=`, `=~` and `!~`.
enum class MatchKind : std::uint8_t {
    Equal,
    NotEqual,
    Regex,
    NotRegex,
};

/// Label matcher of a selector. Regular expressions are anchored to the whole value.
class Matcher
{
public:
    /// @throws std::regex_error if a regular expression is malformed
    Matcher(std::string label, MatchKind kind, std::string pattern);

    [[nodiscard]] bool matches(const Labels &labels) const;

    /// Whether the matcher accepts a series without the label.
    [[nodiscard]] bool matchesEmpty() const;

    [[nodiscard]] const std::string &label() const noexcept;
    [[nodiscard]] MatchKind kind() const noexcept;
    [[nodiscard]] const std::string &pattern() const noexcept;

    /// @returns a copy that matches another label
    [[nodiscard]] Matcher withLabel(std::string label) const;

private:
    [[nodiscard]] bool matchesText(const std::string &text) const;

    std::string labelName;
    MatchKind matchKind;
    std::string matchPattern;
    std::shared_ptr<const std::regex> regex;
};
} // namespace figpulley::alerts
