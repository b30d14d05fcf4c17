#include "standin/runlog.h"

namespace figpulley::standin
{
RunLog::Shard &RunLog::shardOf(std::uint64_t work)
{
    return this->shards[work % shardCount];
}

void RunLog::noteReceived(std::uint64_t work)
{
    auto &shard = this->shardOf(work);
    const std::lock_guard lock(shard.mutex);
    ++shard.records[work].received;
}

void RunLog::noteRun(std::uint64_t work, bool isRoot)
{
    auto &shard = this->shardOf(work);
    const std::lock_guard lock(shard.mutex);
    auto &record = shard.records[work];
    ++record.runs;
    record.rootRuns += isRoot ? 1 : 0;
}

void RunLog::noteBusy(std::uint64_t work, core::Duration busy)
{
    auto &shard = this->shardOf(work);
    const std::lock_guard lock(shard.mutex);
    shard.records[work].busy += busy;
}

WorkRecord RunLog::find(std::uint64_t work) const
{
    const auto &shard = this->shards[work % shardCount];
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.records.find(work);
    return found == shard.records.end() ? WorkRecord {} : found->second;
}
} // namespace figpulley::standin
