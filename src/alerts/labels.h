#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::alerts
{
/// Label that holds the metric's name.
inline constexpr std::string_view nameLabel = "__name__";

/// A set of labels; an empty value is the same as no label.
class Labels
{
public:
    Labels() = default;
    Labels(std::initializer_list<std::pair<const std::string, std::string>> items);

    void set(std::string name, std::string value);
    void remove(std::string_view name);

    /// @returns the value, or an empty string
    [[nodiscard]] const std::string &get(std::string_view name) const noexcept;

    /// Keeps only these labels.
    [[nodiscard]] Labels only(const std::vector<std::string> &names) const;

    /// All labels but these and the metric's name.
    [[nodiscard]] Labels without(const std::vector<std::string> &names) const;

    [[nodiscard]] const std::map<std::string, std::string, std::less<>> &items() const noexcept;

    /// As written in expressions: `name{a="b"}`.
    [[nodiscard]] std::string toString() const;

    [[nodiscard]] auto operator<=>(const Labels &) const = default;

private:
    std::map<std::string, std::string, std::less<>> values;
};
} // namespace figpulley::alerts
