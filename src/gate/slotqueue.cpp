#include "gate/slotqueue.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace figpulley::gate
{
namespace
{
using namespace std::chrono_literals;
using core::Duration;
using core::ErrorKind;
using core::TimePoint;

constexpr double runTimeSmoothing = 0.05; // weight of the newest run in the moving averages
// Endpoints take up to a third longer when more than 19 of 20 slots are taken, so a tenth of the slots stays free.
constexpr double usableSlotRatio = 0.9;
constexpr int minSlotsForReserve = 10; // with fewer slots all of them are used
// Fraction of the objective that runs may wait for nested calls; above it the number of running root calls is limited.
constexpr double maxNestedTimeRatio = 0.35;
constexpr core::Duration rootRateInterval = 250ms; // minimum interval over which the rate of finished root calls is measured
constexpr double rootRateSmoothing = 0.4; // weight of the newest interval in the moving average of the rate
constexpr int minRootLimit = 4; // some root calls always run, so that the end of a bottleneck is noticed
constexpr double rootLimitHeadroom = 1.15; // factor above the bottleneck's rate, so that the limit can rise
// Fraction of the time until its objective that a root call may wait here; the rest is left for its run and its nested calls.
constexpr double maxWaitRatio = 0.2;
constexpr double maxLateWaitRatio = 0.25; // fraction of the time until its deadline that a late root call may wait
// Mean run times that a root call may always wait, so that endpoints with few slots do not refuse calls that they can serve in time.
constexpr double minWaitInRuns = 1.5;
// Minimum fraction of root calls that are started, relative to the fraction of nested calls of the same priority. It only prevents
// starvation, since each root call that runs instead of a nested call can cause a whole chain to fail.
constexpr double minRootToNestedRatio = 0.2;
constexpr double shortQueueRatio = 0.1; // a queue is short if it takes less than this fraction of the time that a nested call has left
constexpr double retryRateRatio = 0.25; // rate at which refused callers retry, as a fraction of the rate of finished root calls
constexpr Duration countsHalfLife = 2s; // long compared with single runs, short compared with a surge of users
constexpr Duration defaultRunTime = 50ms; // used before the first run has ended
constexpr Duration minRetryAfter = 100ms; // an earlier retry would meet the same load
constexpr Duration maxRetryAfter = 2s; // about a third of the usual client timeout; clients do not wait longer than this
constexpr std::size_t maxQueueLength = 4096; // bounds memory; far more requests than can be served in time

constexpr std::uint32_t nestedPrecedence = 0;
constexpr std::uint32_t rootPrecedence = 1;
constexpr std::uint32_t latePrecedence = 2;
constexpr std::uint32_t precedencesPerLevel = 3;

std::uint32_t levelPrecedence(const QueuedRequest &request)
{
    return precedencesPerLevel * (core::Rank::maximumLevels - request.rank.level());
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}
} // namespace

void SlotQueue::AdmissionCounts::decay(TimePoint now)
{
    const auto factor = std::exp2(-static_cast<double>((now - this->updated).count()) / static_cast<double>(countsHalfLife.count()));
    this->offered *= factor;
    this->started *= factor;
    this->updated = now;
}

double SlotQueue::AdmissionCounts::startedRatio() const noexcept
{
    return this->offered > 0 ? this->started / this->offered : 1;
}

void SlotQueue::setSlots(int slots)
{
    this->slotCount = std::max(1, slots);
}

std::vector<SlotDecision> SlotQueue::setRateLimit(std::optional<double> perSecond, TimePoint now)
{
    this->rateLimiter.setLimit(perSecond, now);
    return this->startWaiting(now);
}

void SlotQueue::setProbeInterval(Duration interval) noexcept
{
    this->rateLimiter.setProbeInterval(interval);
}

std::optional<Duration> SlotQueue::timeUntilNextStart(TimePoint now) const
{
    const bool isWaitingForRate = !this->queue.empty() && this->rateLimiter.limit() && this->runningCount < this->usableSlots();
    return isWaitingForRate ? std::optional(this->rateLimiter.timeUntilAvailable(1, now)) : std::nullopt;
}

Duration SlotQueue::rateLimitDelay(TimePoint now) const noexcept
{
    return this->rateLimiter.timeUntilAvailable(static_cast<double>(this->queue.size() + 1), now);
}

double SlotQueue::rateLimitUtilization(TimePoint now) const noexcept
{
    return this->rateLimiter.utilization(now);
}

Duration SlotQueue::meanRunTime() const noexcept
{
    return this->meanRunTimeSeconds > 0 ? fromSeconds(this->meanRunTimeSeconds) : defaultRunTime;
}

int SlotQueue::usableSlots() const noexcept
{
    return this->slotCount < minSlotsForReserve ? this->slotCount : static_cast<int>(this->slotCount * usableSlotRatio);
}

// By Little's law, the number of running root calls is their completion rate multiplied by the time that each may take.
int SlotQueue::rootLimit() const noexcept
{
    const auto allowed = maxNestedTimeRatio * this->meanRootObjectiveSeconds;
    if (this->meanRootNestedSeconds <= allowed || this->rootsPerSecond <= 0) {
        return this->usableSlots();
    }
    const auto limit = rootLimitHeadroom * this->rootsPerSecond * (this->meanRootSelfSeconds + allowed);
    return std::clamp(static_cast<int>(limit), minRootLimit, this->usableSlots());
}

bool SlotQueue::canRun(const QueuedRequest &request, TimePoint now) const noexcept
{
    const bool hasSlot = this->runningCount < this->usableSlots();
    return hasSlot && this->rateLimiter.isAvailable(now) && (request.isNested || this->runningRoots < this->rootLimit());
}

SlotQueue::AdmissionCounts &SlotQueue::decayedCounts(const QueuedRequest &request, TimePoint now)
{
    const auto level = std::min(request.rank.level(), core::Rank::maximumLevels - 1);
    auto &counts = this->admissionCounts[2UL * level + (request.isNested ? 1 : 0)];
    counts.decay(now);
    return counts;
}

void SlotQueue::markStarted(const QueuedRequest &request, TimePoint now)
{
    this->rateLimiter.consume(now);
    this->decayedCounts(request, now).started += 1;
    ++this->runningCount;
    this->runningRoots += request.isNested ? 0 : 1;
}

void SlotQueue::recordRun(const FinishedRun &run, TimePoint now)
{
    if (run.runTime.count() <= 0) {
        return;
    }
    const auto average = [](double &mean, double value) { mean += mean > 0 ? runTimeSmoothing * (value - mean) : value; };
    average(this->meanRunTimeSeconds, core::toSeconds(run.runTime));
    if (run.isNested) {
        return;
    }
    const auto nested = std::min(run.nestedTime, run.runTime);
    average(this->meanRootSelfSeconds, core::toSeconds(run.runTime - nested));
    average(this->meanRootNestedSeconds, core::toSeconds(nested));
    average(this->meanRootObjectiveSeconds, core::toSeconds(std::max(run.objective, run.runTime - nested)));
    ++this->finishedRoots;
    if (now - this->rateIntervalStart >= rootRateInterval) {
        const auto rate = this->finishedRoots / std::max(core::toSeconds(rootRateInterval), core::toSeconds(now - this->rateIntervalStart));
        this->rootsPerSecond += this->rootsPerSecond > 0 ? rootRateSmoothing * (rate - this->rootsPerSecond) : rate;
        this->finishedRoots = 0;
        this->rateIntervalStart = now;
    }
}

bool SlotQueue::isLate(const QueuedRequest &request, TimePoint now) const noexcept
{
    return !request.isNested && now + this->meanRunTime() > request.target;
}

// A root call needs all of its nested calls, so if each of them was refused with the same probability, hardly any would complete. Nested
// calls of one priority are therefore served by the rank of their root, which is the same for all calls of a chain and on all nodes. While
// the queue is short, all of them can be served, and they are served in the order of their arrival.
SlotQueue::Key SlotQueue::makeKey(const QueuedRequest &request, TimePoint now) const
{
    const auto level = levelPrecedence(request);
    if (!request.isNested) {
        return {level + (this->isLate(request, now) ? latePrecedence : rootPrecedence), 0, this->nextSequence};
    }
    const auto queueTime = this->meanRunTime() * static_cast<std::int64_t>(this->queue.size()) / this->usableSlots();
    const bool isShort = queueTime < (request.deadline - now) * shortQueueRatio;
    return {level + nestedPrecedence, isShort ? 0 : core::Rank::end - request.rank.value(), this->nextSequence};
}

TimePoint SlotQueue::waitLimit(const QueuedRequest &request, TimePoint now) const
{
    if (request.isNested) {
        return request.deadline - this->meanRunTime();
    }
    const bool isLateCall = this->isLate(request, now);
    const auto end = isLateCall ? request.deadline : std::min(request.target, request.deadline);
    const auto maxWait = std::chrono::duration_cast<Duration>((end - now) * (isLateCall ? maxLateWaitRatio : maxWaitRatio));
    const auto minWait = std::chrono::duration_cast<Duration>(this->meanRunTime() * minWaitInRuns);
    return std::min(now + std::max(maxWait, minWait), end - this->meanRunTime());
}

Duration SlotQueue::expectedWait(const QueuedRequest &request, TimePoint now) const
{
    if (this->canRun(request, now) && this->queue.empty()) {
        return Duration {};
    }
    const auto level = levelPrecedence(request);
    const auto own = request.isNested ? this->makeKey(request, now) : Key {level + rootPrecedence, 0, this->nextSequence};
    std::int64_t ahead = 0;
    std::int64_t nestedAhead = 0; // nested calls of the same priority
    for (const auto &[key, waiting] : this->queue) {
        ahead += key < own ? 1 : 0;
        nestedAhead += key.precedence == level + nestedPrecedence ? 1 : 0;
    }
    return std::max(this->expectedSlotWait(request, ahead, nestedAhead), this->expectedRateWait(request, ahead, nestedAhead, now));
}

// Expected wait for a slot behind `ahead` requests, of which `nestedAhead` are nested calls of the same priority.
Duration SlotQueue::expectedSlotWait(const QueuedRequest &request, std::int64_t ahead, std::int64_t nestedAhead) const
{
    const bool hasSlot = this->runningCount + ahead < this->usableSlots();
    if (this->rateLimiter.limit() && hasSlot) {
        return Duration {}; // slots are free; the requests ahead wait for the rate limit
    }
    const bool isBehindBottleneck = !request.isNested && this->rootLimit() < this->usableSlots();
    if (isBehindBottleneck) {
        return fromSeconds(static_cast<double>(ahead + 1) / this->rootsPerSecond);
    }
    const auto wait = this->meanRunTime() * (ahead + 1) / this->usableSlots();
    const auto ratio = request.isNested ? 0 : this->minRootSlotRatio(request);
    if (ratio <= 0) {
        return wait;
    }
    const auto waitAtMinRatio =
        fromSeconds(core::toSeconds(this->meanRunTime()) * static_cast<double>(ahead - nestedAhead + 1) / (ratio * this->usableSlots()));
    return std::min(wait, waitAtMinRatio);
}

// Expected wait for the rate limit; 0 without one. Root calls get their minimum fraction of the rate as they do of the slots.
Duration SlotQueue::expectedRateWait(const QueuedRequest &request, std::int64_t ahead, std::int64_t nestedAhead, TimePoint now) const
{
    const auto wait = this->rateLimiter.timeUntilAvailable(static_cast<double>(ahead + 1), now);
    const auto ratio = request.isNested ? 0 : this->minRootSlotRatio(request);
    if (ratio <= 0) {
        return wait;
    }
    return std::min(wait, this->rateLimiter.timeUntilAvailable(static_cast<double>(ahead - nestedAhead + 1) / ratio, now));
}

// Returns the fraction of the slots that root calls of a priority get at least, however many nested calls of the priority are offered.
double SlotQueue::minRootSlotRatio(const QueuedRequest &request) const noexcept
{
    const auto level = std::min(request.rank.level(), core::Rank::maximumLevels - 1);
    const auto roots = this->admissionCounts[2UL * level].offered;
    const auto nested = this->admissionCounts[2UL * level + 1].offered;
    return roots > 0 ? minRootToNestedRatio * roots / (roots + nested) : 0;
}

// Staggers the retry times of refused callers, since callers that retry all at once would be refused again.
Duration SlotQueue::assignRetryAfter(Duration wait, TimePoint now)
{
    const auto rate = retryRateRatio * std::min(this->rootsPerSecond, this->rateLimiter.rate());
    const auto interval = rate > 0 ? fromSeconds(1 / rate) : Duration {};
    const auto earliest = now + std::max(minRetryAfter, wait);
    this->latestRetryAt = std::clamp(this->latestRetryAt + interval, earliest, std::max(earliest, now + maxRetryAfter));
    return this->latestRetryAt - now;
}

SlotDecision SlotQueue::makeRefusal(const QueuedRequest &request, ErrorKind kind, TimePoint now)
{
    const auto wait = this->expectedWait(request, now);
    return {request.entry, SlotDecision::Kind::Refuse, kind,
            request.isNested ? std::max(minRetryAfter, wait) : this->assignRetryAfter(wait, now)};
}

SlotDecision SlotQueue::offer(const QueuedRequest &request, TimePoint now)
{
    if (now >= request.deadline) {
        return this->makeRefusal(request, ErrorKind::DeadlineExpired, now);
    }
    this->decayedCounts(request, now).offered += 1;
    const auto key = this->makeKey(request, now);
    const auto first = this->queue.begin();
    const bool isFirst = first == this->queue.end() || key < first->first || !this->canRun(first->second.request, now);
    if (isFirst && this->canRun(request, now)) {
        this->markStarted(request, now);
        return {request.entry, SlotDecision::Kind::Run, ErrorKind::None, {}};
    }
    const auto until = this->waitLimit(request, now);
    if (now + this->expectedWait(request, now) > until || this->queue.size() >= maxQueueLength) {
        return this->makeRefusal(request, ErrorKind::Overloaded, now);
    }
    ++this->nextSequence;
    this->queue.emplace(key, Waiting {request, until});
    this->keys.emplace(core::value(request.entry), key);
    return {request.entry, SlotDecision::Kind::Wait, ErrorKind::None, {}};
}

// Returns the first request that can run. A root call precedes nested calls of its priority while the started ratio of root calls is
// below its minimum.
SlotQueue::Queue::iterator SlotQueue::findNextToRun(TimePoint now)
{
    const auto canRun = [this, now](const auto &item) { return this->canRun(item.second.request, now); };
    const auto first = std::find_if(this->queue.begin(), this->queue.end(), canRun);
    if (first == this->queue.end() || !first->second.request.isNested) {
        return first;
    }
    const Key firstRoot {levelPrecedence(first->second.request) + rootPrecedence, 0, 0};
    const auto root = this->queue.lower_bound(firstRoot);
    const bool hasRoot = root != this->queue.end() && root->first.precedence == firstRoot.precedence && canRun(*root);
    if (!hasRoot) {
        return first;
    }
    const auto nestedRatio = this->decayedCounts(first->second.request, now).startedRatio();
    return this->decayedCounts(root->second.request, now).startedRatio() < minRootToNestedRatio * nestedRatio ? root : first;
}

std::vector<SlotDecision> SlotQueue::finish(const FinishedRun &run, TimePoint now)
{
    this->recordRun(run, now);
    this->runningCount = std::max(0, this->runningCount - 1);
    this->runningRoots = std::max(0, this->runningRoots - (run.isNested ? 0 : 1));
    return this->startWaiting(now);
}

std::vector<SlotDecision> SlotQueue::startWaiting(TimePoint now)
{
    auto decisions = this->expire(now);
    while (this->runningCount < this->usableSlots()) {
        const auto at = this->findNextToRun(now);
        if (at == this->queue.end()) {
            break;
        }
        const auto request = at->second.request;
        decisions.push_back({request.entry, SlotDecision::Kind::Run, ErrorKind::None, {}});
        this->markStarted(request, now);
        this->keys.erase(core::value(request.entry));
        this->queue.erase(at);
    }
    return decisions;
}

std::vector<SlotDecision> SlotQueue::expire(TimePoint now)
{
    std::vector<SlotDecision> decisions;
    for (auto at = this->queue.begin(); at != this->queue.end();) {
        if (now < at->second.until) {
            ++at;
            continue;
        }
        const auto request = at->second.request;
        this->keys.erase(core::value(request.entry));
        at = this->queue.erase(at);
        decisions.push_back(this->makeRefusal(request, ErrorKind::QueueTimeout, now));
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

std::vector<SlotDecision> SlotQueue::refuseAll(ErrorKind refusal)
{
    std::vector<SlotDecision> decisions;
    decisions.reserve(this->queue.size());
    for (const auto &[key, waiting] : this->queue) {
        decisions.push_back({waiting.request.entry, SlotDecision::Kind::Refuse, refusal, minRetryAfter});
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
