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
constexpr double usedShare = 0.9; // of the slots: endpoints take up to a third longer when more than 19 of 20 slots are taken
constexpr int smallestShared = 10; // slots below which none is left free
constexpr double nestedShare = 0.35; // of the objective that runs may spend waiting for calls that they make
constexpr core::Duration rateInterval = 250ms; // over which finished roots are counted
constexpr double rateWeight = 0.4; // of the newest interval in the moving average
constexpr int smallestRootLimit = 4; // some roots always run, so that it is seen when the bottleneck is gone
constexpr double growth = 1.15; // room above what the bottleneck lets through, so that the limit can rise
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

int SlotQueue::usableSlots() const noexcept
{
    return this->slotCount < smallestShared ? this->slotCount : static_cast<int>(this->slotCount * usedShare);
}

// By Little's law, as many roots are in the runs as finish in the time that they may take.
int SlotQueue::rootLimit() const noexcept
{
    const auto allowed = nestedShare * this->meanRootObjectiveSeconds;
    if (this->meanRootNestedSeconds <= allowed || this->rootsPerSecond <= 0) {
        return this->usableSlots();
    }
    const auto inTime = growth * this->rootsPerSecond * (this->meanRootSelfSeconds + allowed);
    return std::clamp(static_cast<int>(inTime), smallestRootLimit, this->usableSlots());
}

bool SlotQueue::canRun(const QueuedRequest &request) const noexcept
{
    const bool hasSlot = this->runningCount < this->usableSlots();
    return hasSlot && (request.isNested || this->runningRoots < this->rootLimit());
}

void SlotQueue::start(const QueuedRequest &request) noexcept
{
    ++this->runningCount;
    this->runningRoots += request.isNested ? 0 : 1;
}

void SlotQueue::learn(const FinishedRun &run, TimePoint now)
{
    if (run.total.count() <= 0) {
        return;
    }
    const auto average = [](double &mean, double value) { mean += mean > 0 ? runTimeWeight * (value - mean) : value; };
    average(this->meanRunSeconds, core::toSeconds(run.total));
    if (run.isNested) {
        return;
    }
    const auto nested = std::min(run.nested, run.total);
    average(this->meanRootSelfSeconds, core::toSeconds(run.total - nested));
    average(this->meanRootNestedSeconds, core::toSeconds(nested));
    average(this->meanRootObjectiveSeconds, core::toSeconds(std::max(run.objective, run.total - nested)));
    ++this->rootsFinished;
    if (now - this->rateSince >= rateInterval) {
        const auto rate = this->rootsFinished / std::max(core::toSeconds(rateInterval), core::toSeconds(now - this->rateSince));
        this->rootsPerSecond += this->rootsPerSecond > 0 ? rateWeight * (rate - this->rootsPerSecond) : rate;
        this->rootsFinished = 0;
        this->rateSince = now;
    }
}

Duration SlotQueue::expectedWait(const QueuedRequest &request) const
{
    if (this->canRun(request) && this->queue.empty()) {
        return Duration {};
    }
    const auto urgency = urgencyOf(request);
    const auto ahead =
        std::count_if(this->queue.begin(), this->queue.end(), [urgency](const auto &item) { return item.first.urgency <= urgency; });
    const bool isBehindBottleneck = !request.isNested && this->rootLimit() < this->usableSlots();
    if (isBehindBottleneck) {
        return fromSeconds(static_cast<double>(ahead + 1) / this->rootsPerSecond);
    }
    return this->meanRun() * (ahead + 1) / this->usableSlots();
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
    const auto first = this->queue.begin();
    const bool isFirst = first == this->queue.end() || urgencyOf(request) < first->first.urgency || !this->canRun(first->second);
    if (isFirst && this->canRun(request)) {
        this->start(request);
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

std::vector<SlotDecision> SlotQueue::finish(const FinishedRun &run, TimePoint now)
{
    this->learn(run, now);
    this->runningCount = std::max(0, this->runningCount - 1);
    this->runningRoots = std::max(0, this->runningRoots - (run.isNested ? 0 : 1));
    auto decisions = this->expire(now);
    for (auto at = this->queue.begin(); at != this->queue.end() && this->runningCount < this->usableSlots();) {
        if (!this->canRun(at->second)) {
            ++at;
            continue;
        }
        decisions.push_back({at->second.entry, SlotDecision::Kind::Run, ErrorKind::None, {}});
        this->start(at->second);
        this->keys.erase(core::value(at->second.entry));
        at = this->queue.erase(at);
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
