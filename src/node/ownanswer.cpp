#include "node/ownanswer.h"

#include "node/headernames.h"

#include <fmt/format.h>

namespace figpulley::node
{
namespace
{
constexpr int httpServiceUnavailable = 503;
}

net::HttpResponse ownAnswer(const core::CallOutcome &outcome, core::Duration retryAfter)
{
    const auto &row = core::errorProperties(outcome.kind);
    net::HttpResponse answer;
    answer.status = row.httpStatus;
    answer.headers = {
        {std::string(kindHeader), std::string(row.name)},
        {std::string(ranHeader), std::string(core::name(outcome.ran))},
        {"Content-Type", "application/json"},
    };
    if (row.httpStatus == httpServiceUnavailable) {
        answer.headers.push_back({"Retry-After", fmt::format("{:.3g}", core::toSeconds(retryAfter))});
    }
    answer.body = fmt::format("{{\"kind\":\"{}\",\"ran\":\"{}\",\"message\":\"{}\"}}\n", row.name, core::name(outcome.ran), row.message);
    return answer;
}

bool isPassedOn(std::string_view name) noexcept
{
    const bool isOurs = name.size() >= headerPrefix.size() && net::equalsIgnoreCase(name.substr(0, headerPrefix.size()), headerPrefix);
    return !isOurs && !net::isHopByHop(name) && !net::equalsIgnoreCase(name, "Content-Length") && !net::equalsIgnoreCase(name, "Expect");
}
} // namespace figpulley::node
