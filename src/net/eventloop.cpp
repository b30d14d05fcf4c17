#include "net/eventloop.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <unordered_map>
#include <vector>

#include <ace/ACE.h>
#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Thread.h>

namespace figpulley::net
{
namespace
{
constexpr int mostDescriptors = 65536; // of one process that a loop can watch; the table is allocated at once
constexpr long longestWaitMs = 100;

// ACE refuses a table larger than the process's limit of open files.
std::size_t descriptorTableSize()
{
    return static_cast<std::size_t>(std::min(ACE::max_handles(), mostDescriptors));
}

ACE_Time_Value toAce(core::Duration duration)
{
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    return ACE_Time_Value(static_cast<time_t>(duration.count() / microsecondsPerSecond),
                          static_cast<suseconds_t>(duration.count() % microsecondsPerSecond));
}
} // namespace

class EventLoop::Implementation
{
public:
    using ReadyCallback = std::function<void(bool, bool)>;

    // One handler serves a descriptor's number for the life of the loop. libcurl may close a socket before it ends the watch;
    // the reactor then cannot remove the handler, and would be left with a pointer to it.
    class DescriptorHandler : public ACE_Event_Handler
    {
    public:
        explicit DescriptorHandler(int descriptor)
            : descriptor(descriptor)
        {
        }
        [[nodiscard]] ACE_HANDLE get_handle() const override
        {
            return this->descriptor;
        }
        int handle_input(ACE_HANDLE /*handle*/) override
        {
            this->notify(true, false);
            return 0;
        }
        int handle_output(ACE_HANDLE /*handle*/) override
        {
            this->notify(false, true);
            return 0;
        }
        void notify(bool isReadable, bool isWritable) const
        {
            // The callback may end its own watch.
            if (const auto callback = this->onReady) {
                (*callback)(isReadable, isWritable);
            }
        }
        int descriptor;
        std::shared_ptr<const ReadyCallback> onReady; // null while the descriptor is not watched
        bool isStale = false; // the reactor still has the handler of a descriptor that was closed
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
            // The callback may schedule further timers, so this one is forgotten first.
            const auto expired = this->owner.takeTimer(this->id);
            expired->callback();
            this->owner.bury(expired);
            return 0;
        }
        Implementation &owner;
        Callback callback;
        bool isRepeated;
        long id = noTimer;
    };

    class Wakeup : public ACE_Event_Handler
    {
    public:
        int handle_exception(ACE_HANDLE /*handle*/) override
        {
            return 0;
        }
    };

    Implementation()
        : reactor(new ACE_Dev_Poll_Reactor(descriptorTableSize()), true)
    {
    }

    void run()
    {
        this->reactor.owner(ACE_Thread::self());
        while (!this->isStopped.load()) {
            ACE_Time_Value wait(0, longestWaitMs * 1000);
            this->reactor.handle_events(wait);
            this->runPosted();
            for (const auto &callback : this->turnEnd) {
                callback();
            }
            this->timerGraveyard.clear();
        }
        this->runPosted();
    }

    void runPosted()
    {
        std::vector<Callback> work;
        {
            const std::lock_guard lock(this->mutex);
            work.swap(this->posted);
        }
        for (const auto &callback : work) {
            callback();
        }
    }

    TimerId schedule(core::Duration delay, core::Duration interval, Callback callback)
    {
        auto timer = std::make_shared<TimerHandler>(*this, std::move(callback), interval.count() > 0);
        timer->reference_counting_policy().value(ACE_Event_Handler::Reference_Counting_Policy::DISABLED);
        timer->id = this->reactor.schedule_timer(timer.get(), nullptr, toAce(delay), toAce(interval));
        this->timers.emplace(timer->id, timer);
        return timer->id;
    }

    std::shared_ptr<TimerHandler> takeTimer(TimerId id)
    {
        const auto found = this->timers.find(id);
        auto timer = found->second;
        this->timers.erase(found);
        return timer;
    }

    void bury(std::shared_ptr<TimerHandler> timer)
    {
        this->timerGraveyard.push_back(std::move(timer));
    }

    Wakeup wakeup;
    std::atomic<bool> isStopped {false};
    std::mutex mutex;
    std::vector<Callback> posted;
    std::vector<Callback> turnEnd;
    std::unordered_map<int, std::unique_ptr<DescriptorHandler>> descriptors;
    std::unordered_map<long, std::shared_ptr<TimerHandler>> timers;
    std::vector<std::shared_ptr<TimerHandler>> timerGraveyard;
    ACE_Reactor reactor; // the last member, so that it goes before the handlers that it points to
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
    this->implementation->reactor.notify(&this->implementation->wakeup);
}

void EventLoop::post(Callback callback)
{
    {
        const std::lock_guard lock(this->implementation->mutex);
        this->implementation->posted.push_back(std::move(callback));
    }
    this->implementation->reactor.notify(&this->implementation->wakeup);
}

EventLoop::TimerId EventLoop::after(core::Duration delay, Callback callback)
{
    return this->implementation->schedule(delay, core::Duration {}, std::move(callback));
}

EventLoop::TimerId EventLoop::every(core::Duration interval, Callback callback)
{
    return this->implementation->schedule(interval, interval, std::move(callback));
}

void EventLoop::cancel(TimerId timer)
{
    auto &self = *this->implementation;
    if (!self.timers.contains(timer)) {
        return;
    }
    self.reactor.cancel_timer(timer);
    self.bury(self.takeTimer(timer));
}

void EventLoop::watch(int descriptor, bool isRead, bool isWrite, std::function<void(bool, bool)> onReady)
{
    auto &self = *this->implementation;
    ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
    if (isRead) {
        mask |= ACE_Event_Handler::READ_MASK;
    }
    if (isWrite) {
        mask |= ACE_Event_Handler::WRITE_MASK;
    }
    auto &handler = self.descriptors[descriptor];
    if (!handler) {
        handler = std::make_unique<Implementation::DescriptorHandler>(descriptor);
    }
    const bool isWatched = handler->onReady != nullptr;
    if (!isWatched) {
        handler->onReady = std::make_shared<const Implementation::ReadyCallback>(std::move(onReady));
        self.reactor.register_handler(handler.get(), mask);
    }
    if (isWatched || handler->isStale) {
        self.reactor.mask_ops(handler.get(), mask, ACE_Reactor::SET_MASK);
    }
    handler->isStale = false;
}

void EventLoop::unwatch(int descriptor)
{
    auto &self = *this->implementation;
    const auto found = self.descriptors.find(descriptor);
    if (found == self.descriptors.end() || !found->second->onReady) {
        return;
    }
    auto &handler = *found->second;
    handler.onReady.reset();
    handler.isStale = self.reactor.remove_handler(&handler, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL) == -1;
}

void EventLoop::onTurnEnd(Callback callback)
{
    this->implementation->turnEnd.push_back(std::move(callback));
}
} // namespace figpulley::net
