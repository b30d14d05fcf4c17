#include "bench/experiment.h"

#include "bench/latencyprobe.h"
#include "bench/summary.h"
#include "bench/testbed.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <thread>

#include <fmt/format.h>
#include <unistd.h>

namespace figpulley::bench
{
namespace
{
using namespace std::chrono_literals;
using core::Duration;

constexpr double surgeFactor = 10; // ratio of the demand to the capacity of the deep service
constexpr double retryingSurgeFactor = 3; // ratio of the demand to the steady demand
constexpr double slowFactor = 4; // ratio of the service times to their normal values
constexpr double coldStartUtilization = 0.9; // ratio of the demand to the capacity of the deep service with all endpoints
constexpr int maxRetryingClientAttempts = 4;
constexpr int maxPerHopClientAttempts = 3;

Duration durationOf(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

bool slowsDeepService(Scenario scenario)
{
    return scenario == Scenario::DeepSlow || scenario == Scenario::DeepSlowRetrying;
}

double sumSurgingDemand(const Deployment &deployment)
{
    double sum = 0;
    for (const auto &demand : deployment.demand) {
        sum += demand.isSurging ? demand.callsPerSecond : 0;
    }
    return sum;
}

// Returns the factor by which the disturbance multiplies the surging demand.
double demandFactor(const Deployment &deployment, Scenario scenario)
{
    switch (scenario) {
    case Scenario::Surge:
    case Scenario::MisleadingLoadReport:
        return surgeFactor * deployment.deepCapacity() / sumSurgingDemand(deployment);
    case Scenario::DeepSlowRetrying:
        return retryingSurgeFactor;
    case Scenario::ColdStart:
        return coldStartUtilization * deployment.deepCapacity() / sumSurgingDemand(deployment);
    case Scenario::Steady:
    case Scenario::DeepSlow:
        return 1;
    }
    return 1;
}

int maxClientAttempts(const ExperimentOptions &options)
{
    if (options.scenario == Scenario::DeepSlowRetrying) {
        return maxRetryingClientAttempts;
    }
    return options.control == ControlMode::PerHopRetries ? maxPerHopClientAttempts : 1;
}

void showProgress(const ExperimentOptions &options, const LoadGenerator &load, double elapsed, double total)
{
    if (!options.isQuiet && isatty(STDERR_FILENO) != 0) {
        fmt::print(stderr, "\r{} {} {}: {:.0f} of {:.0f} s, {} attempts sent ", options.deployment, name(options.scenario),
                   name(options.control), elapsed, total, load.attemptsSent());
    }
}

void waitUntil(const ExperimentOptions &options, const LoadGenerator &load, core::TimePoint origin, double until, double total)
{
    while (true) {
        const auto elapsed = core::toSeconds(core::steadyNow() - origin);
        showProgress(options, load, elapsed, total);
        if (elapsed >= until) {
            return;
        }
        std::this_thread::sleep_for(std::min<std::chrono::duration<double>>(100ms, std::chrono::duration<double>(until - elapsed)));
    }
}
} // namespace

bool ExperimentReport::invariantsHold() const noexcept
{
    return this->nonIdempotentRepeats == 0 && this->notRunButRan == 0 && this->foreignResponses == 0;
}

ExperimentReport runExperiment(const ExperimentOptions &options)
{
    const auto *deployment = findDeployment(options.deployment);
    if (deployment == nullptr) {
        throw std::runtime_error("unknown deployment, expected caltagirone or kovacic: " + options.deployment);
    }
    Testbed testbed(*deployment, options);
    testbed.prepareNodes();
    // Latency is measured while the testbed is idle, and only by the steady scenario: one measurement is enough.
    LatencyMeasurement latency;
    if (options.scenario == Scenario::Steady) {
        latency =
            probeLatency(testbed.entrances(), testbed.findUpstream(deployment->services.front().name), deployment->services.front().name);
    }

    const auto begin = options.steadySeconds;
    const auto end = begin + options.disturbedSeconds;
    const auto total = end + options.postDisturbanceSeconds;
    const auto surgingFactor = demandFactor(*deployment, options.scenario);
    const auto rate = [=](const DemandModel &demand, Duration at) {
        const bool isDisturbed = at >= durationOf(begin) && at < durationOf(end);
        return demand.callsPerSecond * (isDisturbed && demand.isSurging ? surgingFactor : 1);
    };
    const auto bytesBefore = testbed.controlBytesSent();
    LoadGenerator load(*deployment, testbed.entrances(), rate, durationOf(total), maxClientAttempts(options), options.seed);
    const auto origin = core::steadyNow();
    load.start();
    waitUntil(options, load, origin, begin, total);
    if (slowsDeepService(options.scenario)) {
        testbed.setServiceTimeFactor(deployment->deepService, slowFactor);
    }
    if (options.scenario == Scenario::ColdStart) {
        testbed.startDelayedVms();
    }
    waitUntil(options, load, origin, end, total);
    testbed.setServiceTimeFactor(deployment->deepService, 1);
    waitUntil(options, load, origin, total, total);
    const auto records = load.finish();
    if (!options.isQuiet && isatty(STDERR_FILENO) != 0) {
        fmt::print(stderr, "\r{:80}\r", "");
    }

    ExperimentReport report;
    report.options = options;
    report.capacity = deployment->deepCapacity() / (slowsDeepService(options.scenario) ? slowFactor : 1);
    report.directP99Us = latency.directP99Us;
    report.addedP50Us = latency.addedP50Us;
    report.addedP99Us = latency.addedP99Us;
    report.controlBytesPerNodeSecond = static_cast<double>(testbed.controlBytesSent() - bytesBefore)
        / static_cast<double>(testbed.nodeCount()) / core::toSeconds(core::steadyNow() - origin);
    summarize(report, *deployment, records, testbed.log());
    return report;
}
} // namespace figpulley::bench
