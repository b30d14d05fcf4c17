#include "standin/runlog.h"

namespace figpulley::standin
{
RunLog::Shard &RunLog::findShard(std::uint64_t workId)
{
    return this->shards[workId % shardCount];
}

void RunLog::recordReceived(std::uint64_t workId)
{
    auto &shard = this->findShard(workId);
    const std::lock_guard lock(shard.mutex);
    ++shard.records[workId].received;
}

void RunLog::recordRun(std::uint64_t workId, bool isRoot)
{
    auto &shard = this->findShard(workId);
    const std::lock_guard lock(shard.mutex);
    auto &record = shard.records[workId];
    ++record.runs;
    record.rootRuns += isRoot ? 1 : 0;
}

void RunLog::recordSlotTime(std::uint64_t workId, core::Duration slotTime)
{
    auto &shard = this->findShard(workId);
    const std::lock_guard lock(shard.mutex);
    shard.records[workId].slotTime += slotTime;
}

WorkRecord RunLog::find(std::uint64_t workId) const
{
    const auto &shard = this->shards[workId % shardCount];
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.records.find(workId);
    return found == shard.records.end() ? WorkRecord {} : found->second;
}
} // namespace figpulley::standin
