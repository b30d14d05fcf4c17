#pragma once

#include "config/limitalgorithm.h"
#include "core/time.h"
#include "text/keyspec.h"

#include <map>
#include <string>

namespace figpulley::config
{
/// How the ingress of one service's endpoints admits calls, and how callers retry towards it.
struct ServicePolicy
{
    LimitAlgorithm limitAlgorithm = LimitAlgorithm::Probing;
    int limitInitial = 0; ///< calls running at once
    int limitMinimum = 0;
    int limitMaximum = 0;
    int queueLength = 0; ///< calls waiting at one endpoint
    core::Duration queueDelay {}; ///< longest wait in the queue
    core::Duration coldStart {}; ///< time in which a new endpoint's share of calls grows to its full size
    core::Duration drain {}; ///< longest graceful shutdown
    double retryRate = 0; ///< retries per second and caller node towards this service
    int retryBurst = 0;
    int outlierFailures = 0; ///< failures in a row after which an endpoint is passed over
    core::Duration outlierPause {};
};

/// The `overload-policy` file.
struct OverloadPolicy
{
    ServicePolicy defaults;
    std::map<std::string, ServicePolicy, std::less<>> services;
    int rootRetryBudget = 0; ///< retries for one root call, over its whole chain
    core::Duration rootDeadline {};
    bool isEarlySheddingOn = true; ///< callers refuse what a service further down would refuse

    /// Policy of a service, or the defaults if it is not named.
    [[nodiscard]] const ServicePolicy &forService(std::string_view service) const noexcept;
};

/// Tables of the file's keys; the reference page is made from them.
[[nodiscard]] const text::SectionSpec &overloadPolicySection() noexcept;
[[nodiscard]] const text::SectionSpec &servicePolicySection() noexcept;
[[nodiscard]] const text::SectionSpec &rootPolicySection() noexcept;
} // namespace figpulley::config
