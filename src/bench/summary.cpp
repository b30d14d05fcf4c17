#include "bench/summary.h"

#include <algorithm>
#include <array>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace figpulley::bench
{
namespace
{
constexpr double bucketSeconds = 0.1;
constexpr double recoveredFraction = 0.95;
constexpr std::size_t recoveryWindowBuckets = 5; // consecutive buckets whose goodput counts for recovery

std::size_t bucketIndex(core::Duration at)
{
    return static_cast<std::size_t>(core::toSeconds(at) / bucketSeconds);
}

PriorityReport &findOrAddPriority(ExperimentReport &report, const std::string &name)
{
    const auto found = std::find_if(report.priorities.begin(), report.priorities.end(),
                                    [&](const PriorityReport &priority) { return priority.name == name; });
    if (found != report.priorities.end()) {
        return *found;
    }
    report.priorities.push_back({name, 0, 0, 0, 0});
    return report.priorities.back();
}

bool reachesDeepService(const Deployment &deployment, const DemandModel &demand)
{
    if (demand.service == deployment.deepService) {
        return true;
    }
    for (const auto &service : deployment.services) {
        if (service.name == demand.service) {
            return !service.routes.front().nested.empty();
        }
    }
    return false;
}

int chainLength(const Deployment &deployment, const DemandModel &demand)
{
    return demand.service != deployment.deepService && reachesDeepService(deployment, demand) ? 2 : 1;
}

void summarizePriorities(ExperimentReport &report, const Deployment &deployment, const std::vector<CallRecord> &records)
{
    const auto begin = report.options.steadySeconds;
    const auto end = begin + report.options.disturbedSeconds;
    double deepOffered = 0;
    double deepGood = 0;
    for (const auto &demand : deployment.demand) {
        static_cast<void>(findOrAddPriority(report, demand.priority));
    }
    for (const auto &record : records) {
        const auto at = core::toSeconds(record.intendedStart);
        const auto completed = at + core::toSeconds(record.latency);
        // Goodput counts the calls that complete during the disturbance, also those that started before it.
        const bool isDeepGood = record.result == CallResult::Good && completed >= begin && completed < end;
        deepGood += isDeepGood && reachesDeepService(deployment, deployment.demand[record.demandIndex]) ? 1 : 0;
        if (at < begin || at >= end) {
            continue;
        }
        const auto &demand = deployment.demand[record.demandIndex];
        auto &priority = findOrAddPriority(report, demand.priority);
        ++priority.offered;
        priority.good += record.result == CallResult::Good ? 1 : 0;
        priority.shed += record.result == CallResult::Shed ? 1 : 0;
        priority.failed += record.result == CallResult::Failed ? 1 : 0;
        if (reachesDeepService(deployment, demand)) {
            deepOffered += 1;
        }
    }
    const auto achievable = std::min(deepOffered, report.capacity * report.options.disturbedSeconds);
    report.goodputRatio = achievable > 0 ? deepGood / achievable : 0;
}

void countViolations(ExperimentReport &report, const Deployment &deployment, const std::vector<CallRecord> &records,
                     const standin::RunLog &log)
{
    double attempts = 0;
    double slotSeconds = 0;
    double wastedSeconds = 0;
    for (const auto &record : records) {
        const auto &demand = deployment.demand[record.demandIndex];
        const auto workRecord = log.find(record.workId);
        const auto attemptsReceived = static_cast<int>(workRecord.received) - (chainLength(deployment, demand) - 1);
        const auto attemptsMade = std::max(record.clientAttempts + record.nodeRetries, attemptsReceived);
        attempts += attemptsMade;
        report.attemptsMax = std::max(report.attemptsMax, attemptsMade);
        slotSeconds += core::toSeconds(workRecord.slotTime);
        wastedSeconds += record.result == CallResult::Good ? 0 : core::toSeconds(workRecord.slotTime);
        report.nonIdempotentRepeats += !demand.isIdempotent && workRecord.rootRuns > 1 ? 1 : 0;
        report.notRunButRan += record.allReportedNotRun && workRecord.rootRuns > 0 ? 1 : 0;
        report.foreignResponses += record.hasForeignResponse ? 1 : 0;
    }
    report.attemptsMean = records.empty() ? 0 : attempts / static_cast<double>(records.size());
    report.wastedWorkRatio = slotSeconds > 0 ? wastedSeconds / slotSeconds : 0;
}

// Counts a good call in the bucket of its scheduled start, so that the goodput of a bucket compares with the demand of that bucket.
void computeSeries(ExperimentReport &report, const Deployment &deployment, const std::vector<CallRecord> &records)
{
    const auto total = report.options.steadySeconds + report.options.disturbedSeconds + report.options.postDisturbanceSeconds;
    const auto buckets = static_cast<std::size_t>(total / bucketSeconds) + 1;
    std::vector<double> offered(buckets);
    std::vector<double> good(buckets);
    report.bucketSeconds = bucketSeconds;
    for (const auto &priority : report.priorities) {
        report.series.push_back({priority.name, std::vector<double>(buckets)});
    }
    for (const auto &record : records) {
        const auto bucket = std::min(bucketIndex(record.intendedStart), buckets - 1);
        offered[bucket] += 1;
        if (record.result != CallResult::Good) {
            continue;
        }
        good[bucket] += 1;
        for (auto &series : report.series) {
            if (series.name == deployment.demand[record.demandIndex].priority) {
                series.perSecond[bucket] += 1 / bucketSeconds;
            }
        }
    }
    const auto first =
        bucketIndex(core::Duration(static_cast<std::int64_t>((report.options.steadySeconds + report.options.disturbedSeconds) * 1e6)));
    report.recoverySeconds = -1;
    for (auto at = first; at + recoveryWindowBuckets < buckets; ++at) {
        double offeredSum = 0;
        double goodSum = 0;
        for (std::size_t offset = 0; offset < recoveryWindowBuckets; ++offset) {
            offeredSum += offered[at + offset];
            goodSum += good[at + offset];
        }
        if (goodSum >= recoveredFraction * offeredSum) {
            report.recoverySeconds = static_cast<double>(at - first) * bucketSeconds;
            return;
        }
    }
}
} // namespace

void summarize(ExperimentReport &report, const Deployment &deployment, const std::vector<CallRecord> &records, const standin::RunLog &log)
{
    report.offered = records.size();
    summarizePriorities(report, deployment, records);
    countViolations(report, deployment, records, log);
    computeSeries(report, deployment, records);
}

std::string toJson(const ExperimentReport &report)
{
    nlohmann::ordered_json priorities = nlohmann::ordered_json::object();
    for (const auto &priority : report.priorities) {
        priorities[priority.name] = {
            {"offered", priority.offered}, {"good", priority.good}, {"shed", priority.shed}, {"failed", priority.failed}};
    }
    const nlohmann::ordered_json document {
        {"deployment", report.options.deployment},
        {"scenario", name(report.options.scenario)},
        {"control", name(report.options.control)},
        {"limit", config::name(report.options.limit)},
        {"seed", report.options.seed},
        {"offered", report.offered},
        {"capacity_per_second", report.capacity},
        {"goodput_ratio", report.goodputRatio},
        {"priorities", priorities},
        {"attempts_per_root_mean", report.attemptsMean},
        {"attempts_per_root_max", report.attemptsMax},
        {"recovery_seconds", report.recoverySeconds},
        {"wasted_work_ratio", report.wastedWorkRatio},
        {"non_idempotent_repeats", report.nonIdempotentRepeats},
        {"not_run_but_ran", report.notRunButRan},
        {"short_or_foreign_answers", report.foreignResponses},
        {"direct_latency_p99_us", report.directP99Us},
        {"added_latency_p50_us", report.addedP50Us},
        {"added_latency_p99_us", report.addedP99Us},
        {"control_bytes_per_node_second", report.controlBytesPerNodeSecond},
    };
    return document.dump();
}

std::string toSvg(const ExperimentReport &report)
{
    constexpr double width = 900;
    constexpr double height = 360;
    constexpr double margin = 50;
    constexpr std::array<const char *, 8> colours {"#888888", "#1f77b4", "#2ca02c", "#d62728", "#9467bd", "#8c564b", "#e377c2", "#17becf"};
    double maxValue = 1;
    std::size_t buckets = 1;
    for (const auto &series : report.series) {
        buckets = std::max(buckets, series.perSecond.size());
        for (const auto value : series.perSecond) {
            maxValue = std::max(maxValue, value);
        }
    }
    const auto x = [&](double bucket) { return margin + bucket / static_cast<double>(buckets) * (width - 2 * margin); };
    const auto y = [&](double value) { return height - margin - value / maxValue * (height - 2 * margin); };
    auto svg =
        fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" font-family=\"sans-serif\" font-size=\"12\">\n"
                    "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
                    "<text x=\"{}\" y=\"20\">{} {} {}: good calls per second by priority</text>\n",
                    width, height, margin, report.options.deployment, name(report.options.scenario), name(report.options.control));
    const auto begin = report.options.steadySeconds / report.bucketSeconds;
    const auto end = begin + report.options.disturbedSeconds / report.bucketSeconds;
    svg += fmt::format("<rect x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" fill=\"#f4e9d8\"/>\n", x(begin), y(maxValue), x(end) - x(begin),
                       y(0) - y(maxValue));
    for (std::size_t index = 0; index < report.series.size(); ++index) {
        const auto &series = report.series[index];
        const auto *colour = colours[index % colours.size()];
        svg += fmt::format("<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\" points=\"", colour);
        for (std::size_t bucket = 0; bucket < series.perSecond.size(); ++bucket) {
            svg += fmt::format("{:.1f},{:.1f} ", x(static_cast<double>(bucket)), y(series.perSecond[bucket]));
        }
        svg += fmt::format("\"/>\n<text x=\"{}\" y=\"{}\" fill=\"{}\">{}</text>\n", margin + 120.0 * static_cast<double>(index),
                           height - 10, colour, series.name);
    }
    svg += fmt::format("<text x=\"5\" y=\"{}\">{:.0f}/s</text>\n<text x=\"5\" y=\"{}\">0</text>\n", y(maxValue) + 4, maxValue, y(0) + 4);
    svg += fmt::format("<text x=\"{}\" y=\"{}\">0 s</text>\n<text x=\"{}\" y=\"{}\">{:.0f} s</text>\n</svg>\n", x(0), y(0) + 16,
                       x(static_cast<double>(buckets)) - 20, y(0) + 16, static_cast<double>(buckets) * report.bucketSeconds);
    return svg;
}
} // namespace figpulley::bench
