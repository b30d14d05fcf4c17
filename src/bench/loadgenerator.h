#pragma once

#include "bench/deployment.h"
#include "core/random.h"
#include "net/httpclient.h"
#include "net/loopthread.h"
#include "standin/runlog.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace figpulley::bench
{
/// The result of one root call.
enum class CallResult : std::uint8_t {
    Good, ///< the complete response to this call arrived before the deadline
    Shed, ///< every attempt was refused with the report that the call did not run
    Failed, ///< any other outcome
};

/// The record of one root call, from which the report is computed.
struct CallRecord
{
    std::uint64_t workId = 0; ///< value of the X-Work header, unique within an experiment
    std::uint16_t demandIndex = 0; ///< index in Deployment::demand
    CallResult result = CallResult::Failed;
    core::Duration intendedStart {}; ///< scheduled start, measured from the start of the load
    core::Duration latency {}; ///< time from the scheduled start to the end of the last attempt
    int clientAttempts = 0;
    int nodeRetries = 0; ///< retries that the nodes made, from the Figpulley-Retries header
    bool allReportedNotRun = true; ///< whether every response reported that the call did not run
    bool hasForeignResponse = false; ///< whether the response was cut short or belongs to another call
};

/// Open-loop load generator: starts root calls at a prescribed rate, independently of the responses to earlier calls.
class LoadGenerator
{
public:
    /// Returns the rate of one kind of call, in calls per second, at a time measured from the start of the load.
    using RateFunction = std::function<double(const DemandModel &, core::Duration)>;

    /// @param length duration of the load
    /// @param maxClientAttempts limit on the attempts that a client makes of one call; retries follow without delay
    LoadGenerator(const Deployment &deployment, const std::vector<net::Address> &entrances, const RateFunction &rate, core::Duration length,
                  int maxClientAttempts, std::uint64_t seed);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    void start();

    /// Waits until the load is over and no call is in flight, and returns the records of all calls.
    [[nodiscard]] std::vector<CallRecord> finish();

    /// Returns the number of client attempts sent so far, for the progress line.
    [[nodiscard]] std::uint64_t attemptsSent() const noexcept;

private:
    class Worker;

    std::vector<std::unique_ptr<Worker>> workers;
};
} // namespace figpulley::bench
