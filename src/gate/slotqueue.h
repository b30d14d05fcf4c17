#pragma once

#include "core/errorkind.h"
#include "core/ids.h"
#include "core/rank.h"
#include "core/time.h"
#include "gate/ratelimiter.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace figpulley::gate
{
/// A request that needs a slot of the endpoint.
struct QueuedRequest
{
    core::EntryId entry {};
    core::Rank rank; ///< rank of the root call; larger ranks are served first
    bool isNested = false; ///< made by an upstream while it runs another call
    core::TimePoint arrived {};
    core::TimePoint target {}; ///< end of the latency objective; a later response is worth less
    core::TimePoint deadline {}; ///< a later response is worth nothing
};

/// Measurements of an ended run that the admission of later requests depends on.
struct FinishedRun
{
    bool isNested = false; ///< same value as in the QueuedRequest
    core::Duration runTime {}; ///< run time; zero if it is not a valid sample, for example after a failure
    core::Duration nestedTime {}; ///< part of `runTime` that the run waited for its nested calls
    core::Duration objective {}; ///< time that was left until the target when the request arrived
};

/// Admission decision for one request.
struct SlotDecision
{
    enum class Kind : std::uint8_t {
        Run,
        Wait,
        Refuse,
    };

    core::EntryId entry {};
    Kind kind = Kind::Refuse;
    core::ErrorKind refusal = core::ErrorKind::None; ///< reason of a refusal
    core::Duration retryAfter {}; ///< for a refused request: time after which the caller may retry
};

/// Assigns the slots of one endpoint to requests by the priority of their root call. Within a priority, nested calls come first, since a
/// running request waits for them. They are followed by root calls that can still meet their objective, then by late ones: a late response
/// is worth less, and its run takes the slot of a call that would be in time. The fraction of root calls that are started has a minimum
/// relative to that of nested calls of the same priority, so that chains that end at this endpoint do not starve a route. A request whose
/// expected wait is too long is refused at once and never runs.
///
/// Refused callers get staggered retry times, at a rate that leaves most of the endpoint's capacity to new requests.
///
/// Two limits apply below the number of slots. A fraction of the slots stays free, since endpoints slow down when they are nearly full.
/// When runs spend much of their objective waiting for nested calls, a service further down the chain is the bottleneck: then only as many
/// root calls run as that service completes in time. The others wait here in rank order, so that they hold no slots along the chain.
///
/// While the endpoint states a rate limit, requests also start at no higher rate than that. They wait and are refused as for slots.
class SlotQueue
{
public:
    /// Sets the number of requests that the endpoint processes concurrently, at least 1.
    void setSlots(int slots);

    /// Sets the rate limit of the endpoint in requests per second; nothing for no limit.
    /// @returns decisions on waiting requests that now run
    [[nodiscard]] std::vector<SlotDecision> setRateLimit(std::optional<double> perSecond, core::TimePoint now);

    /// Sets the interval at which requests start even if the rate limit allows fewer.
    void setProbeInterval(core::Duration interval) noexcept;

    /// Decides whether a new request runs, waits or is refused.
    [[nodiscard]] SlotDecision offer(const QueuedRequest &request, core::TimePoint now);

    /// Records the end of a running request.
    /// @returns decisions on waiting requests that now run or are refused
    [[nodiscard]] std::vector<SlotDecision> finish(const FinishedRun &run, core::TimePoint now);

    /// Refuses waiting requests whose wait limit has passed.
    [[nodiscard]] std::vector<SlotDecision> expire(core::TimePoint now);

    /// Starts waiting requests as far as slots and the rate limit allow.
    /// @returns decisions on waiting requests that now run or are refused
    [[nodiscard]] std::vector<SlotDecision> startWaiting(core::TimePoint now);

    /// Time until the rate limit allows the next waiting request to start; nothing if no request waits for it.
    [[nodiscard]] std::optional<core::Duration> timeUntilNextStart(core::TimePoint now) const;

    /// Time until the rate limit would allow a further request to start, after those that wait; 0 without a limit.
    [[nodiscard]] core::Duration rateLimitDelay(core::TimePoint now) const noexcept;

    /// Recent rate of requests relative to the rate limit; 0 without a limit.
    [[nodiscard]] double rateLimitUtilization(core::TimePoint now) const noexcept;

    /// Removes a waiting request whose caller has disconnected.
    /// @returns whether the request was waiting
    bool abandon(core::EntryId entry);

    /// Refuses all waiting requests.
    [[nodiscard]] std::vector<SlotDecision> refuseAll(core::ErrorKind refusal);

    /// Moving average of the run time of requests; a default before the first run has ended.
    [[nodiscard]] core::Duration meanRunTime() const noexcept;

    [[nodiscard]] int running() const noexcept;
    [[nodiscard]] int waiting() const noexcept;
    [[nodiscard]] int slots() const noexcept;

    /// Maximum number of root calls that run concurrently.
    [[nodiscard]] int rootLimit() const noexcept;

    /// Estimates how long a request would wait if it arrived now.
    [[nodiscard]] core::Duration expectedWait(const QueuedRequest &request, core::TimePoint now) const;

private:
    /// Exponentially decayed counts of offered and started requests of one kind and priority.
    struct AdmissionCounts
    {
        double offered = 0;
        double started = 0;
        core::TimePoint updated {};

        void decay(core::TimePoint now);
        [[nodiscard]] double startedRatio() const noexcept;
    };

    struct Waiting
    {
        QueuedRequest request;
        core::TimePoint until {}; ///< time at which the request is refused
    };

    struct Key
    {
        std::uint32_t precedence = 0; // smaller values are served first
        std::uint32_t order = 0; // order of nested calls of one precedence
        std::uint64_t sequence = 0;

        [[nodiscard]] auto operator<=>(const Key &) const = default;
    };

    using Queue = std::map<Key, Waiting>;

    [[nodiscard]] SlotDecision makeRefusal(const QueuedRequest &request, core::ErrorKind kind, core::TimePoint now);
    [[nodiscard]] core::Duration assignRetryAfter(core::Duration wait, core::TimePoint now);
    [[nodiscard]] Key makeKey(const QueuedRequest &request, core::TimePoint now) const;
    [[nodiscard]] core::TimePoint waitLimit(const QueuedRequest &request, core::TimePoint now) const;
    [[nodiscard]] Queue::iterator findNextToRun(core::TimePoint now);
    [[nodiscard]] AdmissionCounts &decayedCounts(const QueuedRequest &request, core::TimePoint now);
    [[nodiscard]] int usableSlots() const noexcept;
    [[nodiscard]] double minRootSlotRatio(const QueuedRequest &request) const noexcept;
    [[nodiscard]] bool isLate(const QueuedRequest &request, core::TimePoint now) const noexcept;
    [[nodiscard]] bool canRun(const QueuedRequest &request, core::TimePoint now) const noexcept;
    [[nodiscard]] core::Duration expectedSlotWait(const QueuedRequest &request, std::int64_t ahead, std::int64_t nestedAhead) const;
    [[nodiscard]] core::Duration expectedRateWait(const QueuedRequest &request, std::int64_t ahead, std::int64_t nestedAhead,
                                                  core::TimePoint now) const;
    void markStarted(const QueuedRequest &request, core::TimePoint now);
    void recordRun(const FinishedRun &run, core::TimePoint now);

    RateLimiter rateLimiter;
    int slotCount = 1;
    int runningCount = 0;
    int runningRoots = 0;
    int finishedRoots = 0; // root calls finished since rateIntervalStart
    core::TimePoint rateIntervalStart {};
    double rootsPerSecond = 0;
    double meanRootSelfSeconds = 0; // run time without the time spent in nested calls
    double meanRootNestedSeconds = 0;
    double meanRootObjectiveSeconds = 0;
    std::uint64_t nextSequence = 0;
    double meanRunTimeSeconds = 0;
    core::TimePoint latestRetryAt {}; // latest retry time that was assigned to a refused caller
    Queue queue;
    std::unordered_map<std::uint64_t, Key> keys;
    std::array<AdmissionCounts, 2UL * core::Rank::maximumLevels> admissionCounts; // two entries per level: root calls, nested calls
};
} // namespace figpulley::gate
