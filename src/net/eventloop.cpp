#include "net/eventloop.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <unordered_map>
#include <vector>

#include <ace/Event_Handler.h>
#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Null_Mutex.h>
#include <ace/Timer_Heap_T.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace figpulley::net
{
namespace
{
// Maximum number of events per epoll_wait; larger batches only delay the timers.
constexpr int maxEventsPerWait = 128;
constexpr std::int64_t microsecondsPerSecond = 1'000'000;
constexpr int infiniteTimeout = -1;

using TimerHeap = ACE_Timer_Heap_T<ACE_Event_Handler *, ACE_Event_Handler_Handle_Timeout_Upcall, ACE_Null_Mutex, ACE_Monotonic_Time_Policy>;

ACE_Time_Value toAce(core::Duration duration)
{
    return ACE_Time_Value(static_cast<time_t>(duration.count() / microsecondsPerSecond),
                          static_cast<suseconds_t>(duration.count() % microsecondsPerSecond));
}
} // namespace

// Uses epoll directly instead of an ACE reactor. ACE's reactors fetch one event per system call, change the registration of the
// descriptor twice around each callback, and truncate the wait to whole milliseconds, so that they spin before each timer. This loop
// fetches events in batches and rounds the wait up. The timers are ACE's and use the monotonic clock, since the time of day may jump.
class EventLoop::Implementation
{
public:
    using ReadyCallback = std::function<void(const Readiness &)>;

    struct Watch
    {
        std::shared_ptr<const ReadyCallback> onReady;
        std::uint32_t events = 0;
        std::uint32_t generation = 0; // distinguishes events of an earlier watch of the same descriptor number
    };

    class TimerHandler : public ACE_Event_Handler
    {
    public:
        TimerHandler(Implementation &owner, Callback callback, bool isRepeated)
            : owner(owner)
            , callback(std::move(callback))
            , isRepeated(isRepeated)
        {
        }
        int handle_timeout(const ACE_Time_Value & /*now*/, const void * /*argument*/) override
        {
            if (this->isRepeated) {
                this->callback();
                return 0;
            }
            // Removes this timer first, because the callback may schedule further timers.
            const auto expired = this->owner.removeTimer(this->id);
            expired->callback();
            this->owner.deferDestruction(expired);
            return 0;
        }
        Implementation &owner;
        Callback callback;
        bool isRepeated;
        long id = noTimer;
    };

    Implementation()
        : epollDescriptor(epoll_create1(EPOLL_CLOEXEC))
        , wakeDescriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
        if (this->epollDescriptor < 0 || this->wakeDescriptor < 0) {
            throw std::runtime_error("cannot create the epoll and wake-up descriptors of an event loop");
        }
        epoll_event event {};
        event.events = EPOLLIN;
        event.data.u64 = this->makeEventKey(this->wakeDescriptor, 0);
        epoll_ctl(this->epollDescriptor, EPOLL_CTL_ADD, this->wakeDescriptor, &event);
    }

    ~Implementation()
    {
        close(this->wakeDescriptor);
        close(this->epollDescriptor);
    }

    Implementation(const Implementation &) = delete;
    Implementation &operator=(const Implementation &) = delete;

    [[nodiscard]] static std::uint64_t makeEventKey(int descriptor, std::uint32_t generation) noexcept
    {
        return (static_cast<std::uint64_t>(generation) << 32U) | static_cast<std::uint32_t>(descriptor);
    }

    void run()
    {
        this->loopThread.store(std::this_thread::get_id());
        while (!this->isStopped.load()) {
            this->runIteration();
        }
        this->runPosted();
        this->loopThread.store(std::thread::id());
    }

    void runIteration()
    {
        std::array<epoll_event, maxEventsPerWait> events;
        const int wait = this->waitTimeoutMs();
        const auto before = core::steadyNow();
        const int count = epoll_wait(this->epollDescriptor, events.data(), maxEventsPerWait, wait);
        this->idleTime += core::steadyNow() - before;
        for (int index = 0; index < count; ++index) {
            this->dispatch(events[static_cast<std::size_t>(index)]);
        }
        this->timerHeap.expire();
        this->runPosted();
        for (const auto &callback : this->iterationEndCallbacks) {
            callback();
        }
        this->retiredTimers.clear();
    }

    // Returns the timeout for epoll_wait. It is rounded up, so that the loop does not spin in the last millisecond before a timer.
    [[nodiscard]] int waitTimeoutMs()
    {
        {
            const std::lock_guard lock(this->mutex);
            if (!this->posted.empty()) {
                return 0;
            }
        }
        if (this->timerHeap.is_empty()) {
            return infiniteTimeout;
        }
        const auto remaining = this->timerHeap.earliest_time() - this->timerHeap.gettimeofday();
        if (remaining <= ACE_Time_Value::zero) {
            return 0;
        }
        return static_cast<int>(remaining.sec() * 1000 + (remaining.usec() + 999) / 1000);
    }

    void dispatch(const epoll_event &event)
    {
        const auto descriptor = static_cast<int>(static_cast<std::uint32_t>(event.data.u64));
        if (descriptor == this->wakeDescriptor) {
            std::uint64_t drained = 0;
            static_cast<void>(read(this->wakeDescriptor, &drained, sizeof drained));
            return;
        }
        const auto found = this->watches.find(descriptor);
        const bool isCurrent =
            found != this->watches.end() && found->second.onReady && event.data.u64 == makeEventKey(descriptor, found->second.generation);
        if (!isCurrent) {
            return;
        }
        // Keeps the callback alive, because it may end its own watch.
        const auto callback = found->second.onReady;
        const bool isBroken = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
        const auto watchedEvents = found->second.events;
        (*callback)({
            .isReadable = (event.events & EPOLLIN) != 0 || (isBroken && (watchedEvents & EPOLLIN) != 0),
            .isWritable = (event.events & EPOLLOUT) != 0 || (isBroken && (watchedEvents & EPOLLOUT) != 0),
            .isHungUp = isBroken || (event.events & EPOLLRDHUP) != 0,
        });
    }

    void runPosted()
    {
        std::vector<Callback> callbacks;
        {
            const std::lock_guard lock(this->mutex);
            callbacks.swap(this->posted);
        }
        for (const auto &callback : callbacks) {
            callback();
        }
    }

    void wakeUp() const
    {
        if (this->loopThread.load() == std::this_thread::get_id()) {
            return;
        }
        const std::uint64_t increment = 1;
        static_cast<void>(write(this->wakeDescriptor, &increment, sizeof increment));
    }

    TimerId schedule(core::Duration delay, core::Duration interval, Callback callback)
    {
        auto timer = std::make_shared<TimerHandler>(*this, std::move(callback), interval.count() > 0);
        timer->reference_counting_policy().value(ACE_Event_Handler::Reference_Counting_Policy::DISABLED);
        timer->id = this->timerHeap.schedule(timer.get(), nullptr, this->timerHeap.gettimeofday() + toAce(delay), toAce(interval));
        this->timers.emplace(timer->id, timer);
        return timer->id;
    }

    std::shared_ptr<TimerHandler> removeTimer(TimerId id)
    {
        const auto found = this->timers.find(id);
        auto timer = found->second;
        this->timers.erase(found);
        return timer;
    }

    void deferDestruction(std::shared_ptr<TimerHandler> timer)
    {
        this->retiredTimers.push_back(std::move(timer));
    }

    void registerEvents(int descriptor, Watch &watch, std::uint32_t events)
    {
        epoll_event event {};
        event.events = events;
        event.data.u64 = makeEventKey(descriptor, watch.generation);
        // libcurl may close a socket before it ends the watch, so the descriptor may or may not be registered with epoll.
        if (epoll_ctl(this->epollDescriptor, EPOLL_CTL_ADD, descriptor, &event) != 0) {
            epoll_ctl(this->epollDescriptor, EPOLL_CTL_MOD, descriptor, &event);
        }
        watch.events = events;
    }

    int epollDescriptor;
    int wakeDescriptor;
    core::Duration idleTime {}; // time spent waiting for events since measuredSince
    core::TimePoint measuredSince = core::steadyNow();
    std::atomic<bool> isStopped {false};
    std::atomic<std::thread::id> loopThread;
    std::mutex mutex;
    std::vector<Callback> posted;
    std::vector<Callback> iterationEndCallbacks;
    std::unordered_map<int, Watch> watches;
    std::unordered_map<long, std::shared_ptr<TimerHandler>> timers;
    // Timers that are destroyed at the end of the iteration, since the callback of one may still be running.
    std::vector<std::shared_ptr<TimerHandler>> retiredTimers;
    TimerHeap timerHeap; // declared last: it is destroyed before the handlers that it points to
};

EventLoop::EventLoop()
    : implementation(std::make_unique<Implementation>())
{
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    this->implementation->run();
}

void EventLoop::stop()
{
    this->implementation->isStopped.store(true);
    this->implementation->wakeUp();
}

void EventLoop::post(Callback callback)
{
    {
        const std::lock_guard lock(this->implementation->mutex);
        this->implementation->posted.push_back(std::move(callback));
    }
    this->implementation->wakeUp();
}

EventLoop::TimerId EventLoop::callAfter(core::Duration delay, Callback callback)
{
    return this->implementation->schedule(delay, core::Duration {}, std::move(callback));
}

EventLoop::TimerId EventLoop::callEvery(core::Duration interval, Callback callback)
{
    return this->implementation->schedule(interval, interval, std::move(callback));
}

void EventLoop::cancel(TimerId timer)
{
    auto &self = *this->implementation;
    if (!self.timers.contains(timer)) {
        return;
    }
    self.timerHeap.cancel(timer);
    self.deferDestruction(self.removeTimer(timer));
}

void EventLoop::watch(int descriptor, bool wantsRead, bool wantsWrite, std::function<void(bool, bool)> onReady)
{
    auto &self = *this->implementation;
    const std::uint32_t events =
        (wantsRead ? static_cast<std::uint32_t>(EPOLLIN) : 0U) | (wantsWrite ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
    auto &watch = self.watches[descriptor];
    if (!watch.onReady) {
        ++watch.generation;
        watch.onReady = std::make_shared<const Implementation::ReadyCallback>(
            [onReady = std::move(onReady)](const Readiness &readiness) { onReady(readiness.isReadable, readiness.isWritable); });
        self.registerEvents(descriptor, watch, events);
    } else if (watch.events != events) {
        self.registerEvents(descriptor, watch, events);
    }
}

void EventLoop::watchEdgeTriggered(int descriptor, std::function<void(const Readiness &)> onChange)
{
    auto &self = *this->implementation;
    auto &watch = self.watches[descriptor];
    ++watch.generation;
    watch.onReady = std::make_shared<const Implementation::ReadyCallback>(std::move(onChange));
    self.registerEvents(descriptor, watch, EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET);
}

void EventLoop::unwatch(int descriptor)
{
    auto &self = *this->implementation;
    const auto found = self.watches.find(descriptor);
    if (found == self.watches.end() || !found->second.onReady) {
        return;
    }
    found->second.onReady.reset();
    found->second.events = 0;
    epoll_event unused {};
    epoll_ctl(self.epollDescriptor, EPOLL_CTL_DEL, descriptor, &unused);
}

double EventLoop::takeBusyFraction()
{
    auto &self = *this->implementation;
    const auto now = core::steadyNow();
    const auto elapsed = core::toSeconds(now - self.measuredSince);
    const auto idle = core::toSeconds(self.idleTime);
    self.measuredSince = now;
    self.idleTime = {};
    return elapsed > 0 ? std::clamp(1 - idle / elapsed, 0.0, 1.0) : 0;
}

void EventLoop::onIterationEnd(Callback callback)
{
    this->implementation->iterationEndCallbacks.push_back(std::move(callback));
}
} // namespace figpulley::net
