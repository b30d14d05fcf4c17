#include "mesh/conditionheader.h"

#include "text/fieldlist.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include <fmt/format.h>

namespace figpulley::mesh
{
namespace
{
constexpr std::size_t fieldCount = 6;
constexpr double unitsPerRequest = 1e6; // rates and utilizations are sent as whole millionths
constexpr double maxRate = 1e9;
constexpr std::int64_t noLimit = -1;
constexpr core::Duration maxDelay = std::chrono::hours(1);

std::int64_t toUnits(double value)
{
    return std::llround(std::clamp(value, 0.0, maxRate) * unitsPerRequest);
}
} // namespace

std::string formatRate(const std::optional<double> &perSecond)
{
    return perSecond ? fmt::format("{:.4g}", *perSecond) : "none";
}

std::string encode(const routing::EndpointCondition &condition)
{
    text::FieldWriter fields;
    fields.add(condition.endpointId);
    fields.add(condition.incarnation);
    fields.add(condition.rateLimit ? toUnits(*condition.rateLimit) : noLimit);
    fields.add(toUnits(condition.utilization));
    fields.add(std::min(condition.availableIn, maxDelay).count());
    fields.add(condition.isLeaving ? 1 : 0);
    return fields.take();
}

std::optional<routing::EndpointCondition> decodeEndpointCondition(std::string_view text)
{
    const auto fields = text::splitFields<fieldCount>(text);
    if (!fields) {
        return std::nullopt;
    }
    const auto &field = *fields;
    routing::EndpointCondition condition;
    condition.endpointId = text::unescape(field[0]);
    std::int64_t limit = 0;
    std::int64_t utilization = 0;
    std::int64_t delay = 0;
    int leaving = 0;
    const bool isNumeric = text::readNumber(field[1], condition.incarnation) && text::readNumber(field[2], limit)
        && text::readNumber(field[3], utilization) && text::readNumber(field[4], delay) && text::readNumber(field[5], leaving);
    const bool isInRange = limit >= noLimit && utilization >= 0 && delay >= 0 && core::Duration(delay) <= maxDelay;
    if (!isNumeric || !isInRange || condition.endpointId.empty() || leaving < 0 || leaving > 1) {
        return std::nullopt;
    }
    if (limit != noLimit) {
        condition.rateLimit = static_cast<double>(limit) / unitsPerRequest;
    }
    condition.utilization = static_cast<double>(utilization) / unitsPerRequest;
    condition.availableIn = core::Duration(delay);
    condition.isLeaving = leaving == 1;
    return condition;
}
} // namespace figpulley::mesh
