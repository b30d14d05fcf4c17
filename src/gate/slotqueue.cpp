#include "gate/slotqueue.h"

#include <algorithm>
#include <chrono>

namespace figpulley::gate
{
namespace
{
using namespace std::chrono_literals;
using core::Duration;
using core::ErrorKind;
using core::TimePoint;

constexpr double runTimeWeight = 0.05; // of the newest run in the moving average
constexpr Duration assumedRun = 50ms; // before the first run has ended
constexpr Duration shortestRetryAfter = 100ms; // below it a caller comes back before anything has changed
constexpr std::size_t longestQueue = 4096; // bounds memory; far more than can be answered in time

std::uint32_t urgencyOf(const QueuedRequest &request)
{
    return 2 * (core::Rank::maximumLevels - request.rank.level()) + (request.isNested ? 0 : 1);
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}
} // namespace

void SlotQueue::setSlots(int slots)
{
    this->slotCount = std::max(1, slots);
}

Duration SlotQueue::meanRun() const noexcept
{
    return this->meanRunSeconds > 0 ? fromSeconds(this->meanRunSeconds) : assumedRun;
}

Duration SlotQueue::expectedWait(const QueuedRequest &request) const
{
    if (this->runningCount < this->slotCount && this->queue.empty()) {
        return Duration {};
    }
    const auto urgency = urgencyOf(request);
    const auto ahead = std::count_if(this->queue.begin(), this->queue.end(), [urgency](const auto &item) { return item.first.urgency <= urgency; });
    return this->meanRun() * (ahead + 1) / this->slotCount;
}

SlotDecision SlotQueue::refuse(const QueuedRequest &request, ErrorKind kind) const
{
    const auto wait = std::max(shortestRetryAfter, this->expectedWait(request));
    return {request.entry, SlotDecision::Kind::Refuse, kind, wait};
}

SlotDecision SlotQueue::offer(const QueuedRequest &request, TimePoint now)
{
    if (now >= request.deadline) {
        return this->refuse(request, ErrorKind::DeadlineExpired);
    }
    if (this->runningCount < this->slotCount && this->queue.empty()) {
        ++this->runningCount;
        return {request.entry, SlotDecision::Kind::Run, ErrorKind::None, {}};
    }
    const auto finished = now + this->expectedWait(request) + this->meanRun();
    if (finished > std::min(request.target, request.deadline) || this->queue.size() >= longestQueue) {
        return this->refuse(request, ErrorKind::Overloaded);
    }
    const Key key {urgencyOf(request), this->nextSequence++};
    this->queue.emplace(key, request);
    this->keys.emplace(core::value(request.entry), key);
    return {request.entry, SlotDecision::Kind::Wait, ErrorKind::None, {}};
}

std::vector<SlotDecision> SlotQueue::finish(Duration runTime, TimePoint now)
{
    if (runTime.count() > 0) {
        const auto seconds = core::toSeconds(runTime);
        this->meanRunSeconds += this->meanRunSeconds > 0 ? runTimeWeight * (seconds - this->meanRunSeconds) : seconds;
    }
    this->runningCount = std::max(0, this->runningCount - 1);
    auto decisions = this->expire(now);
    while (this->runningCount < this->slotCount && !this->queue.empty()) {
        const auto first = this->queue.begin();
        decisions.push_back({first->second.entry, SlotDecision::Kind::Run, ErrorKind::None, {}});
        this->keys.erase(core::value(first->second.entry));
        this->queue.erase(first);
        ++this->runningCount;
    }
    return decisions;
}

std::vector<SlotDecision> SlotQueue::expire(TimePoint now)
{
    std::vector<SlotDecision> decisions;
    for (auto at = this->queue.begin(); at != this->queue.end();) {
        if (now + this->meanRun() < at->second.deadline) {
            ++at;
            continue;
        }
        const auto request = at->second;
        this->keys.erase(core::value(request.entry));
        at = this->queue.erase(at);
        decisions.push_back(this->refuse(request, ErrorKind::QueueTimeout));
    }
    return decisions;
}

bool SlotQueue::abandon(core::EntryId entry)
{
    const auto found = this->keys.find(core::value(entry));
    if (found == this->keys.end()) {
        return false;
    }
    this->queue.erase(found->second);
    this->keys.erase(found);
    return true;
}

std::vector<SlotDecision> SlotQueue::clear(ErrorKind refusal)
{
    std::vector<SlotDecision> decisions;
    decisions.reserve(this->queue.size());
    for (const auto &[key, request] : this->queue) {
        decisions.push_back({request.entry, SlotDecision::Kind::Refuse, refusal, shortestRetryAfter});
    }
    this->queue.clear();
    this->keys.clear();
    return decisions;
}

int SlotQueue::running() const noexcept
{
    return this->runningCount;
}

int SlotQueue::waiting() const noexcept
{
    return static_cast<int>(this->queue.size());
}

int SlotQueue::slots() const noexcept
{
    return this->slotCount;
}
} // namespace figpulley::gate
