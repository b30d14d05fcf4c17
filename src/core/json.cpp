#include "core/json.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace figpulley::core
{
namespace
{
constexpr std::string_view whitespace = " \t\r\n";

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(whitespace);
    return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/// Tracks strings and the depth of brackets while a text is read byte by byte.
class StructureScanner
{
public:
    /// Reads the next byte.
    /// @returns false if it closes a bracket that is not open
    bool read(char byte) noexcept
    {
        if (this->isInString) {
            this->isInString = this->isEscaped || byte != '"';
            this->isEscaped = !this->isEscaped && byte == '\\';
            return true;
        }
        switch (byte) {
        case '"':
            this->isInString = true;
            return true;
        case '{':
        case '[':
            ++this->openBrackets;
            return true;
        case '}':
        case ']':
            --this->openBrackets;
            return this->openBrackets >= 0;
        default:
            return true;
        }
    }

    /// Whether the next byte is neither in a string nor in brackets.
    [[nodiscard]] bool isOutside() const noexcept
    {
        return this->openBrackets == 0 && !this->isInString;
    }

    [[nodiscard]] std::int64_t depth() const noexcept
    {
        return this->openBrackets;
    }

private:
    std::int64_t openBrackets = 0;
    bool isInString = false;
    bool isEscaped = false;
};

bool isNestedTooDeeply(std::string_view text)
{
    StructureScanner scanner;
    return std::any_of(text.begin(), text.end(), [&scanner](char byte) {
        scanner.read(byte);
        return scanner.depth() > static_cast<std::int64_t>(maxJsonDepth);
    });
}

// Splits what stands between an opening and a closing bracket at the commas.
std::optional<std::vector<std::string_view>> splitContainer(std::string_view text, char open, char close)
{
    text = trim(text);
    if (text.size() < 2 || text.front() != open || text.back() != close) {
        return std::nullopt;
    }
    text = text.substr(1, text.size() - 2);
    std::vector<std::string_view> parts;
    StructureScanner scanner;
    std::size_t begin = 0;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (scanner.isOutside() && text[at] == ',') {
            parts.push_back(trim(text.substr(begin, at - begin)));
            begin = at + 1;
        } else if (!scanner.read(text[at])) {
            return std::nullopt;
        }
    }
    if (!scanner.isOutside()) {
        return std::nullopt;
    }
    const auto last = trim(text.substr(begin));
    if (!parts.empty() || !last.empty()) {
        parts.push_back(last);
    }
    return parts;
}

// Splits `"key": value`; returns nothing if the key is not a string.
std::optional<JsonMember> splitMember(std::string_view text)
{
    StructureScanner scanner;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (scanner.isOutside() && text[at] == ':') {
            const auto key = trim(text.substr(0, at));
            const bool isString = key.size() >= 2 && key.front() == '"' && key.back() == '"';
            return isString ? std::optional(JsonMember {key.substr(1, key.size() - 2), trim(text.substr(at + 1))}) : std::nullopt;
        }
        if (!scanner.read(text[at])) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}
} // namespace

nlohmann::json parseJson(std::string_view text)
{
    if (isNestedTooDeeply(text)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

std::optional<std::int64_t> wholeNumber(const nlohmann::json &value)
{
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        return number <= INT64_MAX ? std::optional(static_cast<std::int64_t>(number)) : std::nullopt;
    }
    if (value.is_number_integer()) {
        return value.get<std::int64_t>();
    }
    constexpr double limit = 9007199254740992.0; // 2^53: larger doubles do not represent every whole number
    if (value.is_number_float()) {
        const auto number = value.get<double>();
        const bool isExact = std::abs(number) <= limit && std::trunc(number) == number;
        return isExact ? std::optional(static_cast<std::int64_t>(number)) : std::nullopt;
    }
    return std::nullopt;
}

std::uint64_t countOf(const nlohmann::json &value)
{
    const auto number = wholeNumber(value);
    if (!number || *number < 0) {
        throw nlohmann::json::other_error::create(0, "not a whole number of at least 0", nullptr);
    }
    return static_cast<std::uint64_t>(*number);
}

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text)
{
    const auto parts = splitContainer(text, '{', '}');
    if (!parts) {
        return std::nullopt;
    }
    std::vector<JsonMember> members;
    members.reserve(parts->size());
    for (const auto part : *parts) {
        if (const auto member = splitMember(part)) {
            members.push_back(*member);
        }
    }
    return members;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    return splitContainer(text, '[', ']');
}

std::optional<std::string_view> findJsonMember(std::string_view text, std::string_view key)
{
    const auto members = splitJsonObject(text);
    if (!members) {
        return std::nullopt;
    }
    const auto found = std::find_if(members->begin(), members->end(), [key](const JsonMember &member) { return member.key == key; });
    return found == members->end() ? std::nullopt : std::optional(found->value);
}
} // namespace figpulley::core
