#pragma once

#include "core/time.h"
#include "support/meshtestbed.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include <ace/Process.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

namespace figpulley::tests
{
/// Addresses and service of one VM whose node runs as a process of its own.
struct ProcessVm
{
    std::string name;
    std::string service;
    net::Address upstream;
    net::Address entrance {};
    net::Address ingress {};
    net::Address control {};
    net::Address readiness {};
    net::Address metrics {};
};

/// Returns a loopback IP address that no other node process uses. On 127.0.0.1 an outgoing connection of any process may take a port
/// between its choice and the start of the node.
[[nodiscard]] inline std::string ownLoopbackIp()
{
    static std::atomic<int> count = 0;
    const auto process = static_cast<unsigned>(getpid());
    return fmt::format("127.{}.{}.{}", 64U + (process >> 8U) % 64U, process % 256U, 1 + count++ % 254);
}

/// A `figpulley mesh` process with its settings and its log in a temporary folder.
class NodeProcess
{
public:
    NodeProcess(ProcessVm vm, const net::Address &store, int graceSeconds)
        : settings(std::move(vm))
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "figpulley-node-XXXXXX").string();
        this->folder = mkdtemp(pattern.data());
        chooseAddresses(ownLoopbackIp(),
                        {&this->settings.entrance, &this->settings.ingress, &this->settings.control, &this->settings.readiness,
                         &this->settings.metrics});
        std::ofstream(this->folder + "/node.jsonc") << fmt::format(
            R"({{"name":"{}","availability_zone":"mineo","service":"{}","entrance":"{}","ingress":"{}","control":"{}","readiness":"{}",)"
            R"("metrics":"{}","upstream":"{}","store":"{}","heartbeat_interval_s":1.5,"grace_s":{},"retry_ratio":0.2,"retry_slack":48,)"
            R"("retry_window_s":10}})",
            this->settings.name, this->settings.service, this->settings.entrance.toString(), this->settings.ingress.toString(),
            this->settings.control.toString(), this->settings.readiness.toString(), this->settings.metrics.toString(),
            this->settings.upstream.toString(), store.toString(), graceSeconds);
        this->start();
    }

    ~NodeProcess()
    {
        this->signal(SIGKILL);
        static_cast<void>(this->waitForExit(std::chrono::seconds(5)));
        std::filesystem::remove_all(this->folder);
    }

    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    [[nodiscard]] const ProcessVm &vm() const noexcept
    {
        return this->settings;
    }

    void signal(int number) const
    {
        if (this->pid > 0) {
            kill(this->pid, number);
        }
    }

    /// @returns whether the process still runs
    [[nodiscard]] bool isRunning()
    {
        if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
            this->pid = 0;
        }
        return this->pid > 0;
    }

    /// @returns whether the process has ended within the limit
    [[nodiscard]] bool waitForExit(core::Duration limit)
    {
        const auto deadline = core::steadyNow() + limit;
        while (this->isRunning() && core::steadyNow() < deadline) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return this->pid == 0;
    }

    /// @returns the largest resident size that the process has had, in bytes
    [[nodiscard]] std::size_t peakMemory() const
    {
        std::ifstream status(fmt::format("/proc/{}/status", this->pid));
        const std::string key = "VmHWM:";
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(key)) {
                return std::stoul(line.substr(key.size())) * 1024UL;
            }
        }
        return 0;
    }

    /// @returns the text of the process's log
    [[nodiscard]] std::string log() const
    {
        std::ifstream file(this->folder + "/node.log");
        return {std::istreambuf_iterator<char>(file), {}};
    }

private:
    void start()
    {
        ACE_Process_Options options;
        options.command_line("%s mesh --settings %s/node.jsonc", FIGPULLEY_BINARY, this->folder.c_str());
        const int output = ::open((this->folder + "/node.log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        options.set_handles(ACE_INVALID_HANDLE, output, output);
        ACE_Process process;
        this->pid = std::max<pid_t>(0, process.spawn(options)); // -1 would address all processes
        options.release_handles();
        ::close(output);
        cr_assert(this->pid > 0, "the process of %s could not be started", this->settings.name.c_str());
    }

    ProcessVm settings;
    std::string folder;
    pid_t pid = 0;
};
} // namespace figpulley::tests
