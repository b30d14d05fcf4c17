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
std::atomic<int> received {0};
std::atomic<int> reloads {0};
std::atomic<int> wakeEnd {-1};

extern "C" void countSignal(int signal)
{
    (signal == SIGHUP ? reloads : received).fetch_add(1);
    const int descriptor = wakeEnd.load();
    if (descriptor >= 0) {
        const char byte = 0;
        static_cast<void>(!write(descriptor, &byte, 1));
    }
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

SignalWatch::SignalWatch(net::EventLoop &loop, std::function<void(int)> onStop, std::function<void()> onReload)
    : loop(loop)
{
    std::array<int, 2> ends {};
    if (pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
        throw std::runtime_error("cannot create a pipe for signals");
    }
    this->readEnd = ends[0];
    wakeEnd.store(ends[1]);
    watchSignals();
    std::signal(SIGHUP, &countSignal);
    loop.watch(this->readEnd, true, false, [end = this->readEnd, onStop = std::move(onStop), onReload = std::move(onReload)](bool, bool) {
        std::array<char, 16> drained {};
        while (read(end, drained.data(), drained.size()) > 0) { }
        if (reloads.exchange(0) > 0) {
            onReload();
        }
        if (signalsReceived() > 0) {
            onStop(signalsReceived());
        }
    });
}

SignalWatch::~SignalWatch()
{
    this->loop.unwatch(this->readEnd);
    close(wakeEnd.exchange(-1));
    close(this->readEnd);
}
} // namespace figpulley::cli
