#pragma once

#include "net/eventloop.h"

#include <functional>

namespace figpulley::cli
{
/// Counts SIGTERM and SIGINT, so that an event loop can look at them.
void watchSignals() noexcept;

/// Signals received since watchSignals().
[[nodiscard]] int signalsReceived() noexcept;

/// Calls back on an event loop for each SIGTERM and SIGINT, without polling. One at a time may exist.
class SignalWatch
{
public:
    /// @param onStop receives the number of signals so far
    SignalWatch(net::EventLoop &loop, std::function<void(int)> onStop);
    ~SignalWatch();
    SignalWatch(const SignalWatch &) = delete;
    SignalWatch &operator=(const SignalWatch &) = delete;

private:
    net::EventLoop &loop;
    int readEnd = -1;
};
} // namespace figpulley::cli
