#pragma once

#include "net/eventloop.h"

#include <functional>

namespace figpulley::cli
{
/// Counts SIGTERM and SIGINT, so that an event loop can look at them.
void watchSignals() noexcept;

/// Signals received since watchSignals().
[[nodiscard]] int signalsReceived() noexcept;

/// Calls back on an event loop for SIGTERM, SIGINT and SIGHUP, without polling. One at a time may exist.
class SignalWatch
{
public:
    /// @param onStop receives the number of SIGTERM and SIGINT so far
    /// @param onReload called after SIGHUP
    SignalWatch(net::EventLoop &loop, std::function<void(int)> onStop, std::function<void()> onReload);
    ~SignalWatch();
    SignalWatch(const SignalWatch &) = delete;
    SignalWatch &operator=(const SignalWatch &) = delete;

private:
    net::EventLoop &loop;
    int readEnd = -1;
};
} // namespace figpulley::cli
