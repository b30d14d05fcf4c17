#include "config/requestpriorities.h"

#include "core/rank.h"

#include <array>

namespace figpulley::config
{
namespace
{
using text::KeySpec;
using text::KeyType;

constexpr std::array fileKeys {
    KeySpec {"kind", KeyType::String, "", 1, 64, "always \"request-priorities\""},
    KeySpec {"name", KeyType::String, "", 1, 128, "name of this file's content; one file of a name is in force"},
    KeySpec {"levels", KeyType::Strings, "", 1, core::Rank::maximumLevels, "priority levels, the one that is shed first at the front"},
    KeySpec {"user_header", KeyType::String, "\"X-User\"", 1, 64, "request header that names the user; decides the order within a level"},
    KeySpec {"routes", KeyType::Objects, "", 1, 10000, "calls that clients may make"},
};

constexpr std::array routeKeys {
    KeySpec {"name", KeyType::String, "", 1, 64, "name of the route in status, metrics and alerts"},
    KeySpec {"service", KeyType::String, "", 1, 64, "service called, as in the Host header"},
    KeySpec {"method", KeyType::String, "\"GET\"", 1, 16, "request method, in capitals"},
    KeySpec {"path_prefix", KeyType::String, "\"/\"", 1, 1024, "start of the path; the longest matching route decides"},
    KeySpec {"level", KeyType::String, "", 1, 64, "one of `levels`"},
    KeySpec {"idempotent", KeyType::Boolean, "", 0, 1, "whether the call may run more than once"},
    KeySpec {"deadline_ms", KeyType::Integer, "null", 10, 600000, "time for the call, in milliseconds; else the roots' deadline"},
    KeySpec {"retry_budget", KeyType::Integer, "null", 0, 100, "retries over the whole chain; else the roots' budget"},
};

const text::SectionSpec fileSection {"request-priorities", "Which calls matter most, and which may be repeated.", fileKeys};
const text::SectionSpec routeSpecs {"request-priorities route", "One kind of call.", routeKeys};
} // namespace

const Route *RequestPriorities::match(std::string_view service, std::string_view method, std::string_view path) const noexcept
{
    const Route *best = nullptr;
    for (const auto &route : this->routes) {
        const bool isMatch = route.service == service && route.method == method && path.starts_with(route.pathPrefix);
        if (isMatch && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

const text::SectionSpec &requestPrioritiesSection() noexcept
{
    return fileSection;
}

const text::SectionSpec &routeSection() noexcept
{
    return routeSpecs;
}
} // namespace figpulley::config
