#include "alerts/metricmapping.h"

namespace figpulley::alerts
{
namespace
{
const Matcher *findNameMatcher(const std::vector<Matcher> &matchers)
{
    for (const auto &matcher : matchers) {
        if (matcher.label() == nameLabel && matcher.kind() == MatchKind::Equal) {
            return &matcher;
        }
    }
    return nullptr;
}

std::vector<Matcher> translateMatchers(const std::vector<Matcher> &matchers, const MappedMetric &metric)
{
    std::vector<Matcher> translated;
    for (const auto &matcher : matchers) {
        if (matcher.label() == nameLabel) {
            translated.emplace_back(std::string(nameLabel), MatchKind::Equal, metric.metricName);
            continue;
        }
        const auto renamed = metric.labelNames.find(matcher.label());
        translated.push_back(renamed == metric.labelNames.end() ? matcher : matcher.withLabel(renamed->second));
    }
    for (const auto &[label, value] : metric.requiredLabels.items()) {
        translated.emplace_back(label, MatchKind::Equal, value);
    }
    return translated;
}

Labels restoreLegacyNames(const Labels &labels, const std::string &legacyName, const MappedMetric &metric)
{
    auto result = labels;
    for (const auto &[legacyLabel, labelName] : metric.labelNames) {
        const auto &value = labels.get(labelName);
        result.remove(labelName);
        result.set(legacyLabel, value);
    }
    for (const auto &[label, value] : metric.requiredLabels.items()) {
        result.remove(label);
    }
    result.set(std::string(nameLabel), legacyName);
    return result;
}
} // namespace

void MetricMapping::add(const std::string &legacyName, MappedMetric metric)
{
    this->metrics.insert_or_assign(legacyName, std::move(metric));
}

const MappedMetric *MetricMapping::find(const std::string &legacyName) const noexcept
{
    const auto found = this->metrics.find(legacyName);
    return found == this->metrics.end() ? nullptr : &found->second;
}

const std::map<std::string, MappedMetric, std::less<>> &MetricMapping::items() const noexcept
{
    return this->metrics;
}

MappedSampleSource::MappedSampleSource(const SampleSource &source, const MetricMapping &mapping)
    : source(source)
    , mapping(mapping)
{
}

std::vector<Series> MappedSampleSource::select(const std::vector<Matcher> &matchers, Millis from, Millis to) const
{
    const auto *name = findNameMatcher(matchers);
    const auto *metric = name != nullptr ? this->mapping.find(name->pattern()) : nullptr;
    if (metric == nullptr) {
        return this->source.select(matchers, from, to);
    }
    auto selected = this->source.select(translateMatchers(matchers, *metric), from, to);
    for (auto &series : selected) {
        series.labels = restoreLegacyNames(series.labels, name->pattern(), *metric);
    }
    return selected;
}
} // namespace figpulley::alerts
