#include "alerts/template.h"

#include <cmath>

#include <fmt/format.h>

namespace figpulley::alerts
{
namespace
{
constexpr std::string_view opening = "{{";
constexpr std::string_view closing = "}}";
constexpr std::string_view labelsPrefix = "$labels.";

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool isLabelReference(std::string_view action)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_";
    return action.starts_with(labelsPrefix) && action.size() > labelsPrefix.size()
        && action.substr(labelsPrefix.size()).find_first_not_of(allowed) == std::string_view::npos;
}
} // namespace

std::string formatValue(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    return fmt::format("{}", value);
}

std::string expandTemplate(std::string_view text, const Labels &labels, double value)
{
    std::string result;
    while (true) {
        const auto begin = text.find(opening);
        if (begin == std::string_view::npos) {
            return result.append(text);
        }
        const auto end = text.find(closing, begin);
        const auto action = trimmed(text.substr(begin + opening.size(), end - begin - opening.size()));
        result.append(text.substr(0, begin));
        result += action == "$value" ? formatValue(value) : labels.get(action.substr(labelsPrefix.size()));
        text.remove_prefix(end + closing.size());
    }
}

std::optional<std::string> findTemplateError(std::string_view text)
{
    while (true) {
        const auto begin = text.find(opening);
        if (begin == std::string_view::npos) {
            return std::nullopt;
        }
        const auto end = text.find(closing, begin);
        if (end == std::string_view::npos) {
            return "the template has no closing }}";
        }
        const auto action = trimmed(text.substr(begin + opening.size(), end - begin - opening.size()));
        if (action != "$value" && !isLabelReference(action)) {
            return fmt::format("the template {{{{ {} }}}} is not supported; expected $value or $labels.NAME", action);
        }
        text.remove_prefix(end + closing.size());
    }
}
} // namespace figpulley::alerts
