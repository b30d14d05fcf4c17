#pragma once

#include "net/eventloop.h"

#include <functional>

namespace figpulley::cli
{
/// Installs handlers that count SIGTERM and SIGINT, and ignores SIGPIPE.
void installSignalHandlers() noexcept;

/// @returns how often SIGTERM or SIGINT arrived since installSignalHandlers()
[[nodiscard]] int receivedStopSignals() noexcept;

/// Reports SIGTERM, SIGINT and SIGHUP on an event loop through a pipe, without polling. At most one instance may exist at
/// a time, because the signal handler writes to its pipe.
class SignalWatch
{
public:
    /// @param onStop receives how often SIGTERM or SIGINT arrived so far
    /// @param onReload called after a SIGHUP
    SignalWatch(net::EventLoop &loop, std::function<void(int)> onStop, std::function<void()> onReload);
    ~SignalWatch();
    SignalWatch(const SignalWatch &) = delete;
    SignalWatch &operator=(const SignalWatch &) = delete;

private:
    net::EventLoop &loop;
    int readDescriptor = -1;
};
} // namespace figpulley::cli
