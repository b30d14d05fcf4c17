#pragma once

#include "core/errorkind.h"
#include "core/ids.h"
#include "core/rank.h"
#include "core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace figpulley::gate
{
/// A request that asks for a slot of the endpoint.
struct QueuedRequest
{
    core::EntryId entry {};
    core::Rank rank; ///< of the root; larger is more urgent
    bool isNested = false; ///< made by an endpoint while it runs another request
    core::TimePoint arrived {};
    core::TimePoint target {}; ///< an answer after it has less worth
    core::TimePoint deadline {}; ///< an answer after it has none
};

/// How a run ended, as far as later ones are concerned.
struct FinishedRun
{
    bool isNested = false; ///< as it was queued
    core::Duration total {}; ///< zero if the end tells nothing, as after a failure
    core::Duration nested {}; ///< part of it that the run spent waiting for calls that it made
    core::Duration objective {}; ///< that it had when it began
};

/// What happens to one request.
struct SlotDecision
{
    enum class Kind : std::uint8_t {
        Run,
        Wait,
        Refuse,
    };

    core::EntryId entry {};
    Kind kind = Kind::Refuse;
    core::ErrorKind refusal = core::ErrorKind::None; ///< why it is refused
    core::Duration retryAfter {}; ///< when room is expected, for a refused request
};

/// Gives out the slots of one endpoint by the priority of the root. Within it nested calls come first, since a running request waits for
/// them, then roots that can still be answered within their objective, then late ones: a late answer is worth less, and takes the slot of
/// one that would be in time. Roots of a priority get a part of what nested calls of the same priority get, so that no route starves
/// behind chains that end here. A request that would have to wait for long is refused at once and never run.
///
/// Refused callers are asked to come back one after the other, at a rate that leaves most of the endpoint to new requests.
///
/// Two limits lie below the slots. A part of the slots stays free, since endpoints slow down when they are nearly full. And when runs
/// spend much of their objective waiting for calls that they make, a service behind this one is the bottleneck: then only as many roots
/// run as it lets through in time, and the others wait here, in the order of their rank, instead of holding slots all the way down.
class SlotQueue
{
public:
    /// @param slots requests that the endpoint processes at once
    void setSlots(int slots);

    /// A request asks to run.
    [[nodiscard]] SlotDecision offer(const QueuedRequest &request, core::TimePoint now);

    /// A running request has ended.
    /// @returns requests that run or are refused now
    [[nodiscard]] std::vector<SlotDecision> finish(const FinishedRun &run, core::TimePoint now);

    /// Refuses waiting requests that cannot be answered in time any more.
    [[nodiscard]] std::vector<SlotDecision> expire(core::TimePoint now);

    /// Removes a waiting request whose caller left.
    /// @returns whether it was waiting
    bool abandon(core::EntryId entry);

    /// Refuses all that wait.
    [[nodiscard]] std::vector<SlotDecision> clear(core::ErrorKind refusal);

    /// Moving average of the time that a request runs.
    [[nodiscard]] core::Duration meanRun() const noexcept;

    [[nodiscard]] int running() const noexcept;
    [[nodiscard]] int waiting() const noexcept;
    [[nodiscard]] int slots() const noexcept;

    /// Roots that may run at once.
    [[nodiscard]] int rootLimit() const noexcept;

    /// Time that a request of a priority would wait now.
    [[nodiscard]] core::Duration expectedWait(const QueuedRequest &request) const;

private:
    /// Requests of one kind and priority lately: how many asked and how many of them ran.
    struct Flow
    {
        double asked = 0;
        double ran = 0;
        core::TimePoint since {};

        void fade(core::TimePoint now);
        [[nodiscard]] double share() const noexcept;
    };

    struct Waiting
    {
        QueuedRequest request;
        core::TimePoint until {}; ///< when it is given up
    };

    struct Key
    {
        std::uint32_t urgency = 0; // smaller is served first
        std::uint64_t sequence = 0;

        [[nodiscard]] auto operator<=>(const Key &) const = default;
    };

    using Queue = std::map<Key, Waiting>;

    [[nodiscard]] SlotDecision refuse(const QueuedRequest &request, core::ErrorKind kind, core::TimePoint now);
    [[nodiscard]] core::Duration nextReturn(core::Duration wait, core::TimePoint now);
    [[nodiscard]] Key keyOf(const QueuedRequest &request, core::TimePoint now);
    [[nodiscard]] core::TimePoint waitsUntil(const QueuedRequest &request, core::TimePoint now) const;
    [[nodiscard]] Queue::iterator nextToRun(core::TimePoint now);
    [[nodiscard]] Flow &flowOf(const QueuedRequest &request, core::TimePoint now);
    [[nodiscard]] int usableSlots() const noexcept;
    [[nodiscard]] double rootPart(const QueuedRequest &request) const noexcept;
    [[nodiscard]] bool isLate(const QueuedRequest &request, core::TimePoint now) const noexcept;
    [[nodiscard]] bool canRun(const QueuedRequest &request) const noexcept;
    void start(const QueuedRequest &request, core::TimePoint now);
    void learn(const FinishedRun &run, core::TimePoint now);

    int slotCount = 1;
    int runningCount = 0;
    int runningRoots = 0;
    int rootsFinished = 0; // since rateSince
    core::TimePoint rateSince {};
    double rootsPerSecond = 0;
    double meanRootSelfSeconds = 0; // without nested calls
    double meanRootNestedSeconds = 0;
    double meanRootObjectiveSeconds = 0;
    std::uint64_t nextSequence = 0;
    double meanRunSeconds = 0;
    core::TimePoint latestReturn {}; // that a refused caller was asked to come back at
    Queue queue;
    std::unordered_map<std::uint64_t, Key> keys;
    std::array<Flow, 2UL * core::Rank::maximumLevels> flows; // by level: roots, nested calls
};
} // namespace figpulley::gate
