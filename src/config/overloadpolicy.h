#pragma once

#include "config/limitalgorithm.h"
#include "core/time.h"
#include "text/keyspec.h"

#include <map>
#include <string>

namespace figpulley::config
{
/// Policy of one service: admission of calls at the ingress of its endpoints, and retries of its callers.
struct ServicePolicy
{
    LimitAlgorithm limitAlgorithm = LimitAlgorithm::Probing;
    int limitInitial = 0; ///< initial concurrency limit of an endpoint, in calls
    int limitMinimum = 0;
    int limitMaximum = 0;
    int queueLength = 0; ///< maximum number of calls that wait at one endpoint
    core::Duration queueDelay {}; ///< maximum wait of calls of the lowest level
    core::Duration coldStart {}; ///< time in which a new endpoint's fraction of the calls grows to its full size
    core::Duration drain {}; ///< maximum duration of a graceful shutdown
    double retryRate = 0; ///< retries per second that one caller node sends to the service
    int retryBurst = 0; ///< maximum burst of retries from one caller node
    int outlierFailures = 0; ///< consecutive failures after which callers exclude an endpoint
    core::Duration outlierPause {}; ///< how long callers exclude the endpoint
};

/// Contents of the `overload-policy` file.
struct OverloadPolicy
{
    ServicePolicy defaults;
    std::map<std::string, ServicePolicy, std::less<>> services;
    int rootRetryBudget = 0; ///< maximum retries of a root call and all its nested calls
    core::Duration rootDeadline {}; ///< deadline of a root call after its arrival
    bool isEarlySheddingEnabled = true; ///< whether callers refuse calls that a service further down the chain would refuse

    /// @returns the policy of a service, or the defaults if the file does not list it
    [[nodiscard]] const ServicePolicy &forService(std::string_view service) const noexcept;
};

/// Specifications of the file's keys.
[[nodiscard]] const text::SectionSpec &overloadPolicySection() noexcept;
[[nodiscard]] const text::SectionSpec &servicePolicySection() noexcept;
[[nodiscard]] const text::SectionSpec &rootPolicySection() noexcept;
} // namespace figpulley::config
