#pragma once

#include "core/time.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace figpulley::standin
{
/// What upstreams did for one piece of work.
struct WorkRecord
{
    std::uint32_t rootRuns = 0; ///< runs at the service that the client called
    std::uint32_t runs = 0; ///< runs at all services
    std::uint32_t received = 0; ///< requests that reached any upstream
    core::Duration busy {}; ///< time that slots were held
};

/// Remembers which work ran, across all stand-in upstreams of a process; the measure of repeated and of wasted runs.
class RunLog
{
public:
    void noteReceived(std::uint64_t work);
    void noteRun(std::uint64_t work, bool isRoot);
    void noteBusy(std::uint64_t work, core::Duration busy);

    [[nodiscard]] WorkRecord find(std::uint64_t work) const;

private:
    struct Shard
    {
        mutable std::mutex mutex;
        std::unordered_map<std::uint64_t, WorkRecord> records;
    };

    [[nodiscard]] Shard &shardOf(std::uint64_t work);

    static constexpr std::size_t shardCount = 32;
    std::array<Shard, shardCount> shards;
};
} // namespace figpulley::standin
