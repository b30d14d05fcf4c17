#pragma once

#include "support/httpcall.h"
#include "support/metadatastore.h"
#include "support/nodeprocess.h"

#include "mesh/changerelay.h"
#include "net/loopthread.h"

#include <atomic>
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

/// Node processes of one zone that read a large configuration from a store of their own.
class LargeStateFleet
{
public:
    /// @param nodes number of nodes; the endpoints of several send heartbeats, so that the nodes know each other
    explicit LargeStateFleet(int nodes = 1)
    {
        core::setLogLevel(core::LogLevel::Off);
        this->thread.call([this] {
            this->store = std::make_unique<MetadataStore>(this->thread.loop(), net::Address {"127.0.0.1", 0});
            this->store->writeRaw("config", "main", largeRoutes(1));
        });
        const auto storeAddress = this->thread.call([this] { return this->store->address(); });
        for (int number = 1; number <= nodes; ++number) {
            this->processes.push_back(
                std::make_unique<NodeProcess>(ProcessVm {fmt::format("m{}", number), "motivi", {"127.0.0.1", 9}}, storeAddress, 6));
        }
        if (nodes > 1) {
            this->heart = std::thread([this] { this->beat(); });
        }
        for (const auto &process : this->processes) {
            this->waitForStatus(*process, "\"config_version\":1,", std::chrono::seconds(10));
            this->waitForStatus(*process, nodes > 1 ? fmt::format("\"endpoints_known\":{}", nodes) : "", std::chrono::seconds(10));
        }
    }

    ~LargeStateFleet()
    {
        this->isStopped = true;
        if (this->heart.joinable()) {
            this->heart.join();
        }
        this->processes.clear();
        this->thread.call([this] { this->store.reset(); });
    }

    LargeStateFleet(const LargeStateFleet &) = delete;
    LargeStateFleet &operator=(const LargeStateFleet &) = delete;

    /// @returns the first node
    [[nodiscard]] NodeProcess &node()
    {
        return *this->processes.front();
    }

    /// Writes the next versions of the configuration, each after the first node has activated the one before.
    void change(int count)
    {
        for (int at = 0; at < count; ++at) {
            ++this->version;
            this->thread.call([this] { this->store->writeRaw("config", "main", largeRoutes(this->version)); });
            cr_assert(this->reachesNewest(this->node(), std::chrono::seconds(10)), "the node did not activate version %d", this->version);
        }
    }

    /// @returns whether a node activates the latest version within a time
    [[nodiscard]] bool reachesNewest(const NodeProcess &process, core::Duration limit)
    {
        return this->waitForStatus(process, fmt::format("\"config_version\":{},", this->version), limit);
    }

    /// Sends a heartbeat of the endpoint beside a node.
    void heartbeat(const NodeProcess &process, int sequence)
    {
        net::ClientRequest request;
        request.method = "POST";
        request.url = fmt::format("http://{}/v1/Instances.Heartbeat/i-{}", process.vm().control.toString(), process.vm().name);
        request.body = fmt::format(
            R"({{"Service":"motivi","Address":"127.0.0.1:9","Zone":"mineo","Version":"v1","Slots":4,"State":"ready","ColdRemainingS":0,"Seq":{},"born":100}})",
            sequence);
        request.timeout = std::chrono::seconds(1);
        static_cast<void>(this->beater.call(request));
    }

    /// Runs a function on the store's thread.
    void onStore(const std::function<void(MetadataStore &)> &function)
    {
        this->thread.call([&] { function(*this->store); });
    }

    /// Asks the first node for changes as another node does.
    [[nodiscard]] net::ClientResponse query(const mesh::ChangeQuery &query)
    {
        net::ClientRequest request;
        request.url = "http://" + this->node().vm().ingress.toString() + "/";
        request.headers = {{mesh::ChangeRelay::header, mesh::encode(query)}, {mesh::ChangeRelay::eraHeader, "1"}};
        if (query.after) {
            request.headers.push_back({mesh::ChangeRelay::pageHeader, mesh::encodePageStart(*query.after)});
        }
        return this->caller.call(request);
    }

    /// Sends a request to the first node's ingress on a connection that does not read.
    /// @returns the connection, which the caller closes
    [[nodiscard]] int askWithoutReading(const std::string &headers)
    {
        const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int smallBuffer = 4096;
        setsockopt(connection, SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof smallBuffer);
        sockaddr_in target {};
        target.sin_family = AF_INET;
        target.sin_port = htons(this->node().vm().ingress.port);
        inet_pton(AF_INET, this->node().vm().ingress.ip.c_str(), &target.sin_addr);
        cr_assert(connect(connection, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0, "no connection to the node");
        const auto text = "GET / HTTP/1.1\r\nHost: node\r\n" + headers + "\r\n";
        cr_assert(send(connection, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()),
                  "the request was not sent");
        return connection;
    }

    std::vector<std::unique_ptr<NodeProcess>> processes;
    int version = 1; ///< version of the configuration that was written last

private:
    void beat()
    {
        for (int sequence = 1; !this->isStopped; ++sequence) {
            for (const auto &process : this->processes) {
                this->heartbeat(*process, sequence);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(500));
        }
    }

    bool waitForStatus(const NodeProcess &process, const std::string &text, core::Duration limit)
    {
        const auto deadline = core::steadyNow() + limit;
        net::ClientRequest request;
        request.url = "http://" + process.vm().metrics.toString() + "/status";
        while (this->caller.call(request).body.find(text) == std::string::npos) {
            if (core::steadyNow() > deadline) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return true;
    }

    net::LoopThread thread;
    std::unique_ptr<MetadataStore> store;
    HttpCaller caller;
    HttpCaller beater;
    std::thread heart;
    std::atomic<bool> isStopped {false};
};
} // namespace figpulley::tests
