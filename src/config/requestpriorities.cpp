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
    KeySpec {"name", KeyType::String, "", 1, 128, "name of these priorities; a configuration holds one file of a name"},
    KeySpec {"levels", KeyType::Strings, "", 1, core::Rank::maximumLevels, "priority levels, in the order in which they are shed"},
    KeySpec {"user_header", KeyType::String, "\"X-User\"", 1, 64,
             "request header that names the user; a hash of it decides the order within a level"},
    KeySpec {"routes", KeyType::Objects, "", 1, 10000, "routes of the calls that clients may make"},
};

constexpr std::array routeKeys {
    KeySpec {"name", KeyType::String, "", 1, 64, "name of the route, as used in status, metrics and alerts"},
    KeySpec {"service", KeyType::String, "", 1, 64, "service that is called, as in the Host header"},
    KeySpec {"method", KeyType::String, "\"GET\"", 1, 16, "request method, in upper case"},
    KeySpec {"path_prefix", KeyType::String, "\"/\"", 1, 1024, "prefix of the path; the route with the longest matching prefix applies"},
    KeySpec {"level", KeyType::String, "", 1, 64, "priority level, one of `levels`"},
    KeySpec {"idempotent", KeyType::Boolean, "", 0, 1, "whether the call may run more than once"},
    KeySpec {"deadline_ms", KeyType::Integer, "null", 10, 600000,
             "deadline of the call after its arrival, in milliseconds; defaults to the `deadline_ms` of `roots`"},
    KeySpec {"retry_budget", KeyType::Integer, "null", 0, 100,
             "maximum retries of the call and all its nested calls; defaults to the `retry_budget` of `roots`"},
};

const text::SectionSpec fileSection {"request-priorities", "Priority levels of the calls, and which calls may be retried.", fileKeys};
const text::SectionSpec routeKeySection {"request-priorities route", "Calls of one service that share a method and a path prefix.",
                                         routeKeys};
} // namespace

const Route *RequestPriorities::match(std::string_view service, std::string_view method, std::string_view path) const noexcept
{
    const Route *longest = nullptr;
    for (const auto &route : this->routes) {
        const bool isMatch = route.service == service && route.method == method && path.starts_with(route.pathPrefix);
        if (isMatch && (longest == nullptr || route.pathPrefix.size() > longest->pathPrefix.size())) {
            longest = &route;
        }
    }
    return longest;
}

const text::SectionSpec &requestPrioritiesSection() noexcept
{
    return fileSection;
}

const text::SectionSpec &routeSection() noexcept
{
    return routeKeySection;
}
} // namespace figpulley::config
