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
    KeySpec {"name", KeyType::String, "", 1, 128, "name of this policy; a configuration holds one file of a name"},
    KeySpec {"roots", KeyType::Object, "{}", 0, 1000, "limits of a root call"},
    KeySpec {"defaults", KeyType::Object, "{}", 0, 1000, "policy of services that `services` does not list"},
    KeySpec {"services", KeyType::Map, "{}", 0, 2000, "policy by service; absent keys are taken from `defaults`"},
};

constexpr std::array rootKeys {
    KeySpec {"retry_budget", KeyType::Integer, "2", 0, 100, "maximum retries of a root call and all its nested calls"},
    KeySpec {"deadline_ms", KeyType::Integer, "2000", 10, 600000, "deadline of a root call after its arrival, in milliseconds"},
    KeySpec {"early_shedding", KeyType::Boolean, "true", 0, 1,
             "whether callers refuse calls that a service further down the chain would refuse"},
};

constexpr std::array serviceKeys {
    KeySpec {"limit", KeyType::String, "\"probing\"", 1, 16,
             "algorithm that adapts the concurrency limit: probing, gradient, aimd, pid or fixed"},
    KeySpec {"limit_initial", KeyType::Integer, "20", 1, 100000, "initial concurrency limit of an endpoint, in calls"},
    KeySpec {"limit_minimum", KeyType::Integer, "2", 1, 100000, "minimum concurrency limit, in calls"},
    KeySpec {"limit_maximum", KeyType::Integer, "1000", 1, 100000, "maximum concurrency limit, in calls"},
    KeySpec {"queue_length", KeyType::Integer, "100", 0, 100000, "maximum number of calls that wait at one endpoint"},
    KeySpec {"queue_ms", KeyType::Integer, "100", 0, 60000,
             "maximum wait of calls of the lowest level, in milliseconds; calls of the highest level wait up to half of their time"},
    KeySpec {"cold_start_ms", KeyType::Integer, "2000", 0, 600000,
             "time until a new endpoint receives its full fraction of the calls, in milliseconds"},
    KeySpec {"drain_ms", KeyType::Integer, "30000", 0, 3600000, "maximum duration of a graceful shutdown, in milliseconds"},
    KeySpec {"retry_rate", KeyType::Number, "10", 0, 100000, "retries per second that one caller node sends to the service"},
    KeySpec {"retry_burst", KeyType::Integer, "20", 0, 100000, "maximum burst of retries from one caller node"},
    KeySpec {"outlier_failures", KeyType::Integer, "5", 1, 1000, "consecutive failures after which callers exclude an endpoint"},
    KeySpec {"outlier_pause_ms", KeyType::Integer, "1000", 0, 600000, "how long callers exclude the endpoint, in milliseconds"},
};

const text::SectionSpec fileSection {"overload-policy", "Concurrency limits and queues of the services, and limits of retries.", fileKeys};
const text::SectionSpec rootSection {"overload-policy roots", "Limits of a root call.", rootKeys};
const text::SectionSpec serviceSection {"overload-policy service", "Admission at the endpoints of one service, and retries towards them.",
                                        serviceKeys};
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
