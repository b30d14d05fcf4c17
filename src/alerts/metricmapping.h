#pragma once

#include "alerts/samplesource.h"

#include <map>
#include <string>
#include <vector>

namespace figpulley::alerts
{
/// How one metric of the old setup is found among figpulley's.
struct MappedMetric
{
    std::string ownName;
    std::map<std::string, std::string, std::less<>> ownLabels; ///< old label to own label
    Labels fixed; ///< matchers that select the part of our series that stands for the old one
};

/// Old metric names and labels by which copied rules read figpulley's series.
class MetricMapping
{
public:
    void add(const std::string &oldName, MappedMetric metric);

    [[nodiscard]] const MappedMetric *find(const std::string &oldName) const noexcept;
    [[nodiscard]] const std::map<std::string, MappedMetric, std::less<>> &items() const noexcept;

private:
    std::map<std::string, MappedMetric, std::less<>> metrics;
};

/// Shows a source under the old setup's names, so that no expression has to be edited.
class MappedSource : public SampleSource
{
public:
    /// Both have to outlive this.
    MappedSource(const SampleSource &source, const MetricMapping &mapping);

    [[nodiscard]] std::vector<Series> select(const std::vector<Matcher> &matchers, Millis from, Millis to) const override;

private:
    const SampleSource &source;
    const MetricMapping &mapping;
};
} // namespace figpulley::alerts
