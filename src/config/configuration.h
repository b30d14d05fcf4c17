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
/// Everything the operators' files say, compiled; immutable once built and shared by reference.
struct Configuration
{
    std::uint64_t revision = 0; ///< of the platform's root object; 0 before any file was applied
    OverloadPolicy overload;
    RequestPriorities priorities;
    std::shared_ptr<const alerts::RuleSet> alertRules; ///< never null after load()
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;
} // namespace figpulley::config
