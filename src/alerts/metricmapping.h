#pragma once

#include "alerts/samplesource.h"

#include <map>
#include <string>
#include <vector>

namespace figpulley::alerts
{
/// Metric of figpulley that replaces a metric of the previous monitoring system.
struct MappedMetric
{
    std::string metricName; ///< name of figpulley's metric
    std::map<std::string, std::string, std::less<>> labelNames; ///< legacy label to label of figpulley's metric
    Labels requiredLabels; ///< labels of the series that correspond to the legacy metric
};

/// Maps the metric and label names in rules of the previous monitoring system to figpulley's series.
class MetricMapping
{
public:
    void add(const std::string &legacyName, MappedMetric metric);

    [[nodiscard]] const MappedMetric *find(const std::string &legacyName) const noexcept;
    [[nodiscard]] const std::map<std::string, MappedMetric, std::less<>> &items() const noexcept;

private:
    std::map<std::string, MappedMetric, std::less<>> metrics;
};

/// Presents the series of a source under their legacy names, so that rules can be copied without edits.
class MappedSampleSource : public SampleSource
{
public:
    /// @param source provides figpulley's series; must outlive this object
    /// @param mapping must outlive this object
    MappedSampleSource(const SampleSource &source, const MetricMapping &mapping);

    [[nodiscard]] std::vector<Series> select(const std::vector<Matcher> &matchers, Millis from, Millis to) const override;

private:
    const SampleSource &source;
    const MetricMapping &mapping;
};
} // namespace figpulley::alerts
