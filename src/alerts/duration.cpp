#include "alerts/duration.h"

#include <array>
#include <charconv>

namespace figpulley::alerts
{
namespace
{
struct Unit
{
    std::string_view name;
    Millis millis;
};

constexpr Millis minute = 60 * millisPerSecond;
constexpr Millis hour = 60 * minute;
constexpr Millis day = 24 * hour;
constexpr std::array<Unit, 7> units {
    {{"y", 365 * day}, {"w", 7 * day}, {"d", day}, {"h", hour}, {"m", minute}, {"s", millisPerSecond}, {"ms", 1}}};
} // namespace

std::optional<Millis> parseDuration(std::string_view text) noexcept
{
    if (text.empty()) {
        return std::nullopt;
    }
    if (text == "0") {
        return 0;
    }
    Millis sum = 0;
    std::size_t nextUnit = 0;
    while (!text.empty()) {
        Millis count = 0;
        const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), count);
        if (error != std::errc {} || count < 0) {
            return std::nullopt;
        }
        text.remove_prefix(static_cast<std::size_t>(stop - text.data()));
        const auto letters = text.substr(0, text.find_first_of("0123456789"));
        while (nextUnit < units.size() && units[nextUnit].name != letters) {
            ++nextUnit;
        }
        if (nextUnit == units.size()) {
            return std::nullopt;
        }
        sum += count * units[nextUnit].millis;
        ++nextUnit;
        text.remove_prefix(letters.size());
    }
    return sum;
}
} // namespace figpulley::alerts
