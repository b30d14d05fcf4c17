#pragma once

#include "alerts/labels.h"

#include <cstdint>
#include <memory>
#include <regex>
#include <string>

namespace figpulley::alerts
{
/// The four ways in which a selector compares a label.
enum class MatchKind : std::uint8_t {
    Equal,
    NotEqual,
    Regex,
    NotRegex,
};

/// One comparison of a selector; regular expressions match the whole value.
class Matcher
{
public:
    /// @throws std::regex_error if a regular expression is malformed
    Matcher(std::string label, MatchKind kind, std::string pattern);

    [[nodiscard]] bool matches(const Labels &labels) const;

    /// Whether a series without the label would match.
    [[nodiscard]] bool matchesEmpty() const;

    [[nodiscard]] const std::string &label() const noexcept;
    [[nodiscard]] MatchKind kind() const noexcept;
    [[nodiscard]] const std::string &pattern() const noexcept;

    /// The same comparison of another label.
    [[nodiscard]] Matcher renamed(std::string label) const;

private:
    [[nodiscard]] bool matchesText(const std::string &text) const;

    std::string name;
    MatchKind how;
    std::string wanted;
    std::shared_ptr<const std::regex> regex;
};
} // namespace figpulley::alerts
