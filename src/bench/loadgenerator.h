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
/// How one client call ended.
enum class CallResult : std::uint8_t {
    Good, ///< the whole answer to this call, in time
    Shed, ///< refused as not run
    Failed, ///< anything else
};

/// One client call, for the report.
struct CallRecord
{
    std::uint64_t work = 0;
    std::uint16_t demand = 0; ///< index in the deployment's demand
    CallResult result = CallResult::Failed;
    core::Duration intended {}; ///< since the start of the load
    core::Duration latency {}; ///< from the intended instant to the end
    int clientAttempts = 0;
    int retries = 0; ///< as the nodes report
    bool allSaidNotRun = true; ///< every attempt was answered as not run
    bool isForeign = false; ///< the answer was short or belongs to another call
};

/// Sends calls at the instants that a rate prescribes, whatever becomes of earlier calls.
class LoadGenerator
{
public:
    /// Calls per second of one demand at an instant.
    using Rate = std::function<double(const DemandModel &, core::Duration)>;

    /// @param clientAttempts of one call; further ones follow at once
    LoadGenerator(const Deployment &deployment, const std::vector<net::Address> &entrances, const Rate &rate, core::Duration length,
                  int clientAttempts, std::uint64_t seed);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    void start();

    /// Waits for the end of the load and of the calls in flight.
    [[nodiscard]] std::vector<CallRecord> finish();

    /// Calls sent and answered so far, for a progress line.
    [[nodiscard]] std::uint64_t sent() const noexcept;

private:
    class Worker;

    std::vector<std::unique_ptr<Worker>> workers;
};
} // namespace figpulley::bench
