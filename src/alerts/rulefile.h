#pragma once

#include "alerts/ruleset.h"
#include "text/keyspec.h"
#include "text/problem.h"
#include "text/value.h"

#include <memory>
#include <string>
#include <vector>

namespace figpulley::alerts
{
/// Key tables of the rule and mapping files, one for each kind of object.
[[nodiscard]] const text::SectionSpec &alertRulesSection() noexcept;
[[nodiscard]] const text::SectionSpec &ruleGroupSection() noexcept;
[[nodiscard]] const text::SectionSpec &alertRuleSection() noexcept;
[[nodiscard]] const text::SectionSpec &metricMappingSection() noexcept;
[[nodiscard]] const text::SectionSpec &mappedMetricSection() noexcept;

/// Collects the alert rules and the metric mapping from all files of a configuration.
class RuleFileReader
{
public:
    explicit RuleFileReader(text::Problems &problems);

    /// Reads an `alert-rules` file.
    void addRules(const std::string &file, const text::Value &root);

    /// Reads a `metric-mapping` file.
    void addMapping(const std::string &file, const text::Value &root);

    /// Returns the collected rules. Reports a warning for each metric that is neither mapped nor known.
    [[nodiscard]] std::shared_ptr<const RuleSet> finish();

private:
    struct MetricReference
    {
        std::string file;
        text::Position position;
        std::string metric;
    };

    [[nodiscard]] AlertRule readRule(const std::string &file, const text::Value &value);
    void readGroup(const std::string &file, const text::Value &value);

    text::Problems &problems;
    std::shared_ptr<RuleSet> rules = std::make_shared<RuleSet>();
    std::vector<MetricReference> metricReferences;
};
} // namespace figpulley::alerts
