#include "node/errorresponse.h"

#include "node/headernames.h"

#include <fmt/format.h>

namespace figpulley::node
{
namespace
{
constexpr int httpServiceUnavailable = 503;
}

net::HttpResponse makeErrorResponse(const core::CallOutcome &outcome, core::Duration retryAfter)
{
    const auto &properties = core::errorProperties(outcome.kind);
    net::HttpResponse response;
    response.status = properties.httpStatus;
    response.headers = {
        {std::string(kindHeader), std::string(properties.name)},
        {std::string(ranHeader), std::string(core::name(outcome.ran))},
        {"Content-Type", "application/json"},
    };
    if (properties.httpStatus == httpServiceUnavailable) {
        response.headers.push_back({"Retry-After", fmt::format("{:.3g}", core::toSeconds(retryAfter))});
    }
    response.body = fmt::format("{{\"kind\":\"{}\",\"ran\":\"{}\",\"message\":\"{}\"}}\n", properties.name, core::name(outcome.ran),
                                properties.message);
    return response;
}

bool isForwardedHeader(std::string_view name) noexcept
{
    const bool isReserved = name.size() >= headerPrefix.size() && net::equalsIgnoreCase(name.substr(0, headerPrefix.size()), headerPrefix);
    return !isReserved && !net::isHopByHop(name) && !net::equalsIgnoreCase(name, "Content-Length")
        && !net::equalsIgnoreCase(name, "Expect");
}
} // namespace figpulley::node
