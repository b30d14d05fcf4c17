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

constexpr double surgeFactor = 10; // of what the deep service can take
constexpr double retryingSurge = 3; // times the steady demand
constexpr double slowFactor = 4;
constexpr double coldStartDemand = 0.9; // of the deep service's full capacity
constexpr int retryingClientAttempts = 4;
constexpr int perHopClientAttempts = 3;

Duration seconds(double count)
{
    return Duration(static_cast<std::int64_t>(count * 1e6));
}

bool isSlow(Scenario scenario)
{
    return scenario == Scenario::DeepSlow || scenario == Scenario::DeepSlowRetrying;
}

double surgingDemand(const Deployment &deployment)
{
    double sum = 0;
    for (const auto &demand : deployment.demand) {
        sum += demand.isSurging ? demand.callsPerSecond : 0;
    }
    return sum;
}

// Factor on the surging demand while disturbed.
double disturbanceFactor(const Deployment &deployment, Scenario scenario)
{
    switch (scenario) {
    case Scenario::Surge:
    case Scenario::LyingLoad:
        return surgeFactor * deployment.deepCapacity() / surgingDemand(deployment);
    case Scenario::DeepSlowRetrying:
        return retryingSurge;
    case Scenario::ColdStart:
        return coldStartDemand * deployment.deepCapacity() / surgingDemand(deployment);
    case Scenario::Steady:
    case Scenario::DeepSlow:
        return 1;
    }
    return 1;
}

int clientAttempts(const ExperimentOptions &options)
{
    if (options.scenario == Scenario::DeepSlowRetrying) {
        return retryingClientAttempts;
    }
    return options.control == ControlMode::PerHopRetries ? perHopClientAttempts : 1;
}

void showProgress(const ExperimentOptions &options, const LoadGenerator &load, double elapsed, double total)
{
    if (!options.isQuiet && isatty(STDERR_FILENO) != 0) {
        fmt::print(stderr, "\r{} {} {}: {:.0f} of {:.0f} s, {} calls sent ", options.deployment, name(options.scenario),
                   name(options.control), elapsed, total, load.sent());
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

bool ExperimentReport::isSafe() const noexcept
{
    return this->nonIdempotentRepeats == 0 && this->notRunButRan == 0 && this->foreignAnswers == 0;
}

ExperimentReport runExperiment(const ExperimentOptions &options)
{
    const auto *deployment = findDeployment(options.deployment);
    if (deployment == nullptr) {
        throw std::runtime_error("unknown deployment " + options.deployment);
    }
    Testbed testbed(*deployment, options);
    testbed.settle();
    // Latency is probed on an idle testbed, and once is enough.
    LatencyProbe probe;
    if (options.scenario == Scenario::Steady) {
        probe = probeLatency(testbed.entrances(), testbed.upstreamOf(deployment->services.front().name), deployment->services.front().name);
    }

    const auto begin = options.steadySeconds;
    const auto end = begin + options.disturbedSeconds;
    const auto total = end + options.afterSeconds;
    const auto factor = disturbanceFactor(*deployment, options.scenario);
    const auto rate = [=](const DemandModel &demand, Duration at) {
        const bool isDisturbed = at >= seconds(begin) && at < seconds(end);
        return demand.callsPerSecond * (isDisturbed && demand.isSurging ? factor : 1);
    };
    const auto bytesBefore = testbed.controlBytes();
    LoadGenerator load(*deployment, testbed.entrances(), rate, seconds(total), clientAttempts(options), options.seed);
    const auto origin = core::steadyNow();
    load.start();
    waitUntil(options, load, origin, begin, total);
    if (isSlow(options.scenario)) {
        testbed.setSlowness(deployment->deepService, slowFactor);
    }
    if (options.scenario == Scenario::ColdStart) {
        testbed.startHeldBack();
    }
    waitUntil(options, load, origin, end, total);
    testbed.setSlowness(deployment->deepService, 1);
    waitUntil(options, load, origin, total, total);
    const auto records = load.finish();
    if (!options.isQuiet && isatty(STDERR_FILENO) != 0) {
        fmt::print(stderr, "\r{:80}\r", "");
    }

    ExperimentReport report;
    report.options = options;
    report.capacity = deployment->deepCapacity() / (isSlow(options.scenario) ? slowFactor : 1);
    report.directP99Us = probe.directP99Us;
    report.addedP50Us = probe.addedP50Us;
    report.addedP99Us = probe.addedP99Us;
    report.controlBytesPerNodeSecond = static_cast<double>(testbed.controlBytes() - bytesBefore) / static_cast<double>(testbed.nodeCount())
        / core::toSeconds(core::steadyNow() - origin);
    summarize(report, *deployment, records, testbed.log());
    return report;
}
} // namespace figpulley::bench
