#include "alerts/rulefile.h"

#include "alerts/knownmetrics.h"
#include "alerts/parser.h"
#include "alerts/template.h"
#include "text/objectreader.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace figpulley::alerts
{
namespace
{
using text::KeySpec;
using text::KeyType;
using text::ObjectReader;

constexpr std::array fileKeys {
    KeySpec {"kind", KeyType::String, "", 1, 64, "always \"alert-rules\""},
    KeySpec {"name", KeyType::String, "", 1, 128, "name of this file's content"},
    KeySpec {"groups", KeyType::Objects, "", 0, 1000, "groups of rules"},
};
constexpr std::array groupKeys {
    KeySpec {"name", KeyType::String, "", 1, 128, "unique name of the group"},
    KeySpec {"interval", KeyType::String, "\"1m\"", 1, 32, "time between evaluations, such as 30s"},
    KeySpec {"rules", KeyType::Objects, "", 0, 1000, "rules, evaluated in this order"},
};
constexpr std::array ruleKeys {
    KeySpec {"alert", KeyType::String, "", 1, 256, "name of the alert"},
    KeySpec {"expr", KeyType::String, "", 1, 65536, "expression, unchanged from the previous monitoring system"},
    KeySpec {"for", KeyType::String, "\"0\"", 1, 32, "how long the expression must hold before the alert fires"},
    KeySpec {"keep_firing_for", KeyType::String, "\"0\"", 1, 32, "how long the alert keeps firing after the expression no longer holds"},
    KeySpec {"labels", KeyType::Map, "{}", 0, 64, "labels added to the alert; templates"},
    KeySpec {"annotations", KeyType::Map, "{}", 0, 64, "descriptive texts of the alert; templates"},
};
constexpr std::array mappingKeys {
    KeySpec {"kind", KeyType::String, "", 1, 64, "always \"metric-mapping\""},
    KeySpec {"name", KeyType::String, "", 1, 128, "name of this file's content"},
    KeySpec {"metrics", KeyType::Objects, "", 0, 10000, "metrics of the previous monitoring system"},
};
constexpr std::array metricKeys {
    KeySpec {"from", KeyType::String, "", 1, 256, "name in the previous monitoring system"},
    KeySpec {"to", KeyType::String, "", 1, 256, "name of figpulley's metric"},
    KeySpec {"labels", KeyType::Map, "{}", 0, 64, "legacy label to label of figpulley's metric"},
    KeySpec {"where", KeyType::Map, "{}", 0, 64, "labels that a series of figpulley's metric must have to correspond to the legacy metric"},
};

const text::SectionSpec fileSection {"alert-rules", "Conditions on which operators are notified.", fileKeys};
const text::SectionSpec groupSection {"alert-rules group", "Rules that are evaluated together.", groupKeys};
const text::SectionSpec ruleSection {"alert-rules rule", "One alert.", ruleKeys};
const text::SectionSpec mappingSection {"metric-mapping", "Legacy metric names in copied rules, mapped to figpulley's metrics.",
                                        mappingKeys};
const text::SectionSpec metricSection {"metric-mapping metric", "One metric of the previous monitoring system.", metricKeys};

Millis readDuration(const ObjectReader &reader, std::string_view key)
{
    const auto duration = parseDuration(reader.string(key));
    if (!duration) {
        reader.report(key, fmt::format("\"{}\" must be a duration such as 5m", key));
    }
    return duration.value_or(0);
}

// Adds one column for the opening quote. Escape sequences before the error are not counted, so they shift the position;
// they are rare in expressions.
text::Position positionInExpression(const text::Position &value, std::size_t column)
{
    return {value.line, value.column + static_cast<std::uint32_t>(column)};
}
} // namespace

const text::SectionSpec &alertRulesSection() noexcept
{
    return fileSection;
}

const text::SectionSpec &ruleGroupSection() noexcept
{
    return groupSection;
}

const text::SectionSpec &alertRuleSection() noexcept
{
    return ruleSection;
}

const text::SectionSpec &metricMappingSection() noexcept
{
    return mappingSection;
}

const text::SectionSpec &mappedMetricSection() noexcept
{
    return metricSection;
}

RuleFileReader::RuleFileReader(text::Problems &problems)
    : problems(problems)
{
}

AlertRule RuleFileReader::readRule(const std::string &file, const text::Value &value)
{
    const ObjectReader reader(file, value, ruleSection, this->problems);
    AlertRule rule;
    rule.alert = reader.string("alert");
    rule.expressionText = reader.string("expr");
    rule.holdFor = readDuration(reader, "for");
    rule.keepFiringFor = readDuration(reader, "keep_firing_for");
    if (!rule.expressionText.empty()) {
        const auto position = reader.positionOf("expr");
        try {
            rule.expression = parseExpression(rule.expressionText);
            if (rule.expression->type != ValueType::Vector && rule.expression->type != ValueType::Scalar) {
                throw ExpressionError(
                    1, fmt::format("an alert requires an instant vector or a scalar, not a {}", alerts::name(rule.expression->type)));
            }
            for (auto &metric : metricNames(*rule.expression)) {
                this->metricReferences.push_back({file, position, std::move(metric)});
            }
        } catch (const ExpressionError &error) {
            this->problems.push_back(
                {file, positionInExpression(position, error.column()), fmt::format("expr, column {}: {}", error.column(), error.what())});
        }
    }
    const auto readTemplates = [&](std::string_view key, std::map<std::string, std::string> &target) {
        for (const auto *member : reader.members(key)) {
            const auto *text = member->value.as<std::string>();
            const auto error = text != nullptr ? findTemplateError(*text) : std::optional<std::string>("must be a string");
            if (error) {
                this->problems.push_back({file, member->value.position(), *error});
                continue;
            }
            target[member->key] = *text;
        }
    };
    readTemplates("labels", rule.labels);
    readTemplates("annotations", rule.annotations);
    return rule;
}

void RuleFileReader::readGroup(const std::string &file, const text::Value &value)
{
    const ObjectReader reader(file, value, groupSection, this->problems);
    RuleGroup group;
    group.name = reader.string("name");
    group.interval = readDuration(reader, "interval");
    const auto &groups = this->rules->groups;
    if (std::any_of(groups.begin(), groups.end(), [&](const RuleGroup &other) { return other.name == group.name; })) {
        reader.report("name", fmt::format("another group is named \"{}\"; group names must be unique", group.name));
    }
    if (group.interval < millisPerSecond && reader.find("interval") != nullptr) {
        reader.report("interval", "\"interval\" must be 1s or more");
    }
    for (const auto *rule : reader.objects("rules")) {
        group.rules.push_back(this->readRule(file, *rule));
    }
    this->rules->groups.push_back(std::move(group));
}

void RuleFileReader::addRules(const std::string &file, const text::Value &root)
{
    const ObjectReader reader(file, root, fileSection, this->problems);
    for (const auto *group : reader.objects("groups")) {
        this->readGroup(file, *group);
    }
}

void RuleFileReader::addMapping(const std::string &file, const text::Value &root)
{
    const ObjectReader reader(file, root, mappingSection, this->problems);
    for (const auto *value : reader.objects("metrics")) {
        const ObjectReader metricReader(file, *value, metricSection, this->problems);
        const auto readPairs = [&](std::string_view key, const auto &store) {
            for (const auto *member : metricReader.members(key)) {
                if (const auto *text = member->value.as<std::string>()) {
                    store(member->key, *text);
                } else {
                    this->problems.push_back({file, member->value.position(), "must be a string"});
                }
            }
        };
        MappedMetric metric;
        metric.metricName = metricReader.string("to");
        readPairs("labels",
                  [&](const std::string &legacyLabel, const std::string &labelName) { metric.labelNames[legacyLabel] = labelName; });
        readPairs("where",
                  [&](const std::string &label, const std::string &requiredValue) { metric.requiredLabels.set(label, requiredValue); });
        const auto known = knownMetrics();
        if (!metric.metricName.empty() && std::find(known.begin(), known.end(), metric.metricName) == known.end()) {
            const auto suggestion = text::findClosest(metric.metricName, {known.begin(), known.end()});
            metricReader.report("to", fmt::format("no metric is named \"{}\"; nearest: \"{}\"", metric.metricName, suggestion));
        }
        this->rules->mapping.add(metricReader.string("from"), std::move(metric));
    }
}

std::shared_ptr<const RuleSet> RuleFileReader::finish()
{
    const auto known = knownMetrics();
    for (const auto &item : this->metricReferences) {
        const bool isKnown =
            this->rules->mapping.find(item.metric) != nullptr || std::find(known.begin(), known.end(), item.metric) != known.end();
        if (!isKnown) {
            this->problems.push_back(
                {item.file, item.position,
                 fmt::format("metric \"{}\" is neither known nor mapped; the rule would select no series", item.metric), true});
        }
    }
    return this->rules;
}
} // namespace figpulley::alerts
