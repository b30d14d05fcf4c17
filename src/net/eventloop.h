#pragma once

#include "core/time.h"

#include <functional>
#include <memory>

namespace figpulley::net
{
/// What has happened on a descriptor since it was last told.
struct Readiness
{
    bool isReadable = false;
    bool isWritable = false;
    bool isHungUp = false; ///< the peer has closed its end, or the connection has failed
};

/// One thread's loop: descriptors, timers on the monotonic clock, and work posted by other threads. Timers are kept by ACE.
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

    /// Runs a callback on the loop's thread; may be called from any thread.
    void post(Callback callback);

    /// Calls back once after a delay.
    TimerId after(core::Duration delay, Callback callback);

    /// Calls back repeatedly.
    TimerId every(core::Duration interval, Callback callback);

    /// Stops a timer; `noTimer` and expired timers are ignored.
    void cancel(TimerId timer);

    /// Calls back when a descriptor is readable or writable; a watch that exists keeps its callback and changes its events.
    /// @param onReady receives whether it is readable and whether it is writable
    void watch(int descriptor, bool isRead, bool isWrite, std::function<void(bool, bool)> onReady);

    /// Calls back once for each change of a descriptor; whoever is called reads and writes until the descriptor would block.
    /// Needs one call to the kernel for the life of a connection, where watch() needs one for each change of interest.
    void watchEdges(int descriptor, std::function<void(const Readiness &)> onChange);

    /// Ends the watch of a descriptor.
    void unwatch(int descriptor);

    /// Share of the time since the last call of this function that was spent in callbacks: 1 when the loop has no time to wait.
    [[nodiscard]] double takeBusyShare();

    /// Calls back at the end of each turn, after all ready descriptors were served.
    void onTurnEnd(Callback callback);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};
} // namespace figpulley::net
