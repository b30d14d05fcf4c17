#pragma once

#include "support/httpcall.h"
#include "support/metadatastore.h"
#include "support/nodeprocess.h"

#include "mesh/changerelay.h"
#include "net/loopthread.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figpulley::tests
{
/// Bytes that the users' smallest VMs give a process.
inline constexpr std::size_t smallestVmBytes = 160'000'000;

/// Returns a configuration of almost the largest size that an object of the platform's store may have.
[[nodiscard]] inline std::string largeRoutes(int version)
{
    constexpr std::size_t targetBytes = 1'000'000;
    std::string text = fmt::format(
        R"({{"Version":{},"Services":[{{"Name":"motivi","HealthPath":"/health","MaxConnections":1000}}],)"
        R"("Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,"HeaderTimeoutS":3,"IdleTimeoutS":15}},"VirtualHosts":[{{"Host":"a.example","Paths":[)",
        version);
    for (int number = 0; text.size() < targetBytes; ++number) {
        text += fmt::format(
            R"({}{{"Name":"r-{}","PathPrefix":"/path-{}/","Kind":"safe","TimeoutS":{},"TargetLatencyS":2,"Priority":2,"Service":"motivi","MaxAttempts":2}})",
            number == 0 ? "" : ",", number, number, number == 0 ? 4 + version % 2 : 5);
    }
    return text + "]}]}";
}

/// A node process that reads a large configuration from a store of its own.
class LargeStateNode
{
public:
    LargeStateNode()
    {
        core::setLogLevel(core::LogLevel::Off);
        this->thread.call([this] {
            this->store = std::make_unique<MetadataStore>(this->thread.loop(), net::Address {"127.0.0.1", 0});
            this->store->writeRaw("config", "main", largeRoutes(1));
        });
        const auto storeAddress = this->thread.call([this] { return this->store->address(); });
        this->process = std::make_unique<NodeProcess>(ProcessVm {"m1", "motivi", {"127.0.0.1", 9}}, storeAddress, 6);
        this->waitForVersion(1);
    }

    ~LargeStateNode()
    {
        this->process.reset();
        this->thread.call([this] { this->store.reset(); });
    }

    LargeStateNode(const LargeStateNode &) = delete;
    LargeStateNode &operator=(const LargeStateNode &) = delete;

    /// Writes the next versions of the configuration, each after the node has activated the one before.
    void change(int count)
    {
        for (int at = 0; at < count; ++at) {
            ++this->version;
            this->thread.call([this] { this->store->writeRaw("config", "main", largeRoutes(this->version)); });
            this->waitForVersion(this->version);
        }
    }

    /// Runs a function on the store's thread.
    void onStore(const std::function<void(MetadataStore &)> &function)
    {
        this->thread.call([&] { function(*this->store); });
    }

    void waitForVersion(int expected)
    {
        const auto text = fmt::format("\"config_version\":{},", expected);
        const auto deadline = core::steadyNow() + std::chrono::seconds(10);
        net::ClientRequest request;
        request.url = "http://" + this->process->vm().metrics.toString() + "/status";
        while (this->caller.call(request).body.find(text) == std::string::npos) {
            cr_assert(core::steadyNow() < deadline, "the node did not activate version %d within 10 s", expected);
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    /// Asks the node for changes as another node does.
    [[nodiscard]] net::ClientResponse query(const mesh::ChangeQuery &query)
    {
        net::ClientRequest request;
        request.url = "http://" + this->process->vm().ingress.toString() + "/";
        request.headers = {{mesh::ChangeRelay::header, mesh::encode(query)}, {mesh::ChangeRelay::eraHeader, "1"}};
        return this->caller.call(request);
    }

    /// Sends a request to the node's ingress on a connection that does not read.
    /// @returns the connection, which the caller closes
    [[nodiscard]] int askWithoutReading(const std::string &headers) const
    {
        const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int smallBuffer = 4096;
        setsockopt(connection, SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof smallBuffer);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(this->process->vm().ingress.port);
        inet_pton(AF_INET, this->process->vm().ingress.ip.c_str(), &target.sin_addr);
        cr_assert(connect(connection, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0, "no connection to the node");
        const auto text = "GET / HTTP/1.1\r\nHost: node\r\n" + headers + "\r\n";
        cr_assert(send(connection, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()),
                  "the request was not sent");
        return connection;
    }

    std::unique_ptr<NodeProcess> process;
    int version = 1; ///< version of the configuration that was written last

private:
    net::LoopThread thread;
    std::unique_ptr<MetadataStore> store;
    HttpCaller caller;
};
} // namespace figpulley::tests
