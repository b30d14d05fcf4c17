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
/// Tables of the files' keys.
[[nodiscard]] const text::SectionSpec &alertRulesSection() noexcept;
[[nodiscard]] const text::SectionSpec &ruleGroupSection() noexcept;
[[nodiscard]] const text::SectionSpec &alertRuleSection() noexcept;
[[nodiscard]] const text::SectionSpec &metricMappingSection() noexcept;
[[nodiscard]] const text::SectionSpec &mappedMetricSection() noexcept;

/// Collects the rules and the mapping from all files of a set.
class RuleFileReader
{
public:
    explicit RuleFileReader(text::Problems &problems);

    /// Reads an `alert-rules` file.
    void addRules(const std::string &file, const text::Value &root);

    /// Reads a `metric-mapping` file.
    void addMapping(const std::string &file, const text::Value &root);

    /// Checks rules against the mapping and the known metrics: an unknown metric is a warning.
    [[nodiscard]] std::shared_ptr<const RuleSet> finish();

private:
    struct NamedMetric
    {
        std::string file;
        text::Position position;
        std::string metric;
    };

    [[nodiscard]] AlertRule readRule(const std::string &file, const text::Value &value);
    void readGroup(const std::string &file, const text::Value &value);

    text::Problems &problems;
    std::shared_ptr<RuleSet> rules = std::make_shared<RuleSet>();
    std::vector<NamedMetric> named;
};
} // namespace figpulley::alerts
