#pragma once

#include "config/overloadpolicy.h"
#include "config/requestpriorities.h"

#include <cstdint>
#include <memory>
#include <string>

namespace figpulley::alerts
{
struct RuleSet;
}

namespace figpulley::config
{
/// The compiled contents of the operators' files. It is immutable and shared by reference, so that readers need no lock.
struct Configuration
{
    std::uint64_t revision = 0; ///< revision of the platform's root object; 0 before the first apply
    OverloadPolicy overload;
    RequestPriorities priorities;
    std::shared_ptr<const alerts::RuleSet> alertRules; ///< never null in a configuration that load() returns
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;
} // namespace figpulley::config
