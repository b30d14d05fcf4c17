#pragma once

#include "net/eventloop.h"

#include <functional>

namespace figpulley::cli
{
/// Installs handlers that count SIGTERM, SIGINT and SIGHUP, and ignores SIGPIPE. A process calls it first, so that no signal ends it while
/// it starts.
void installSignalHandlers() noexcept;

/// @returns how often SIGTERM or SIGINT arrived since installSignalHandlers()
[[nodiscard]] int receivedStopSignals() noexcept;

/// Reports SIGTERM, SIGINT and SIGHUP on an event loop through a pipe, without polling, also those that have arrived before. At most one
/// instance may exist at a time, because the signal handler writes to its pipe.
class SignalWatch
{
public:
    /// @param onStop called after SIGTERM or SIGINT, and after each further one; receives how often they arrived so far
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
