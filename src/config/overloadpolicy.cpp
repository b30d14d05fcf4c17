#include "config/overloadpolicy.h"

#include <array>

namespace figpulley::config
{
namespace
{
using text::KeySpec;
using text::KeyType;

constexpr std::array fileKeys {
    KeySpec {"kind", KeyType::String, "", 1, 64, "always \"overload-policy\""},
    KeySpec {"name", KeyType::String, "", 1, 128, "name of this file's content; one file of a name is in force"},
    KeySpec {"roots", KeyType::Object, "{}", 0, 1000, "limits of each root call"},
    KeySpec {"defaults", KeyType::Object, "{}", 0, 1000, "policy of every service that is not listed"},
    KeySpec {"services", KeyType::Map, "{}", 0, 2000, "policy by service; keys left out come from `defaults`"},
};

constexpr std::array rootKeys {
    KeySpec {"retry_budget", KeyType::Integer, "2", 0, 100, "retries for one root call over its whole chain"},
    KeySpec {"deadline_ms", KeyType::Integer, "2000", 10, 600000, "time for a root call, in milliseconds"},
    KeySpec {"early_shedding", KeyType::Boolean, "true", 0, 1, "whether callers refuse what a service further down would refuse"},
};

constexpr std::array serviceKeys {
    KeySpec {"limit", KeyType::String, "\"probing\"", 1, 16, "how the concurrency limit adapts: probing, gradient, aimd, pid or fixed"},
    KeySpec {"limit_initial", KeyType::Integer, "20", 1, 100000, "concurrency limit of an endpoint at start, in calls"},
    KeySpec {"limit_minimum", KeyType::Integer, "2", 1, 100000, "smallest concurrency limit, in calls"},
    KeySpec {"limit_maximum", KeyType::Integer, "1000", 1, 100000, "largest concurrency limit, in calls"},
    KeySpec {"queue_length", KeyType::Integer, "100", 0, 100000, "calls that may wait at one endpoint"},
    KeySpec {"queue_ms", KeyType::Integer, "100", 0, 60000,
             "longest wait of the lowest level, in milliseconds; the highest waits up to half of its time"},
    KeySpec {"cold_start_ms", KeyType::Integer, "2000", 0, 600000, "time until a new endpoint takes its full share, in milliseconds"},
    KeySpec {"drain_ms", KeyType::Integer, "30000", 0, 3600000, "longest graceful shutdown, in milliseconds"},
    KeySpec {"retry_rate", KeyType::Number, "10", 0, 100000, "retries per second and caller node towards the service"},
    KeySpec {"retry_burst", KeyType::Integer, "20", 0, 100000, "retries of a caller node that may come at once"},
    KeySpec {"outlier_failures", KeyType::Integer, "5", 1, 1000, "failures in a row after which callers pass over an endpoint"},
    KeySpec {"outlier_pause_ms", KeyType::Integer, "1000", 0, 600000, "how long callers pass over it, in milliseconds"},
};

const text::SectionSpec fileSection {"overload-policy", "How much each service takes, and how often calls are retried.", fileKeys};
const text::SectionSpec rootSection {"overload-policy roots", "Limits of each root call.", rootKeys};
const text::SectionSpec serviceSection {"overload-policy service", "One service's endpoints.", serviceKeys};
} // namespace

const ServicePolicy &OverloadPolicy::forService(std::string_view service) const noexcept
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? this->defaults : found->second;
}

const text::SectionSpec &overloadPolicySection() noexcept
{
    return fileSection;
}

const text::SectionSpec &servicePolicySection() noexcept
{
    return serviceSection;
}

const text::SectionSpec &rootPolicySection() noexcept
{
    return rootSection;
}
} // namespace figpulley::config
