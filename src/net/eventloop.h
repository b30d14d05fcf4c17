#pragma once

#include "core/time.h"

#include <functional>
#include <memory>

namespace figpulley::net
{
/// Changes on a descriptor since its last notification.
struct Readiness
{
    bool isReadable = false;
    bool isWritable = false;
    bool isHungUp = false; ///< the peer has closed its end, or the connection has failed
};

/// Event loop of one thread. It dispatches events of descriptors, timers on the monotonic clock, and callbacks posted by other threads.
/// ACE keeps the timers.
class EventLoop
{
public:
    using Callback = std::function<void()>;
    using TimerId = long;
    static constexpr TimerId noTimer = -1;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Dispatches events until stop() is called.
    void run();

    /// Ends run(); may be called from any thread.
    void stop();

    /// Queues a callback to run on the loop's thread; may be called from any thread.
    void post(Callback callback);

    /// Schedules a callback to run once after a delay.
    TimerId callAfter(core::Duration delay, Callback callback);

    /// Schedules a callback to run repeatedly.
    TimerId callEvery(core::Duration interval, Callback callback);

    /// Cancels a timer; `noTimer` and expired timers are ignored.
    void cancel(TimerId timer);

    /// Watches a descriptor, level-triggered. On a descriptor that is already watched, only the events change; the first callback stays.
    /// @param onReady receives whether the descriptor is readable and whether it is writable
    void watch(int descriptor, bool wantsRead, bool wantsWrite, std::function<void(bool, bool)> onReady);

    /// Watches a descriptor, edge-triggered: the callback runs once for each change and must read and write until the descriptor would
    /// block. It takes one system call in the lifetime of a connection, whereas watch() takes one for each change of the events.
    void watchEdgeTriggered(int descriptor, std::function<void(const Readiness &)> onChange);

    /// Stops watching a descriptor.
    void unwatch(int descriptor);

    /// Returns the fraction of time spent in callbacks since the last call of this function: 1 if the loop never waited for events.
    [[nodiscard]] double takeBusyFraction();

    /// Adds a callback that runs at the end of each iteration, after all ready descriptors were handled.
    void onIterationEnd(Callback callback);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};
} // namespace figpulley::net
