#pragma once

namespace figpulley::cli
{
/// Counts SIGTERM and SIGINT, so that an event loop can look at them.
void watchSignals() noexcept;

/// Signals received since watchSignals().
[[nodiscard]] int signalsReceived() noexcept;
} // namespace figpulley::cli
