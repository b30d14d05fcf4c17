#pragma once

#include "alerts/expression.h"
#include "alerts/metricmapping.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace figpulley::alerts
{
/// One alert rule, as the operators copied it.
struct AlertRule
{
    std::string alert;
    std::string expressionText; ///< letter by letter
    std::shared_ptr<const Expression> expression;
    Millis holdFor = 0; ///< `for`
    Millis keepFiringFor = 0;
    std::map<std::string, std::string> labels; ///< templates
    std::map<std::string, std::string> annotations; ///< templates
};

/// Rules that are evaluated together, in their order.
struct RuleGroup
{
    std::string name;
    Millis interval = 60 * millisPerSecond;
    std::vector<AlertRule> rules;
};

/// All alert rules in force, and the names by which they know our metrics.
struct RuleSet
{
    std::vector<RuleGroup> groups;
    MetricMapping mapping;
};
} // namespace figpulley::alerts
