#include "cli/signalwatch.h"

#include <array>
#include <atomic>
#include <csignal>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace figpulley::cli
{
namespace
{
std::atomic<int> stopSignals {0};
std::atomic<int> pendingReloads {0};
std::atomic<int> wakeDescriptor {-1};

// Counts the signal and wakes the event loop of the SignalWatch, if there is one.
extern "C" void countSignal(int signal)
{
    (signal == SIGHUP ? pendingReloads : stopSignals).fetch_add(1);
    const int descriptor = wakeDescriptor.load();
    if (descriptor >= 0) {
        const char byte = 0;
        static_cast<void>(!write(descriptor, &byte, 1));
    }
}
} // namespace

void installSignalHandlers() noexcept
{
    std::signal(SIGTERM, &countSignal);
    std::signal(SIGINT, &countSignal);
    std::signal(SIGHUP, &countSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

int receivedStopSignals() noexcept
{
    return stopSignals.load();
}

SignalWatch::SignalWatch(net::EventLoop &loop, std::function<void(int)> onStop, std::function<void()> onReload)
    : loop(loop)
{
    std::array<int, 2> descriptors {};
    if (pipe2(descriptors.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create the pipe that reports signals to the event loop");
    }
    this->readDescriptor = descriptors[0];
    wakeDescriptor.store(descriptors[1]);
    installSignalHandlers();
    if (receivedStopSignals() > 0 || pendingReloads.load() > 0) {
        const char byte = 0;
        static_cast<void>(!write(descriptors[1], &byte, 1));
    }
    loop.watch(this->readDescriptor, true, false,
               [descriptor = this->readDescriptor, onStop = std::move(onStop), onReload = std::move(onReload),
                reportedStops = 0](bool, bool) mutable {
                   std::array<char, 16> drained {};
                   while (read(descriptor, drained.data(), drained.size()) > 0) { }
                   if (pendingReloads.exchange(0) > 0) {
                       onReload();
                   }
                   if (const int received = receivedStopSignals(); received > reportedStops) {
                       reportedStops = received;
                       onStop(received);
                   }
               });
}

SignalWatch::~SignalWatch()
{
    this->loop.unwatch(this->readDescriptor);
    close(wakeDescriptor.exchange(-1));
    close(this->readDescriptor);
}
} // namespace figpulley::cli
