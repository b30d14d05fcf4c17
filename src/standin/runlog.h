#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace figpulley::standin
{
/// What upstreams did for one root call.
struct WorkRecord
{
    std::uint32_t rootRuns = 0; ///< runs at the service that the client called
    std::uint32_t runs = 0; ///< runs at all services
    std::uint32_t received = 0; ///< requests that reached any upstream
    core::Duration slotTime {}; ///< total time for which its runs held slots
};

/// Records the runs of every root call at all stand-in upstreams of a process, from which repeated and wasted runs are counted.
/// A root call is identified by the value of its X-Work header. Thread-safe.
class RunLog
{
public:
    void recordReceived(std::uint64_t workId);
    void recordRun(std::uint64_t workId, bool isRoot);
    void recordSlotTime(std::uint64_t workId, core::Duration slotTime);

    /// Returns the record of a root call, or an empty one if it reached no upstream.
    [[nodiscard]] WorkRecord find(std::uint64_t workId) const;

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::uint64_t, WorkRecord> records;
    };

    [[nodiscard]] Shard &findShard(std::uint64_t workId);

    static constexpr std::size_t shardCount = 32;
    std::array<Shard, shardCount> shards;
};
} // namespace figpulley::standin
