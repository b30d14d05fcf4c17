#include "text/fieldlist.h"

#include <algorithm>

namespace figpulley::text
{
namespace
{
constexpr std::string_view digits = "0123456789abcdef";
constexpr unsigned firstPrintable = 0x21;
constexpr unsigned lastPrintable = 0x7e;

bool isPlain(char character)
{
    const auto code = static_cast<unsigned char>(character);
    return code >= firstPrintable && code <= lastPrintable && character != ';' && character != '%';
}
} // namespace

void FieldWriter::add(std::string_view text)
{
    if (std::all_of(text.begin(), text.end(), isPlain)) {
        this->list.append(text);
        this->list += ';';
        return;
    }
    for (const char character : text) {
        if (isPlain(character)) {
            this->list += character;
            continue;
        }
        const auto code = static_cast<unsigned char>(character);
        this->list += '%';
        this->list += digits[code / digits.size()];
        this->list += digits[code % digits.size()];
    }
    this->list += ';';
}

std::string unescape(std::string_view field)
{
    std::string text;
    text.reserve(field.size());
    for (std::size_t at = 0; at < field.size(); ++at) {
        const bool isEscape = field[at] == '%' && at + 2 < field.size();
        const auto high = isEscape ? digits.find(field[at + 1]) : std::string_view::npos;
        const auto low = isEscape ? digits.find(field[at + 2]) : std::string_view::npos;
        if (high == std::string_view::npos || low == std::string_view::npos) {
            text += field[at];
            continue;
        }
        text += static_cast<char>(high * digits.size() + low);
        at += 2;
    }
    return text;
}
} // namespace figpulley::text
