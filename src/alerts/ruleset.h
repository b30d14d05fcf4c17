#pragma once

#include "alerts/expression.h"
#include "alerts/metricmapping.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace figpulley::alerts
{
/// Alert rule as read from a file; operators copy rules unchanged from the previous monitoring system.
struct AlertRule
{
    std::string alert;
    std::string expressionText; ///< text as written in the rule file
    std::shared_ptr<const Expression> expression;
    Millis holdFor = 0; ///< `for` duration
    Millis keepFiringFor = 0; ///< `keep_firing_for` duration
    std::map<std::string, std::string> labels; ///< templates by label name
    std::map<std::string, std::string> annotations; ///< templates by annotation name
};

/// Alert rules that are evaluated at the same instants, in the order of the file.
struct RuleGroup
{
    std::string name;
    Millis interval = 60 * millisPerSecond; ///< time between evaluations
    std::vector<AlertRule> rules;
};

/// All active alert rules and the mapping of their legacy metric names.
struct RuleSet
{
    std::vector<RuleGroup> groups;
    MetricMapping mapping;
};
} // namespace figpulley::alerts
