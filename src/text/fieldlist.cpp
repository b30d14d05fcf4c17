#include "text/fieldlist.h"

#include <algorithm>

namespace figpulley::text
{
namespace
{
constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr unsigned minUnescaped = 0x21;
constexpr unsigned maxUnescaped = 0x7e;

// Accepts visible ASCII except the separator and the escape character.
bool isUnescaped(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return code >= minUnescaped && code <= maxUnescaped && character != ';' && character != '%';
}
} // namespace

void FieldWriter::add(std::string_view text)
{
    if (std::all_of(text.begin(), text.end(), isUnescaped)) {
        this->list.append(text);
        this->list += ';';
        return;
    }
    for (const char character : text) {
        if (isUnescaped(character)) {
            this->list += character;
            continue;
        }
        const auto code = static_cast<unsigned char>(character);
        this->list += '%';
        this->list += hexDigits[code / hexDigits.size()];
        this->list += hexDigits[code % hexDigits.size()];
    }
    this->list += ';';
}

std::string unescape(std::string_view field)
{
    std::string text;
    text.reserve(field.size());
    for (std::size_t index = 0; index < field.size(); ++index) {
        const bool mayBeEscape = field[index] == '%' && index + 2 < field.size();
        const auto high = mayBeEscape ? hexDigits.find(field[index + 1]) : std::string_view::npos;
        const auto low = mayBeEscape ? hexDigits.find(field[index + 2]) : std::string_view::npos;
        if (high == std::string_view::npos || low == std::string_view::npos) {
            text += field[index];
            continue;
        }
        text += static_cast<char>(high * hexDigits.size() + low);
        index += 2;
    }
    return text;
}
} // namespace figpulley::text
