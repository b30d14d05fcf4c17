#include "explain/logline.h"

#include <cctype>

namespace figpulley::explain
{
namespace
{
bool isKeyCharacter(char character) noexcept
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '_';
}

// Parses a value at the front of the text, either quoted or up to the next space, and removes it from the text.
std::string consumeValue(std::string_view &text)
{
    std::string value;
    if (text.empty() || text.front() != '"') {
        const auto end = std::min(text.find(' '), text.size());
        value = std::string(text.substr(0, end));
        text.remove_prefix(end);
        return value;
    }
    text.remove_prefix(1);
    while (!text.empty() && text.front() != '"') {
        if (text.front() == '\\' && text.size() > 1) {
            text.remove_prefix(1);
        }
        value += text.front();
        text.remove_prefix(1);
    }
    text.remove_prefix(text.empty() ? 0 : 1);
    return value;
}
} // namespace

std::string_view LogLine::field(std::string_view key) const
{
    const auto found = this->fields.find(key);
    return found == this->fields.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<LogLine> parseLogLine(std::string_view origin, std::string_view text)
{
    LogLine line;
    line.origin = std::string(origin);
    line.text = std::string(text);
    while (!text.empty()) {
        std::size_t length = 0;
        while (length < text.size() && isKeyCharacter(text[length])) {
            ++length;
        }
        const bool isField = length > 0 && length < text.size() && text[length] == '=';
        if (!isField) {
            text.remove_prefix(std::min(text.size(), length + 1));
            continue;
        }
        const auto key = std::string(text.substr(0, length));
        text.remove_prefix(length + 1);
        line.fields[key] = consumeValue(text);
    }
    return line.field("event").empty() ? std::nullopt : std::optional(std::move(line));
}
} // namespace figpulley::explain
