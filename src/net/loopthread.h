#pragma once

#include "net/eventloop.h"

#include <future>
#include <thread>

namespace figpulley::net
{
/// An event loop that runs on its own thread.
class LoopThread
{
public:
    LoopThread()
        : thread([this] { this->eventLoop.run(); })
    {
    }

    ~LoopThread()
    {
        this->stop();
    }

    LoopThread(const LoopThread &) = delete;
    LoopThread &operator=(const LoopThread &) = delete;

    [[nodiscard]] EventLoop &loop() noexcept
    {
        return this->eventLoop;
    }

    /// Runs a function on the loop's thread and waits for its result.
    template<class Function>
    auto call(Function function) -> decltype(function())
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        this->eventLoop.post([&task] { task(); });
        return result.get();
    }

    /// Stops the loop and joins the thread.
    void stop()
    {
        if (this->thread.joinable()) {
            this->eventLoop.stop();
            this->thread.join();
        }
    }

private:
    EventLoop eventLoop;
    std::thread thread;
};
} // namespace figpulley::net
