#include "alerts/metricmapping.h"

namespace figpulley::alerts
{
namespace
{
const Matcher *nameMatcher(const std::vector<Matcher> &matchers)
{
    for (const auto &matcher : matchers) {
        if (matcher.label() == nameLabel && matcher.kind() == MatchKind::Equal) {
            return &matcher;
        }
    }
    return nullptr;
}

std::vector<Matcher> translate(const std::vector<Matcher> &matchers, const MappedMetric &metric)
{
    std::vector<Matcher> translated;
    for (const auto &matcher : matchers) {
        if (matcher.label() == nameLabel) {
            translated.emplace_back(std::string(nameLabel), MatchKind::Equal, metric.ownName);
            continue;
        }
        const auto own = metric.ownLabels.find(matcher.label());
        translated.push_back(own == metric.ownLabels.end() ? matcher : matcher.renamed(own->second));
    }
    for (const auto &[label, value] : metric.fixed.items()) {
        translated.emplace_back(label, MatchKind::Equal, value);
    }
    return translated;
}

Labels underOldNames(const Labels &labels, const std::string &oldName, const MappedMetric &metric)
{
    auto result = labels;
    for (const auto &[oldLabel, ownLabel] : metric.ownLabels) {
        const auto &value = labels.get(ownLabel);
        result.remove(ownLabel);
        result.set(oldLabel, value);
    }
    for (const auto &[label, value] : metric.fixed.items()) {
        result.remove(label);
    }
    result.set(std::string(nameLabel), oldName);
    return result;
}
} // namespace

void MetricMapping::add(const std::string &oldName, MappedMetric metric)
{
    this->metrics.insert_or_assign(oldName, std::move(metric));
}

const MappedMetric *MetricMapping::find(const std::string &oldName) const noexcept
{
    const auto found = this->metrics.find(oldName);
    return found == this->metrics.end() ? nullptr : &found->second;
}

const std::map<std::string, MappedMetric, std::less<>> &MetricMapping::items() const noexcept
{
    return this->metrics;
}

MappedSource::MappedSource(const SampleSource &source, const MetricMapping &mapping)
    : source(source)
    , mapping(mapping)
{
}

std::vector<Series> MappedSource::select(const std::vector<Matcher> &matchers, Millis from, Millis to) const
{
    const auto *name = nameMatcher(matchers);
    const auto *metric = name != nullptr ? this->mapping.find(name->pattern()) : nullptr;
    if (metric == nullptr) {
        return this->source.select(matchers, from, to);
    }
    auto selected = this->source.select(translate(matchers, *metric), from, to);
    for (auto &series : selected) {
        series.labels = underOldNames(series.labels, name->pattern(), *metric);
    }
    return selected;
}
} // namespace figpulley::alerts
