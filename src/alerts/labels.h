#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace figpulley::alerts
{
/// Label that holds the metric name.
inline constexpr std::string_view nameLabel = "__name__";

/// Label set of a series. A label with an empty value is equivalent to an absent label.
class Labels
{
public:
    Labels() = default;
    Labels(std::initializer_list<std::pair<const std::string, std::string>> items);

    void set(std::string name, std::string value);
    void remove(std::string_view name);

    /// @returns the value, or an empty string if the label is absent
    [[nodiscard]] const std::string &get(std::string_view name) const noexcept;

    /// @returns a copy with only the given labels
    [[nodiscard]] Labels only(const std::vector<std::string> &names) const;

    /// @returns a copy without the given labels and without the metric name
    [[nodiscard]] Labels without(const std::vector<std::string> &names) const;

    [[nodiscard]] const std::map<std::string, std::string, std::less<>> &items() const noexcept;

    /// Formats the labels as a selector: `name{a="b"}`.
    [[nodiscard]] std::string toString() const;

    [[nodiscard]] auto operator<=>(const Labels &) const = default;

private:
    std::map<std::string, std::string, std::less<>> values;
};
} // namespace figpulley::alerts
