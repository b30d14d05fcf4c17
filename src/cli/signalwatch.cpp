#include "cli/signalwatch.h"

#include <atomic>
#include <csignal>

namespace figpulley::cli
{
namespace
{
std::atomic<int> received {0};

extern "C" void countSignal(int /*signal*/)
{
    received.fetch_add(1);
}
} // namespace

void watchSignals() noexcept
{
    std::signal(SIGTERM, &countSignal);
    std::signal(SIGINT, &countSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

int signalsReceived() noexcept
{
    return received.load();
}
} // namespace figpulley::cli
